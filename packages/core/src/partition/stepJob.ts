/** Jobs of steps, as submitted by callers and stored in the table. */
import * as Schema from 'effect/Schema'
import { Resources } from '../schema/resources.js'
import { OBJECTIVE_ADVICE_WORKERS } from './constants.js'

const NonNegative = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))
const Positive = Schema.Int.check(Schema.isGreaterThanOrEqualTo(1))
const Duration = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0))

/** Maximum number of tasks per job; the job's state must fit into one row of the table. */
export const MAX_JOB_TASKS = 1000

/** Identical tasks that become ready together. */
export const JobStep = Schema.Struct({
  taskCount: Positive.check(Schema.isLessThanOrEqualTo(MAX_JOB_TASKS)),
  /** Resources of each task. */
  resources: Resources,
  /** Estimated run time of a task, in milliseconds. */
  estimateMs: Duration,
  /** Indexes of earlier steps that must be complete first. */
  after: Schema.Array(NonNegative),
  /** Gang scheduling: all tasks run at once or none. */
  gang: Schema.Boolean,
  /** Tasks are slower when they span racks. */
  tightlyCoupled: Schema.Boolean,
  /** Label that the worker must have. */
  requiredLabel: Schema.optionalKey(Schema.String),
  /** Rack that holds the input; tasks in other racks are slower. */
  dataRack: Schema.optionalKey(Schema.String),
  /** Maximum number of the step's tasks per worker; 0 for no limit. */
  maxPerWorker: NonNegative,
  /** Allows speculative copies of straggling tasks. */
  speculative: Schema.Boolean,
  /** Tasks run until the job is cancelled and are always restarted. */
  longRunning: Schema.Boolean,
  /** Image that the tasks run; tasks of one image behave alike. */
  image: Schema.optionalKey(Schema.String),
  /** Tail latency target of tasks that serve requests, in milliseconds; 0 for none. */
  targetMs: Duration,
  /** Filler tasks run on idle processors; their own processors are not charged to the worker. */
  fills: Schema.Boolean,
  /** Disruption budget: tasks of a long-running step that the scheduler may make unavailable at once. */
  mayMiss: Schema.optionalKey(NonNegative),
  /** Tasks save checkpoints and resume from them after a stop. */
  savesWork: Schema.Boolean
})
export type JobStep = typeof JobStep.Type

/** Cost and validity of the placement advice of a queue, in milliseconds. */
export const AdvicePolicy = Schema.Struct({ decisionMs: Duration, eachMs: Duration, validityMs: Duration })
export type AdvicePolicy = typeof AdvicePolicy.Type

/** Snapshot of the queue's configuration at acceptance. */
export const QueuePolicy = Schema.Struct({
  queue: Schema.String,
  service: Schema.String,
  /** 0 is the most urgent. */
  priority: NonNegative,
  /** Failed runs of one task after which the job fails. */
  maxAttempts: Positive,
  /** The job's objective is `stretch` times its critical path plus `targetLatencyMs`. */
  stretch: Duration,
  targetLatencyMs: Duration,
  /** Guaranteed rate of the team under overload, in jobs per second; unlimited if absent. */
  teamJobsPerS: Schema.optionalKey(Duration),
  advice: Schema.optionalKey(AdvicePolicy)
})
export type QueuePolicy = typeof QueuePolicy.Type

/** Most bytes that the tasks of all occurrences take in the state while they wait, and the bytes of an occurrence and of a waiting task. */
const MAX_WAITING_BYTES = 65_536
const OCCURRENCE_BYTES = 8
const WAITING_TASK_BYTES = 14

/** Most occurrences of a job, all of which may be due while none has started. */
function computeMaxOccurrences (steps: readonly JobStep[]): number {
  let bytes = OCCURRENCE_BYTES
  for (const { taskCount } of steps) bytes += taskCount * WAITING_TASK_BYTES
  return Math.max(1, Math.floor(MAX_WAITING_BYTES / bytes))
}

const hasStorableState = Schema.makeFilter(({ steps, runCount }: { readonly steps: readonly JobStep[], readonly runCount: number }) => {
  const limit = computeMaxOccurrences(steps)
  return runCount <= limit || { path: ['runCount'], issue: `Expected at most ${limit} occurrences, whose state can be stored; submit the others as a further job` }
})

/** Row of an accepted job; immutable. */
export const StepJob = Schema.Struct({
  /** Client account that submitted the job. */
  team: Schema.String,
  policy: QueuePolicy,
  /** Opaque text handed to each task. */
  payload: Schema.String,
  steps: Schema.Array(JobStep),
  /** Number of occurrences of a recurring job; 0 for a job that runs once, immediately. */
  runCount: NonNegative,
  /** Wall clock at which occurrence 0 is due, in milliseconds since 1970. */
  firstRunMs: Schema.Finite,
  intervalMs: Duration,
  /** Wall clock of the acceptance, in milliseconds since 1970. */
  acceptedAtMs: Schema.Finite
}).check(hasStorableState)
export type StepJob = typeof StepJob.Type

/** Checks the constraints between steps; returns the fault, or `null`. */
export function checkStepJob (steps: readonly JobStep[]): string | null {
  if (steps.length === 0) return 'steps: at least one is needed'
  let tasks = 0
  for (const [index, step] of steps.entries()) {
    tasks += step.taskCount
    for (const earlier of step.after) {
      if (earlier >= index) return `steps[${index}].after: ${earlier} is not an earlier step`
    }
  }
  return tasks > MAX_JOB_TASKS ? `steps: ${tasks} tasks exceed the limit of ${MAX_JOB_TASKS}` : null
}

/** Computes the critical path through the steps by estimated run times, in milliseconds. */
export function computeCriticalPathMs (steps: readonly JobStep[]): number {
  const endsAt: number[] = []
  for (const step of steps) {
    let startsAt = 0
    for (const earlier of step.after) startsAt = Math.max(startsAt, endsAt[earlier] ?? 0)
    endsAt.push(startsAt + step.estimateMs)
  }
  return Math.max(0, ...endsAt)
}

/** Computes the time within which a job should end, counted from acceptance or from the due time of an occurrence. */
export function computeObjectiveMs (spec: StepJob): number {
  const { policy } = spec
  const adviceMs = policy.advice === undefined ? 0 : (policy.advice.decisionMs + OBJECTIVE_ADVICE_WORKERS * policy.advice.eachMs) * spec.steps.length
  return policy.targetLatencyMs + policy.stretch * (computeCriticalPathMs(spec.steps) + adviceMs)
}
