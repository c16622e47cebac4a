/** What the scheduler holds for one job and its tasks. */
import type { JobRow, JobStateRow, TaskState } from '../schema/job.js'
import type { TeamEntry } from '../team/teamEntry.js'
import type { WorkerEntry } from '../vm/workerEntry.js'
import type { Lane, Shape } from './lane.js'
import type { Reservation } from './reservation.js'
import type { Workload } from './runTimeEstimates.js'

/** One task of a job. */
export interface TaskEntry {
  readonly job: JobEntry
  readonly index: number
  phase: TaskState['phase']
  attempt: number
  failures: number
  /** Worker of the live attempt. */
  worker: WorkerEntry | undefined
  /** Worker of the last attempt, as the state row keeps it. */
  lastWorker: string | undefined
  reason: string | undefined
  /** Why the live attempt was placed on its worker; not kept across holders of the role. */
  placementReason: string | undefined
  /** Monotonic time at which the live attempt was assigned or was seen to run. */
  startedMs: number
  /** Whether the stopping attempt saves its work. */
  checkpoint: boolean
  /** Whether it runs in held room until the reservation needs it. */
  filler: boolean
}

/** How a job ends before all its tasks have completed. */
export interface JobEnding {
  readonly phase: 'failed' | 'cancelled'
  readonly reason: string
}

/** One job that has not left the memory. */
export interface JobEntry {
  readonly id: string
  readonly row: JobRow
  readonly team: TeamEntry
  readonly shape: Shape
  readonly tasks: TaskEntry[]
  /** Indexes of queued tasks, highest first. */
  readonly queued: number[]
  /** Assigned and stopping tasks. */
  live: number
  completed: number
  failed: number
  /** Workers on which tasks of the job failed; bounded. */
  readonly failedOn: Set<string>
  /** Live service tasks by failure domain and by rack. */
  readonly spread: Map<string, number>
  phase: JobStateRow['phase']
  ending: JobEnding | undefined
  lane: Lane | undefined
  readonly reservations: Set<Reservation>
  /** What is known of the job's workload; `undefined` until it is asked for. */
  workload: Workload | undefined
}

/** Creates a job with all tasks queued. */
export function createJobEntry (id: string, row: JobRow, team: TeamEntry, shape: Shape): JobEntry {
  const job: JobEntry = {
    id,
    row,
    team,
    shape,
    tasks: [],
    queued: [],
    live: 0,
    completed: 0,
    failed: 0,
    failedOn: new Set(),
    spread: new Map(),
    phase: 'queued',
    ending: undefined,
    lane: undefined,
    reservations: new Set(),
    workload: undefined
  }
  for (let index = 0; index < row.spec.taskCount; index++) job.tasks.push(createTaskEntry(job, index))
  return job
}

function createTaskEntry (job: JobEntry, index: number): TaskEntry {
  return {
    job,
    index,
    phase: 'queued',
    attempt: 0,
    failures: 0,
    worker: undefined,
    lastWorker: undefined,
    reason: undefined,
    startedMs: 0,
    checkpoint: false,
    placementReason: undefined,
    filler: false
  }
}

/** Tells whether a phase is final. */
export function isFinal (phase: JobStateRow['phase'] | TaskState['phase']): boolean {
  return phase === 'completed' || phase === 'failed' || phase === 'cancelled'
}

/** Enters a task among the queued ones of its job. */
export function addQueued (job: JobEntry, index: number): void {
  let position = job.queued.length
  while (position > 0 && job.queued[position - 1]! < index) position -= 1
  job.queued.splice(position, 0, index)
}

/** Reads the state as it shall be committed. */
export function readState (job: JobEntry): JobStateRow {
  return { phase: job.phase, tasks: job.tasks.map(readTaskState) }
}

function readTaskState (task: TaskEntry): TaskState {
  return {
    phase: task.phase,
    attempt: task.attempt,
    failures: task.failures,
    ...(task.lastWorker === undefined ? {} : { worker: task.lastWorker }),
    ...(task.reason === undefined ? {} : { reason: task.reason })
  }
}
