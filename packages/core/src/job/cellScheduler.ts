/** Interface of the cell's scheduler: which task runs on which worker, decided in memory. */
import type { AttemptId, JobRow, JobStateRow } from '../schema/job.js'
import type { EndedTask, TaskUsage } from '../schema/linkMessage.js'
import type { Manifest } from '../schema/manifest.js'
import type { Resources } from '../schema/resources.js'
import type { ShareLedger } from '../team/teamRegistry.js'

/** A worker as the scheduler sees it. */
export interface SchedulerWorker {
  readonly id: string
  readonly failureDomain: string
  readonly rack: string
  readonly pool: string
  /** What tasks may use: the VM's resources less the reserves of its services. */
  readonly capacity: Resources
  /** Whether new tasks may start there: reachable, not leaving, not drained. */
  readonly schedulable: boolean
  /** Whether its services and checkpointable tasks shall move elsewhere; other tasks run to their end. */
  readonly draining?: boolean
}

/** A worker that lost against the chosen one. */
export interface LosingCandidate {
  readonly worker: string
  readonly reason: string
}

/** One decision; the scheduler's own state includes it already. */
export type SchedulerDecision =
  | {
    readonly kind: 'start'
    readonly id: AttemptId
    readonly team: string
    readonly worker: string
    readonly reason: string
    readonly losers: readonly LosingCandidate[]
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

/** Attempts that a worker shall run and end, from the scheduler's state. */
export interface DesiredAttempts {
  readonly run: readonly { readonly id: AttemptId, readonly job: JobRow }[]
  readonly end: readonly { readonly id: AttemptId, readonly checkpoint: boolean }[]
}

/** Why a job's tasks wait or where they run. */
export interface JobExplanation {
  readonly summary: string
  /** Place in the team's queue, from 1; absent when nothing waits. */
  readonly queuePosition?: number
  readonly tasks: readonly { readonly task: number, readonly phase: string, readonly worker?: string, readonly reason: string }[]
}

/** A team's part of the cluster in the share window. */
export interface TeamShare {
  readonly team: string
  /** Dominant part of capacity in use now, from 0 to 1. */
  readonly runningShare: number
  /** Received so far in the window over what it was entitled to and asked for; 1 is exactly its share. */
  readonly receivedOverEntitled: number
  readonly running: Resources
  readonly waitingTasks: number
}

/** Scheduler of one cell. Pure: no I/O, no clock, no randomness; equal calls give equal results. */
export interface CellScheduler {
  setManifest: (manifest: Manifest) => void
  setWorker: (worker: SchedulerWorker) => void
  /** The worker is gone or its lease has lapsed for certain: its attempts are over and its tasks queued again. */
  recordWorkerLost: (worker: string, nowMs: number) => void
  removeWorker: (worker: string) => void
  /** Adds an accepted job; `state` restores it after a takeover of the role. */
  addJob: (id: string, row: JobRow, state: JobStateRow | undefined, nowMs: number) => void
  cancelJob: (id: string, nowMs: number) => void
  /** An attempt runs for certain. */
  recordStarted: (id: AttemptId, worker: string, nowMs: number) => void
  /** An attempt is over; unknown or outdated attempts are ignored. */
  recordEnded: (ended: EndedTask, worker: string, nowMs: number) => void
  recordUsage: (usage: TaskUsage, worker: string, nowMs: number) => void
  /**
   * Takes the decisions that are due.
   *
   * @param nowMs monotonic time
   * @param wallMs wall clock, for the share window
   * @param maxDecisions upper bound of decisions in this call
   */
  decide: (nowMs: number, wallMs: number, maxDecisions: number) => SchedulerDecision[]
  /** Ids of jobs whose state changed since the last call. */
  takeChangedJobs: () => string[]
  /** State of a job as it shall be committed. */
  readJobState: (id: string) => JobStateRow | undefined
  readJobRow: (id: string) => JobRow | undefined
  listDesired: (worker: string) => DesiredAttempts
  explainJob: (id: string, nowMs: number) => JobExplanation | undefined
  listTeamShares: (wallMs: number) => TeamShare[]
  /** Parts received in the share window, for `createCellScheduler` after a takeover of the role. */
  readShareLedger: () => ShareLedger
  /** Ended jobs leave the memory. */
  forgetJob: (id: string) => void
}
