/** Scheduler state of one job and its tasks. */
import type { JobRow, JobStateRow, TaskState } from '../schema/job.js'
import type { TeamEntry } from '../team/teamEntry.js'
import type { WorkerEntry } from '../vm/workerEntry.js'
import type { Lane, Shape } from './lane.js'
import type { Reservation } from './reservation.js'
import type { WorkloadStatistics } from './runTimeEstimates.js'

/** One task of a job. */
export interface TaskEntry {
  readonly job: JobEntry
  readonly index: number
  phase: TaskState['phase']
  attempt: number
  failures: number
  /** Worker of the live attempt. */
  worker: WorkerEntry | undefined
  /** Worker of the last attempt, as stored in the state row. */
  lastWorker: string | undefined
  reason: string | undefined
  /** Why the live attempt was placed on its worker; lost on a takeover. */
  placementReason: string | undefined
  /** Monotonic time at which the live attempt was assigned, or confirmed to have started. */
  startedMs: number
  /** Whether the stopping attempt takes a checkpoint. */
  checkpoint: boolean
  /** Whether the task is a filler: it runs in reserved room until the reservation needs the room. */
  filler: boolean
}

/** Final phase and reason of a job that ends before all its tasks have completed. */
export interface JobEnding {
  readonly phase: 'failed' | 'cancelled'
  readonly reason: string
}

/** One job in memory. */
export interface JobEntry {
  readonly id: string
  readonly row: JobRow
  readonly team: TeamEntry
  readonly shape: Shape
  readonly tasks: TaskEntry[]
  /** Indexes of queued tasks, in descending order. */
  readonly queued: number[]
  /** Number of assigned and stopping tasks. */
  live: number
  completed: number
  failed: number
  /** Workers on which tasks of the job failed; bounded in size. */
  readonly failedWorkers: Set<string>
  /** Number of live service tasks by failure domain and by rack. */
  readonly tasksByLocation: Map<string, number>
  phase: JobStateRow['phase']
  ending: JobEnding | undefined
  lane: Lane | undefined
  readonly reservations: Set<Reservation>
  /** Statistics of the job's workload; looked up on first use. */
  workloadStatistics: WorkloadStatistics | undefined
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
    failedWorkers: new Set(),
    tasksByLocation: new Map(),
    phase: 'queued',
    ending: undefined,
    lane: undefined,
    reservations: new Set(),
    workloadStatistics: undefined
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

export function isFinal (phase: JobStateRow['phase'] | TaskState['phase']): boolean {
  return phase === 'completed' || phase === 'failed' || phase === 'cancelled'
}

/** Inserts a task into the job's queued tasks. */
export function addQueued (job: JobEntry, index: number): void {
  let position = job.queued.length
  while (position > 0 && job.queued[position - 1]! < index) position -= 1
  job.queued.splice(position, 0, index)
}

/** Returns the state of a job to commit. */
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
