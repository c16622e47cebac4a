/** Concludes from the failed calls to one worker how it was lost, and records what becomes of its tasks. */
import type { Clock, EventLog, LossOutcome, LostRunState, PartitionPlanner, RunName, WorkerLoss } from '@fuchsiatally/core'
import { MAX_LOGGED_RUNS } from './constants.js'
import { taskGivenUp, workerLost } from './events.js'
import { formatRun } from './formatRun.js'

/** What the calls to a worker showed when it was lost: its address refuses or closes connections, another worker responds there, or it restarted. */
export type LossCause = 'silent' | 'refused' | 'closed' | 'replaced' | 'restarted'

export interface WorkerLossesOptions {
  readonly worker: string
  readonly planner: PartitionPlanner
  readonly clock: Clock
  readonly events: EventLog
  /** Whether the worker is being drained: its end is no crash. */
  readonly isDraining: () => boolean
  /** Whether another worker is listed at the address of this one. */
  readonly isReplaced: () => boolean
}

/** Losses of one worker. */
export interface WorkerLosses {
  /** Records a response of any kind by the life that is known. */
  recordResponse: () => void
  /**
   * Records the first of a series of failed calls.
   *
   * @param hasResponded whether the worker has responded in this term; at the start of a term, all workers that failed before it fail at the same moment
   */
  recordFailing: (cause: LossCause, hasResponded: boolean) => void
  /** @param unsettled number of orders of unknown outcome */
  recordLost: (reason: string, cause: LossCause, unsettled: number, classifyRun: (run: RunName, confirmedAtMs: number | null) => LostRunState) => void
}

/** Formats the runs of a lost worker for its event. */
export function formatLostRuns ({ released, suspected }: Pick<LossOutcome, 'released' | 'suspected'>): { runs: string[], runCount: number, suspected: string[] } {
  return { runs: released.slice(0, MAX_LOGGED_RUNS).map(formatRun), runCount: released.length, suspected: suspected.slice(0, MAX_LOGGED_RUNS).map(formatRun) }
}

/** Logs the tasks that are given up for a crash of their worker. */
export function recordGivenUp (events: EventLog, worker: string, runs: readonly RunName[]): void {
  for (const run of runs) events.record(taskGivenUp, { job: run.job, run: formatRun(run), worker })
}

export function createWorkerLosses (options: WorkerLossesOptions): WorkerLosses {
  const { worker, planner, clock, events } = options
  /** Time at which the worker failed, at the earliest: that of the first failed call if its connection broke, else that of the last response. */
  let failedAtMs = 0
  let respondedAtMs = clock.nowMs()

  const resolveKind = (cause: LossCause): WorkerLoss['kind'] => {
    if (options.isDraining()) return 'left'
    if (cause === 'restarted' || cause === 'replaced' || options.isReplaced()) return 'crashed'
    return cause === 'refused' || cause === 'closed' ? 'refused' : 'silent'
  }

  return {
    recordResponse: () => { respondedAtMs = clock.nowMs() },
    recordFailing: (cause, hasResponded) => {
      const isAbrupt = cause === 'refused' || cause === 'closed'
      failedAtMs = isAbrupt ? clock.nowMs() : respondedAtMs
      if (hasResponded) planner.recordWorkerFailing(worker, clock.nowMs(), isAbrupt)
    },
    recordLost: (reason, cause, unsettled, classifyRun) => {
      const nowMs = clock.nowMs()
      const loss = { kind: resolveKind(cause), failedAtMs, nowMs, wallMs: clock.wallMs() }
      const outcome = planner.recordWorkerLost(worker, loss, classifyRun)
      events.record(workerLost, {
        worker,
        reason,
        cause,
        kind: loss.kind,
        failingMs: Math.round(nowMs - failedAtMs),
        ...formatLostRuns(outcome),
        unsettled
      })
      recordGivenUp(events, worker, outcome.givenUp)
    }
  }
}
