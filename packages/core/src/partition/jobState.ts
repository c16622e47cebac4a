/** State of an accepted job, in memory and as stored in the table. */
import * as Schema from 'effect/Schema'
import { MAX_CRASH_ENTRIES, MAX_UNPROVEN_CRASHES, SUSPICION_LIMIT } from './constants.js'
import { computeObjectiveMs, type JobStep, type StepJob } from './stepJob.js'

/** Phase of a job as reported to callers. */
export const JobPhase = Schema.Literals(['queued', 'running', 'completed', 'failed', 'cancelled'])
export type JobPhase = typeof JobPhase.Type

/** Phase of one task. In any phase, the task occupies resources at `worker` until its run is known to have ended there. */
export type TaskPhase = 'waiting' | 'placed' | 'done' | 'failed'

const TASK_PHASES: readonly TaskPhase[] = ['waiting', 'placed', 'done', 'failed']

/** One task of one occurrence. */
export interface Task {
  readonly job: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
  /** The step as submitted. */
  readonly definition: JobStep
  readonly team: string
  /** Priority of the job's queue, 0 first. */
  readonly priority: number
  /** Serves user requests under a latency target. */
  readonly isServing: boolean
  phase: TaskPhase
  /** Number of the current or last run; 0 before the first. */
  run: number
  /** Worker whose resources the current run occupies; empty if none. */
  worker: string
  /** Runs that ended `failed`; for a member of a gang, runs of the gang. */
  failures: number
  /** Last run of which the task reported the failure; 0 if there is none. */
  failedRun: number
  /** Checkpoint to resume from; empty if none. */
  saved: string
  /** Workers that crashed while the task ran there, whatever the likely cause, and those crashes that prove that the task is the cause. */
  crashes: number
  soloCrashes: number
  /** Crashes during runs of which the start was confirmed. Not stored in the table. */
  confirmedCrashes: number
  /** Crashes that are certain (another life of the worker, or another worker at its address, responded) and that the task may have caused. Not stored in the table. */
  certainCrashes: number
  /** Workers lost with their whole rack since the last other crash, to which they are added; tasks ran at all workers of the rack. Not stored in the table. */
  rackLosses: number
  /** How likely the task is to be the cause of these crashes. */
  suspicion: number
  /** Last run that a crash was counted against; one run can crash one worker only. 0 if there is none. */
  crashedRun: number
  /** At a crash of its worker, no task of another step had just started there. Not stored in the table. */
  isPrimeSuspect: boolean
  /** The connections of its worker broke when the task had just started there. Not stored in the table. */
  hasCrashedAtStart: boolean
  /** Monotonic time until which a start waits for the proof of the last crash. Not stored in the table. */
  verdictDueMs: number
  /** Longest run that ended with a crash, in milliseconds. Not stored in the table. */
  crashAgeMs: number
  /** Monotonic time from which the worker's reports show the current run if it was started, or `null`. Not stored in the table. */
  confirmedAtMs: number | null
  /** The worker is known to have started the current run: it answered the order, or listed the run. Not stored in the table. */
  hasStarted: boolean
  /** Monotonic time at which the last run was known to have ended, or `null` if none has in this term. Not stored in the table. */
  releasedAtMs: number | null
  /** A stop of the current run has been ordered. Not stored in the table. */
  stopping: boolean
  /** Number of preemptions. Not stored in the table. */
  preemptions: number
  /** Progress of the current run in percent. Not stored in the table. */
  percent: number
  /** Monotonic time at which the current run was first reported or last made progress, or `null`. Not stored in the table. */
  progressedAtMs: number | null
}

/** Tasks of one occurrence, by step and index. */
export interface Occurrence {
  readonly index: number
  readonly steps: readonly (readonly Task[])[]
}

/** One accepted job. */
export interface Job {
  readonly id: string
  readonly spec: StepJob
  /** The team exceeded its guaranteed job rate when it submitted this job. */
  readonly isOverRate: boolean
  /** Time within which the job should end, counted from acceptance or from the due time of an occurrence. */
  readonly objectiveMs: number
  phase: JobPhase
  /** Occurrences that are not complete yet, or of which a task still occupies resources at a worker. */
  occurrences: Map<number, Occurrence>
  /** Indexes of the other occurrences that have become due: of these, only the index is kept. */
  readonly completedOccurrences: Set<number>
  /** Number of changes of its stored state: what is derived from its tasks is outdated by the next one. */
  changes: number
  /** Wall clock of the end, in milliseconds since 1970; 0 before it. */
  endedAtMs: number
  /** A task is known to have started. Not stored in the table. */
  hasBegun: boolean
  /** A record of crashed workers has been read from the table or built for it. Not stored in the table. */
  hasCrashRecord: boolean
}

const TaskRow = Schema.Tuple([Schema.Int, Schema.Int, Schema.String, Schema.Int, Schema.String])

/** Tasks as `[phase, run, worker, failures, saved]` by occurrence and step. */
export const OccurrenceRecords = Schema.Array(Schema.Tuple([Schema.Int, Schema.Array(Schema.Array(TaskRow))]))

/** State of a job as stored in the table. */
export const JobStateRecord = Schema.Struct({
  phase: JobPhase,
  endedAtMs: Schema.Finite,
  occurrences: OccurrenceRecords,
  /** Completed occurrences of a recurring job, as ranges of their first and last index. */
  completed: Schema.optionalKey(Schema.Array(Schema.Tuple([Schema.Int, Schema.Int])))
})
export type JobStateRecord = typeof JobStateRecord.Type

/** Row of a job's crashed workers, by task. A row of its own, because earlier versions reject states with unknown fields. */
export const CrashRecord = Schema.Array(Schema.Tuple([Schema.Int, Schema.Int, Schema.Int, Schema.Int, Schema.Int, Schema.Int, Schema.Int]))
export type CrashRecord = typeof CrashRecord.Type

/** Initial state of an accepted job. */
export const ACCEPTED_STATE: JobStateRecord = { phase: 'queued', endedAtMs: 0, occurrences: [] }

/** Tells whether a phase is final. */
export function isFinal (phase: JobPhase): boolean {
  return phase === 'completed' || phase === 'failed' || phase === 'cancelled'
}

/** Creates the tasks of an occurrence, all waiting. */
export function createOccurrence (job: string, spec: StepJob, index: number): Occurrence {
  const steps = spec.steps.map((step, stepIndex) => Array.from({ length: step.taskCount }, (_, taskIndex): Task => ({
    job,
    occurrence: index,
    step: stepIndex,
    index: taskIndex,
    definition: step,
    team: spec.team,
    priority: spec.policy.priority,
    isServing: step.targetMs > 0,
    phase: 'waiting',
    run: 0,
    worker: '',
    failures: 0,
    failedRun: 0,
    saved: '',
    crashes: 0,
    soloCrashes: 0,
    confirmedCrashes: 0,
    certainCrashes: 0,
    rackLosses: 0,
    suspicion: 0,
    crashedRun: 0,
    crashAgeMs: 0,
    isPrimeSuspect: false,
    hasCrashedAtStart: false,
    verdictDueMs: 0,
    confirmedAtMs: null,
    hasStarted: false,
    releasedAtMs: null,
    stopping: false,
    preemptions: 0,
    percent: 0,
    progressedAtMs: null
  })))
  return { index, steps }
}

/** Stored phase of a task that waits after it reported the failure of its last run; earlier versions read any unknown phase as `waiting`. */
const WAITING_AFTER_FAILURE = TASK_PHASES.length

function encodePhase (task: Task): number {
  return task.phase === 'waiting' && task.run > 0 && task.failedRun === task.run ? WAITING_AFTER_FAILURE : TASK_PHASES.indexOf(task.phase)
}

/** Restores the phase of a task. Earlier versions stored long-running tasks as done. */
function restorePhase ({ definition }: Task, stored: number): TaskPhase {
  const phase = TASK_PHASES[stored] ?? 'waiting'
  return phase === 'done' && definition.longRunning ? 'waiting' : phase
}

/** Restores a job from its rows. */
export function createJob (id: string, spec: StepJob, record: JobStateRecord, isOverRate: boolean): Job {
  const job: Job = { id, spec, isOverRate, objectiveMs: computeObjectiveMs(spec), phase: record.phase, occurrences: new Map(), completedOccurrences: new Set(), changes: 0, endedAtMs: record.endedAtMs, hasBegun: false, hasCrashRecord: false }
  for (const [first, last] of record.completed ?? []) {
    for (let index = first; index <= last; index++) job.completedOccurrences.add(index)
  }
  for (const [index, steps] of record.occurrences) {
    const occurrence = createOccurrence(id, spec, index)
    for (const [stepIndex, rows] of steps.entries()) {
      for (const [taskIndex, row] of rows.entries()) {
        const task = occurrence.steps[stepIndex]?.[taskIndex]
        if (task === undefined) continue
        const [phase, run, worker, failures, saved] = row
        Object.assign(task, { phase: restorePhase(task, phase), run, worker, failures, saved, failedRun: phase === WAITING_AFTER_FAILURE ? run : 0 })
      }
    }
    job.occurrences.set(index, occurrence)
  }
  for (const task of listTasks(job)) job.hasBegun ||= task.phase === 'done' || task.failures > 0 || task.saved !== ''
  return job
}

/** Groups indexes into ranges of consecutive ones. */
function buildRanges (indexes: Iterable<number>): (readonly [number, number])[] {
  const ranges: [number, number][] = []
  for (const index of [...indexes].sort((a, b) => a - b)) {
    const last = ranges.at(-1)
    if (last !== undefined && last[1] === index - 1) last[1] = index
    else ranges.push([index, index])
  }
  return ranges
}

/** Builds the stored state of a job; tasks of an ended job are omitted once none is allocated. */
export function buildStateRecord (job: Job): JobStateRecord {
  const { phase, endedAtMs } = job
  if (isFinal(phase) && !hasAllocatedTask(job)) return { phase, endedAtMs, occurrences: [] }
  const occurrences = [...job.occurrences.values()].map((occurrence): JobStateRecord['occurrences'][number] => [
    occurrence.index,
    occurrence.steps.map((tasks) => tasks.map((task) => [encodePhase(task), task.run, task.worker, task.failures, task.saved] as const))
  ])
  if (job.completedOccurrences.size === 0) return { phase, endedAtMs, occurrences }
  return { phase, endedAtMs, occurrences, completed: buildRanges(job.completedOccurrences) }
}

/** Counts the occurrences that have become due. */
export function countDueOccurrences (job: Job): number {
  return job.occurrences.size + job.completedOccurrences.size
}

/** Tells whether all tasks of an occurrence are done and none occupies resources at a worker. */
export function isOccurrenceOver (occurrence: Occurrence): boolean {
  return occurrence.steps.every((tasks) => tasks.every((task) => task.phase === 'done' && task.worker === ''))
}

/** Builds the row of a job's crashed workers, most crashes first if not all fit: `[occurrence, step, index, crashes, soloCrashes, suspicion, crashedRun]`; `null` if there never were any. */
export function buildCrashRecord (job: Job): CrashRecord | null {
  const record: CrashRecord[number][] = []
  for (const { occurrence, step, index, crashes, soloCrashes, suspicion, crashedRun } of listTasks(job)) {
    if (crashes > 0) record.push([occurrence, step, index, crashes, soloCrashes, suspicion, crashedRun])
  }
  // Counts that were withdrawn must not stay in the table.
  job.hasCrashRecord ||= record.length > 0
  if (!job.hasCrashRecord) return null
  return record.length <= MAX_CRASH_ENTRIES ? record : record.sort((a, b) => b[3] - a[3]).slice(0, MAX_CRASH_ENTRIES)
}

/** Restores the crash counts of a job's tasks. */
export function restoreCrashes (job: Job, record: CrashRecord): void {
  job.hasCrashRecord = record.length > 0
  for (const [occurrence, step, index, crashes, soloCrashes, suspicion, crashedRun] of record) {
    const task = job.occurrences.get(occurrence)?.steps[step]?.[index]
    if (task !== undefined) Object.assign(task, { crashes, soloCrashes, suspicion, crashedRun })
  }
}

/** Counts the crashes of a task's workers that don't prove that the task is the cause. */
export function countUnprovenCrashes ({ crashes, soloCrashes, rackLosses }: Task): number {
  return crashes + rackLosses - soloCrashes
}

/** Tells whether a task must run apart from the tasks of other steps: its further crashes have to prove something. */
export function isSuspected (task: Task): boolean {
  return task.suspicion >= SUSPICION_LIMIT || countUnprovenCrashes(task) >= MAX_UNPROVEN_CRASHES
}

/** Lists the tasks of all occurrences. */
export function * listTasks (job: Job): Generator<Task> {
  for (const occurrence of job.occurrences.values()) {
    for (const tasks of occurrence.steps) yield * tasks
  }
}

/** Tells whether any task of the job still occupies resources at a worker. */
export function hasAllocatedTask (job: Job): boolean {
  for (const task of listTasks(job)) if (task.worker !== '') return true
  return false
}
