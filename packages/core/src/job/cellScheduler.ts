/** Interface of the cell's scheduler, which assigns tasks to workers from in-memory state. */
import type { AttemptId, JobRow, JobStateRow } from '../schema/job.js'
import type { EndedTask, TaskUsage } from '../schema/linkMessage.js'
import type { Manifest } from '../schema/manifest.js'
import type { Resources } from '../schema/resources.js'
import type { ShareUsage } from '../team/teamRegistry.js'

/** A worker as the scheduler sees it. */
export interface SchedulerWorker {
  readonly id: string
  readonly failureDomain: string
  readonly rack: string
  readonly pool: string
  /** Resources available to tasks: those of the VM minus the reserves of its services. */
  readonly capacity: Resources
  /** Whether new tasks may start on the worker: reachable, not leaving, not drained. */
  readonly schedulable: boolean
  /** Whether service and checkpointable tasks are moved to other workers; other tasks run to completion. */
  readonly draining?: boolean
}

/** A candidate worker that was not chosen. */
export interface RejectedCandidate {
  readonly worker: string
  readonly reason: string
}

/** One decision; it is already applied to the scheduler's state. */
export type SchedulerDecision =
  | {
    readonly kind: 'start'
    readonly id: AttemptId
    readonly team: string
    readonly worker: string
    readonly reason: string
    readonly losers: readonly RejectedCandidate[]
  }
  | {
    readonly kind: 'stop'
    readonly id: AttemptId
    readonly team: string
    readonly worker: string
    readonly checkpoint: boolean
    readonly reason: 'preempted' | 'cancelled' | 'drained'
  }
  | {
    readonly kind: 'jobEnded'
    readonly job: string
    readonly team: string
    readonly phase: 'completed' | 'failed' | 'cancelled'
    readonly reason: string
  }

/** Desired state of a worker: attempts to run and attempts to stop. */
export interface DesiredAttempts {
  readonly run: readonly { readonly id: AttemptId, readonly job: JobRow }[]
  readonly end: readonly { readonly id: AttemptId, readonly checkpoint: boolean }[]
}

/** Explains why a job's tasks wait or where they run. */
export interface JobExplanation {
  readonly summary: string
  /** Position in the team's queue, starting at 1; absent if no task is queued. */
  readonly queuePosition?: number
  readonly tasks: readonly { readonly task: number, readonly phase: string, readonly worker?: string, readonly reason: string }[]
}

/** A team's share of the cell in the share window. */
export interface TeamShare {
  readonly team: string
  /** Dominant fraction of capacity in use, from 0 to 1. */
  readonly runningShare: number
  /** Ratio of the resource time received in the window to the team's entitlement, which its demand limits; 1 is exactly its share. */
  readonly receivedOverEntitled: number
  readonly running: Resources
  readonly waitingTasks: number
}

/** Scheduler of one cell. Deterministic: no I/O, clock or randomness; equal calls give equal results. */
export interface CellScheduler {
  setManifest: (manifest: Manifest) => void
  setWorker: (worker: SchedulerWorker) => void
  /** Records that a worker is gone or that its lease has certainly expired: its attempts end and their tasks are requeued. */
  recordWorkerLost: (worker: string, nowMs: number) => void
  removeWorker: (worker: string) => void
  /** Adds an accepted job; `state` restores its committed state after a takeover. */
  addJob: (id: string, row: JobRow, state: JobStateRow | undefined, nowMs: number) => void
  cancelJob: (id: string, nowMs: number) => void
  /** Records a confirmed start of an attempt. */
  recordStarted: (id: AttemptId, worker: string, nowMs: number) => void
  /** Records the end of an attempt; unknown and outdated attempts are ignored. */
  recordEnded: (ended: EndedTask, worker: string, nowMs: number) => void
  recordUsage: (usage: TaskUsage, worker: string, nowMs: number) => void
  /**
   * Computes the decisions that are due.
   *
   * @param nowMs monotonic time
   * @param wallMs wall clock, for the share window
   * @param maxDecisions maximum number of decisions to return
   */
  decide: (nowMs: number, wallMs: number, maxDecisions: number) => SchedulerDecision[]
  /** Takes the ids of jobs whose state changed since the last call. */
  takeChangedJobs: () => string[]
  /** Returns the state of a job to commit. */
  readJobState: (id: string) => JobStateRow | undefined
  readJobRow: (id: string) => JobRow | undefined
  listDesired: (worker: string) => DesiredAttempts
  explainJob: (id: string, nowMs: number) => JobExplanation | undefined
  listTeamShares: (wallMs: number) => TeamShare[]
  /** Returns the resource time received in the share window, for `createCellScheduler` after a takeover. */
  readShareUsage: () => ShareUsage
  /** Removes an ended job from memory. */
  forgetJob: (id: string) => void
}
