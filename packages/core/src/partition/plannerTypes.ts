/** Inputs and outputs of the partition planner. */
import type { Resources } from '../schema/resources.js'
import type { CrashRecord, JobPhase, JobStateRecord } from './jobState.js'
import type { StepJob } from './stepJob.js'
import type { TeamDemand } from './ceilingClaims.js'
import type { WorkerInfo } from './partitionWorker.js'

/** Identifies one run of one task in orders and reports. */
export interface RunName {
  readonly job: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
  readonly run: number
}

/** A run to start once the state of its job is committed. */
export interface StartOrder extends RunName {
  readonly worker: string
  readonly payload: string
  /** Checkpoint to resume from; empty if none. */
  readonly saved: string
  /** Advice ticket for the worker; `null` if the queue requires no advice. */
  readonly ticket: string | null
  /** Monotonic time from which the worker refuses the ticket, in milliseconds; infinite without a ticket. */
  readonly ticketUntilMs: number
  readonly gang: boolean
  /** Monotonic time of the decision, in milliseconds. */
  readonly decidedAtMs: number
}

/** A run to stop. */
export interface StopOrder extends RunName {
  readonly worker: string
  readonly reason: 'cancelled' | 'jobFailed' | 'gangBroken' | 'superseded' | 'stray' | 'preempted' | 'stalled'
}

/** A query to the advice service. */
export interface AdviceQuery {
  /** `job.occurrence.step` */
  readonly step: string
  readonly workers: readonly string[]
  /** Estimated service time of the query, in milliseconds. */
  readonly costMs: number
}

/** Run in progress in a worker's report. */
export interface ListedRun extends RunName {
  /** Latest checkpoint; empty if none. */
  readonly saved: string
  /** Progress in percent. */
  readonly percent: number
  /** Tail latency in milliseconds for a task that serves requests, cores in use for any other. */
  readonly load: number
}

/**
 * How a run ended. `done`: completed; `failed`: the task failed; `stopped`: by an order; `lapsed`: its lease expired; `broken`: another
 * member of its gang ended; `alone`: the other members of its gang did not start within the gang's limit.
 */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** Ended run in a worker's report. */
export interface ListedEnd extends RunName {
  /** Sequence number, increasing within the worker's incarnation. */
  readonly number: number
  readonly how: RunEnd
  /** Latest checkpoint; empty if none. */
  readonly saved: string
}

/** A worker's running and recently ended runs. */
export interface WorkerReport {
  /** Monotonic time at which the report was requested: starts confirmed before then are included. */
  readonly requestedAtMs: number
  readonly running: readonly ListedRun[]
  /** Ended runs with sequence numbers above those already recorded. */
  readonly ended: readonly ListedEnd[]
  /** Further ends are listed once these are acknowledged: a run that is in neither list may have ended with any result. */
  readonly hasMoreEnds: boolean
}

/** Reason why a start had no effect. */
export type StartRefusal = 'room' | 'ticket' | 'superseded' | 'unavailable' | 'notSent'

/** How a worker was lost. */
export interface WorkerLoss {
  /**
   * `crashed`: another life of it, or another worker, responds at its address; `unseen`: a later life of it responds, but it failed before this
   * term; `refused`: its address refuses connections, as after a crash or behind some cuts; `silent`: no response; `missing`: it failed before
   * this term, like several others, and has no later life; `left`: it was draining or is gone for good.
   */
  readonly kind: 'crashed' | 'unseen' | 'refused' | 'silent' | 'missing' | 'left'
  /** Monotonic time at which the worker failed, at the earliest; for an `unseen` loss, that of the start of its later life. */
  readonly failedAtMs: number
  readonly nowMs: number
  readonly wallMs: number
}

/**
 * What is known of a run whose worker was lost. `lost`: it ran there; `inDoubt`: its order may have been executed; `unsent`: its order never left;
 * `alive`: it may belong to the next life of the worker.
 */
export type LostRunState = 'lost' | 'inDoubt' | 'unsent' | 'alive'

/** What became of the tasks of a lost worker. */
export interface LossOutcome {
  /** Runs whose tasks wait again. */
  readonly released: readonly RunName[]
  /** Those of them that will run apart from the tasks of other steps. */
  readonly suspected: readonly RunName[]
  /** Last runs of tasks that are given up because they crash their workers. */
  readonly givenUp: readonly RunName[]
}

/** A worker that was set apart for a step with suspected tasks, or takes other tasks again. */
export interface IsolationChange {
  readonly worker: string
  /** `job.occurrence.step` */
  readonly step: string
  readonly kind: 'held' | 'released'
  /** Time since the worker was set apart, in milliseconds. */
  readonly heldMs: number
}

/** Orders of one planning round. */
export interface PlannerDecisions {
  readonly starts: readonly StartOrder[]
  readonly stops: readonly StopOrder[]
  readonly isolation: readonly IsolationChange[]
}

/** Sends a query to the advice service; returns `false` if the service is saturated. */
export type TrySendQuery = (query: AdviceQuery) => boolean

/** Whether the advice service would take a query of an estimated service time in milliseconds now; if so, it would take any shorter one. */
export type CanSendQuery = (costMs: number) => boolean

export interface RoundOptions {
  /** Asked before a query is composed; default: always. */
  readonly canSend?: CanSendQuery
  /**
   * Number of starts with tickets after which other steps that need advice are left out of the round; a gang may exceed it. Default: no limit.
   */
  readonly maxTicketedStarts?: number
}

/** Schedules one partition; without I/O, with in-memory state only. */
export interface PartitionPlanner {
  /** Adds or updates a worker. A new worker receives no tasks until it is marked as synced. */
  setWorker: (info: WorkerInfo) => void
  /** Sets whether the worker's full list of runs is known under the current epoch. */
  setSynced: (worker: string, synced: boolean) => void
  /** Pauses starts at an unresponsive worker until a monotonic time in milliseconds; 0 lifts the pause. */
  setSuspect: (worker: string, untilMs: number) => void
  /** Records the first of a series of failed calls to a worker. */
  recordWorkerFailing: (worker: string, nowMs: number, isAbrupt: boolean) => void
  /**
   * Releases the runs of a lost worker.
   *
   * @param classifyRun runs in doubt and alive keep their resources, the loss counts against those that were lost or in doubt; default: all runs are
   * `lost`
   */
  recordWorkerLost: (worker: string, loss: WorkerLoss, classifyRun?: (run: RunName, confirmedAtMs: number | null) => LostRunState) => LossOutcome
  /** Another worker responds at the address of a lost one, which therefore crashed; returns the tasks that are given up for it. */
  recordWorkerReplaced: (worker: string, nowMs: number, wallMs: number) => readonly RunName[]
  /**
   * Records the start of a worker's life when it first responds in a term: runs of earlier terms that it doesn't report, of jobs that were
   * accepted before, may have ended with its former life.
   *
   * @param bornAtMs milliseconds since 1970
   * @returns the tasks that are given up for it
   */
  recordWorkerBorn: (worker: string, bornAtMs: number, isReported: (run: RunName) => boolean, nowMs: number, wallMs: number) => readonly RunName[]
  /** A lost worker responds again in the same life: it was cut off. */
  recordWorkerSurvived: (worker: string) => void
  /** Removes a lost worker. */
  removeWorker: (worker: string) => void
  listWorkers: () => readonly string[]
  hasRuns: (worker: string) => boolean
  /** Whether a worker is set apart for suspected tasks. */
  isIsolated: (id: string) => boolean
  /**
   * Sets each team's part of its ceiling; infinite if absent. Provisional limits (`areFinal` is `false`) cause no preemption.
   *
   * @param ceilings whole ceilings of the teams; work that exceeds them is no demand
   */
  setTeamLimits: (limits: ReadonlyMap<string, Resources>, areFinal?: boolean, ceilings?: ReadonlyMap<string, Resources>) => void
  /** Resources that each team uses here, and those blocked by its limit in the last planning round. */
  listTeamDemand: () => ReadonlyMap<string, TeamDemand>
  /** Adds an accepted job. Jobs of one team should be added in order of acceptance: under overload, those beyond its guaranteed rate are scheduled last. */
  addJob: (id: string, spec: StepJob, record: JobStateRecord, nowMs: number, crashes?: CrashRecord) => void
  /** Adds a job that has ended and has no allocated tasks, by its final phase only. */
  addEndedJob: (id: string, phase: JobPhase, endedAtMs: number) => void
  cancelJob: (id: string, wallMs: number) => void
  hasJob: (id: string) => boolean
  /** Applies a worker's report; returns stop orders for stray runs. */
  recordReport: (worker: string, report: WorkerReport, nowMs: number, wallMs: number) => StopOrder[]
  /** Records that the worker started a run: from now on its reports show it. */
  recordStartConfirmed: (run: RunName, worker: string, nowMs: number) => void
  /** Records that a start order was fenced off by a stop or a later run: from now on the worker's reports show whether it was executed. */
  recordOrderSettled: (run: RunName, worker: string, nowMs: number) => void
  recordStartRefused: (order: StartOrder, refusal: StartRefusal, nowMs: number) => void
  /** Whether the worker's capacity has shrunk below what is allocated to it. */
  isOvercommitted: (worker: string) => boolean
  /** Whether the run is allocated to the worker. */
  isAllocatedAt: (run: RunName, worker: string) => boolean
  recordAdvice: (query: AdviceQuery, tickets: ReadonlyMap<string, string>, nowMs: number) => void
  recordAdviceFailed: (query: AdviceQuery, nowMs: number) => void
  /** @param trySend called for steps in order of rank */
  decide: (nowMs: number, wallMs: number, trySend: TrySendQuery, options?: RoundOptions) => PlannerDecisions
  /** Counts the evaluations of workers and tasks in the last planning round. */
  countEvaluations: () => number
  /** Stops of earlier rounds at a worker whose runs have not ended yet, for a controller that was created after they were ordered. */
  listOrderedStops: (worker: string) => readonly StopOrder[]
  /** Removes and returns up to `maxCount` jobs whose state differs from the table. */
  takeChangedJobs: (maxCount: number) => string[]
  isChanged: (job: string) => boolean
  addChangedJobs: (jobs: readonly string[]) => void
  readRecord: (id: string) => JobStateRecord | null
  /** Crashed workers by task; `null` if there never were any, empty if all that an earlier record had were withdrawn. */
  readCrashRecord: (id: string) => CrashRecord | null
  readPhase: (id: string) => JobPhase | null
  /** Number of one-off jobs of which no task has started, by queue. */
  countWaiting: () => ReadonlyMap<string, number>
  /** Counts the steps and tasks that wait for capacity. */
  countBacklog: () => { steps: number, tasks: number }
  /** Removes jobs that ended before `wallMs`; returns their ids. */
  removeEnded: (wallMs: number) => string[]
}
