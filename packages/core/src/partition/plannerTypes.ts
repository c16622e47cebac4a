/** What goes into and comes out of the planner of a cell. */
import type { Resources } from '../schema/resources.js'
import type { JobPhase, JobStateRecord } from './jobState.js'
import type { StepJob } from './stepJob.js'
import type { TeamDemand } from './ceilingClaims.js'
import type { WorkerFacts } from './partitionWorker.js'

/** One run of one task, as orders and reports name it. */
export interface RunName {
  readonly job: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
  readonly run: number
}

/** A run that shall start once the state of its job is committed. */
export interface StartOrder extends RunName {
  readonly worker: string
  readonly payload: string
  readonly saved: string
  /** Permission of the queue's policy; `null` where the queue has none. */
  readonly ticket: string | null
  readonly gang: boolean
}

/** A run that shall stop. */
export interface StopOrder extends RunName {
  readonly worker: string
  readonly reason: 'cancelled' | 'jobFailed' | 'gangBroken' | 'superseded' | 'stray' | 'preempted' | 'stalled'
}

/** A question for the advice service. */
export interface AdviceQuestion {
  /** `job.occurrence.step` */
  readonly step: string
  readonly workers: readonly string[]
  /** Time that the answer takes once the call is served, in milliseconds. */
  readonly costMs: number
}

/** Run in a worker's list. */
export interface ListedRun extends RunName {
  readonly saved: string
  /** Progress in percent. */
  readonly percent: number
  /** Tail latency in milliseconds of a task that serves, cores in use of any other. */
  readonly load: number
}

/** How a run ended. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** Ended run in a worker's list. */
export interface ListedEnd extends RunName {
  /** Rising number within the worker's incarnation. */
  readonly number: number
  readonly how: RunEnd
  readonly saved: string
}

/** Complete list of a worker's runs. */
export interface WorkerReport {
  /** Monotonic time at which the question was sent: starts confirmed before then are in the list. */
  readonly askedAtMs: number
  readonly running: readonly ListedRun[]
  /** Ends with numbers above those already recorded. */
  readonly ended: readonly ListedEnd[]
}

/** How a worker answered a start. */
export type StartRefusal = 'room' | 'ticket' | 'superseded' | 'unavailable' | 'notSent'

/** What the planner wants done. */
export interface PlannerDecisions {
  readonly starts: readonly StartOrder[]
  readonly stops: readonly StopOrder[]
}

/** Sends a question to the advice service; `false` if it is too busy now. */
export type TryAsk = (question: AdviceQuestion) => boolean

/** Plans one cell; pure but for its own memory. */
export interface PartitionPlanner {
  /** Adds or changes a worker. A new one gets nothing before it is held. */
  setWorker: (facts: WorkerFacts) => void
  /** Whether the worker answers under the current epoch. */
  setHeld: (worker: string, held: boolean) => void
  /** Nothing starts at the worker before a time, in monotonic milliseconds: it leaves calls without an answer. 0 ends the suspicion. */
  setSuspect: (worker: string, untilMs: number) => void
  /** Everything that ran at the worker is over for certain, but for orders that may still be carried out. */
  recordWorkerLost: (worker: string, nowMs: number, isUnsettled?: (run: RunName) => boolean) => void
  /** Forgets a lost worker. */
  removeWorker: (worker: string) => void
  listWorkers: () => readonly string[]
  hasRuns: (worker: string) => boolean
  /** Ceilings on what a team may run in this cell; infinite where it has none. No work is stopped for those that are not settled. */
  setTeamLimits: (limits: ReadonlyMap<string, Resources>, areSettled?: boolean) => void
  /** What each team runs here, and what waited for its ceiling in the last round of planning. */
  listTeamDemand: () => ReadonlyMap<string, TeamDemand>
  /** Jobs of one team in the order of their acceptance, as far as it is known: what it sends beyond its share goes last while all is full. */
  addJob: (id: string, spec: StepJob, record: JobStateRecord, nowMs: number) => void
  /** Takes note of a job that has ended and holds nothing; its steps need not be known any more. */
  addEndedJob: (id: string, phase: JobPhase, endedAtMs: number) => void
  cancelJob: (id: string, wallMs: number) => void
  hasJob: (id: string) => boolean
  /** Takes a report in; returns runs that nobody should run any longer. */
  recordReport: (worker: string, report: WorkerReport, nowMs: number, wallMs: number) => StopOrder[]
  /** The order can take no effect any more that the worker's lists of runs don't show: it was answered, or barred by a stop. */
  recordSettled: (run: RunName, worker: string, nowMs: number) => void
  recordStartRefused: (order: StartOrder, refusal: StartRefusal, nowMs: number) => void
  /** Whether the run holds room at the worker. */
  isHeldAt: (run: RunName, worker: string) => boolean
  recordAdvice: (question: AdviceQuestion, good: ReadonlyMap<string, string>, nowMs: number) => void
  recordAdviceFailed: (question: AdviceQuestion, nowMs: number) => void
  /** @param tryAsk called for steps in the order of their rank */
  decide: (nowMs: number, wallMs: number, tryAsk: TryAsk) => PlannerDecisions
  /** Jobs whose state differs from the table. */
  takeChangedJobs: (most: number) => string[]
  isChanged: (job: string) => boolean
  addChangedJobs: (jobs: readonly string[]) => void
  readRecord: (id: string) => JobStateRecord | null
  readPhase: (id: string) => JobPhase | null
  /** Accepted jobs without a time of their own of which no task has started, by queue. */
  countWaiting: () => ReadonlyMap<string, number>
  /** Drops jobs that ended before `wallMs`; returns their ids. */
  forgetEnded: (wallMs: number) => string[]
}
