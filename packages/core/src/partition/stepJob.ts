/** Jobs of steps: what a caller submits, and what the table keeps of it. */
import * as Schema from 'effect/Schema'
import { Resources } from '../schema/resources.js'

const NotNegative = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))
const Positive = Schema.Int.check(Schema.isGreaterThanOrEqualTo(1))
const Duration = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0))

/** Most tasks of one job; its state must fit into a row of the table. */
export const MAX_JOB_TASKS = 1000

/** Like tasks that become ready together. */
export const JobStep = Schema.Struct({
  taskCount: Positive.check(Schema.isLessThanOrEqualTo(MAX_JOB_TASKS)),
  /** What each task needs. */
  resources: Resources,
  /** Declared run time of a task in milliseconds; only an estimate. */
  estimateMs: Duration,
  /** Numbers of earlier steps whose tasks must all be done first. */
  after: Schema.Array(NotNegative),
  /** All tasks run at once or not at all. */
  gang: Schema.Boolean,
  /** Tasks are slower when they span racks. */
  tightlyCoupled: Schema.Boolean,
  /** Label that the worker must have. */
  requiredLabel: Schema.optionalKey(Schema.String),
  /** Rack that holds the input; other racks are slower. */
  dataRack: Schema.optionalKey(Schema.String),
  /** Most tasks of the step on one worker; 0 for no limit. */
  maxPerWorker: NotNegative,
  /** Copies may run in parallel. */
  speculative: Schema.Boolean,
  /** Tasks run until the job is cancelled and are restarted however they end. */
  longRunning: Schema.Boolean,
  /** What the tasks run; tasks of one image behave alike. */
  image: Schema.optionalKey(Schema.String),
  /** Upper bound in milliseconds of the tail latency of tasks that serve; 0 for none. */
  targetMs: Duration,
  /** Tasks use processors that others leave idle; theirs are not counted. */
  fills: Schema.Boolean,
  /** Tasks of a long-running step that may be unavailable at once through our own actions. */
  mayMiss: Schema.optionalKey(NotNegative),
  /** A stopped task resumes from its saved state. */
  savesWork: Schema.Boolean
})
export type JobStep = typeof JobStep.Type

/** Cost and validity of the placement advice of a queue, in milliseconds. */
export const AdvicePolicy = Schema.Struct({ decisionMs: Duration, eachMs: Duration, validityMs: Duration })
export type AdvicePolicy = typeof AdvicePolicy.Type

/** What the queue's configuration said when the job was accepted. */
export const QueuePolicy = Schema.Struct({
  queue: Schema.String,
  service: Schema.String,
  /** 0 comes first. */
  priority: NotNegative,
  /** Failed runs of one task after which the job fails. */
  maxAttempts: Positive,
  /** The job's objective is `stretch` times its longest chain plus `targetLatencyMs`. */
  stretch: Duration,
  targetLatencyMs: Duration,
  /** Jobs a second that the team is owed while all is full; no limit where absent. */
  teamJobsPerS: Schema.optionalKey(Duration),
  advice: Schema.optionalKey(AdvicePolicy)
})
export type QueuePolicy = typeof QueuePolicy.Type

/** Row of an accepted job; written once. */
export const StepJob = Schema.Struct({
  /** Client account that submitted the job. */
  team: Schema.String,
  policy: QueuePolicy,
  /** Opaque text handed to each task. */
  payload: Schema.String,
  steps: Schema.Array(JobStep),
  /** Occurrences of the steps; 0 for a job that runs once, at once. */
  runCount: NotNegative,
  /** Wall clock at which occurrence 0 is due, in milliseconds since 1970. */
  firstRunMs: Schema.Finite,
  intervalMs: Duration,
  /** Wall clock of the acceptance, in milliseconds since 1970. */
  acceptedAtMs: Schema.Finite
})
export type StepJob = typeof StepJob.Type

/** Finds what makes a well-formed submission impossible to accept. */
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

/** Longest chain of estimated run times through the steps, in milliseconds. */
export function computeChainMs (steps: readonly JobStep[]): number {
  const endsAt: number[] = []
  for (const step of steps) {
    let startsAt = 0
    for (const earlier of step.after) startsAt = Math.max(startsAt, endsAt[earlier] ?? 0)
    endsAt.push(startsAt + step.estimateMs)
  }
  return Math.max(0, ...endsAt)
}
