/** Commit loop of a term: plans, commits the changes fenced by the holder row, and sends the orders only after the commit. */
import { createDisposableStore, type PartitionPlanner, type Clock, type Disposable, type EventLog, type StartOrder } from '@fuchsiatally/core'
import { createSerialLoop } from '../process/serialLoop.js'
import { COMMIT_ONLY_PAUSE_MS, COMMIT_PAUSE_MS, LONG_ROUND_MS, MAX_UNCONFIRMED_TERM_MS, MAX_COMMIT_BYTES, MAX_COMMIT_ROWS, MAX_PLAN_PAUSE_MS, REFUSED_COMMIT_PAUSE_MS, RENEWAL_INTERVAL_MS, STUCK_AFTER_MS, STUCK_FAILURE_COUNT } from './constants.js'
import { runPlaced } from './events.js'
import type { HolderLoad } from './holderLoad.js'
import { formatRun } from './formatRun.js'
import type { PlanPacer } from './planPacer.js'
import { CRASH_TABLE, PARTITION_TABLE, HOLDER_KEY, parseHolderRow, type HolderRow } from './partitionRows.js'
import type { ClockReading, PartitionTable, TableTransaction } from './ports.js'
import type { PartitionWorkerController } from './partitionWorkerController.js'
import type { StateRows } from './stateRows.js'

export interface PartitionCommitsOptions {
  readonly partition: string
  readonly row: HolderRow
  /** Version of the holder row. */
  readonly version: number
  /** Time at which the takeover, or the read that found the holder row, was sent. */
  readonly confirmedAt: ClockReading
  readonly table: PartitionTable
  readonly planner: PartitionPlanner
  readonly stateRows: StateRows
  readonly clock: Clock
  readonly events: EventLog
  readonly load: HolderLoad
  readonly statusMs: number
  /** Whether all accepted jobs are in the planner; until then the queue counts of the previous holder are retained. */
  readonly isLoaded: () => boolean
  readonly listControllers: () => Iterable<PartitionWorkerController>
  readonly pacer: PlanPacer
  /** Plans one round: issues the orders that need no commit and returns about `maxTicketedStarts` starts with tickets at most. */
  readonly plan: (maxTicketedStarts: number) => readonly StartOrder[]
  /** Counts the starts with tickets that may be ordered now, so that none of them waits for long. */
  readonly countStartRoom: () => number
  /** @param commitMs duration of the commit that stored the start, in milliseconds */
  readonly startRun: (order: StartOrder, commitMs: number) => void
  readonly onCommitted: (jobs: readonly string[]) => void
  /** Ended jobs past their retention were removed from the planner: delete their rows, then their states with `deleteStates`. */
  readonly onJobsExpired: (jobs: readonly string[]) => void
  /** The table does not accept this entry's commits. */
  readonly onStuck: () => void
  readonly onDeposed: () => void
}

/** The running commit loop. */
export interface PartitionCommits extends Disposable {
  /** Plans and commits as soon as the pacing of the planning rounds allows, unless the last commit failed. */
  wake: () => void
  /** Deletes the states and crash rows of jobs whose own rows have been deleted. */
  deleteStates: (jobs: readonly string[]) => void
  /** Time since the last applied commit was sent, in milliseconds; each applied commit confirms that this entry holds the partition. */
  readConfirmedAgeMs: () => number
  /** Releases the partition: the final commit marks the holder row as released and names the successor. */
  release: (successor: string | null) => Promise<void>
}

/** Attempts of the final commit in a graceful shutdown; if all fail, the successor waits for the holder's timeout. */
const RELEASE_ATTEMPTS = 3

type CommitOutcome = 'committed' | 'failed' | 'deposed'

export function createPartitionCommits (options: PartitionCommitsOptions): PartitionCommits {
  const { planner, stateRows, clock, table, pacer } = options
  const disposables = createDisposableStore()
  let version = options.version
  let renewals = options.row.renewals
  let mustRenew = true
  let renewedAtMs = -Infinity
  let { confirmedAt } = options
  let pendingStarts: StartOrder[] = []
  let statesToDelete: string[] = []
  let isPlanRequested = false
  /** Whether the last step postponed its planning round until the holder row was renewed. */
  let postponedPlan = false
  /** Whether the last commit left changed jobs for the next one. */
  let hasMoreChanges = false
  /** Kind of failure of the last commit; `null` after a success. */
  let lastFailure: 'refused' | 'unknown' | null = null
  let failures = 0
  let stopped = false
  let releasing = false
  let successor: string | null = null
  let currentStep: Promise<void> = Promise.resolve()

  const buildHolderRow = (): string => JSON.stringify({
    ...options.row, ...(successor === null ? {} : { successor }), renewals, released: releasing, waiting: options.isLoaded() ? [...planner.countWaiting()] : options.row.waiting
  })

  /** A renewal that is due, or becomes due during a long planning round, goes before the round, at most in every other step. */
  const isRenewalFirst = (): boolean => {
    const roundMs = pacer.readLastRoundMs()
    return !postponedPlan && roundMs >= LONG_ROUND_MS && clock.nowMs() - renewedAtMs + roundMs >= RENEWAL_INTERVAL_MS
  }

  const planRound = (): void => {
    isPlanRequested = false
    const maxTicketedStarts = Math.max(0, options.countStartRoom() - pendingStarts.filter((order) => order.ticket !== null).length)
    const starts = options.load.measurePart('plan', () => options.plan(maxTicketedStarts))
    for (const order of starts) options.events.record(runPlaced, { run: formatRun(order), worker: order.worker, resumed: order.saved !== '' })
    pendingStarts.push(...starts)
    const expiredJobs = planner.removeEnded(clock.wallMs() - options.statusMs)
    if (expiredJobs.length > 0) options.onJobsExpired(expiredJobs)
  }

  const takeChanges = (): { jobs: string[], writes: TableTransaction['writes'][number][], deletes: TableTransaction['deletes'][number][] } => {
    const jobs: string[] = []
    const writes: TableTransaction['writes'][number][] = []
    const deletes: TableTransaction['deletes'][number][] = []
    let bytes = 0
    const taken = planner.takeChangedJobs(MAX_COMMIT_ROWS)
    hasMoreChanges = taken.length === MAX_COMMIT_ROWS
    for (const job of taken) {
      const record = planner.readRecord(job)
      if (record === null) continue
      const change = stateRows.buildChange(job, record)
      const crashes = planner.readCrashRecord(job)
      const changeBytes = change.writes.reduce((sum, { value }) => sum + value.length, 0)
      const rowCount = writes.length + deletes.length + change.writes.length + change.deletes.length + (crashes === null ? 0 : 1)
      if (bytes > 0 && (bytes + changeBytes > MAX_COMMIT_BYTES || rowCount > MAX_COMMIT_ROWS)) {
        planner.addChangedJobs([job])
        hasMoreChanges = true
        continue
      }
      bytes += changeBytes
      jobs.push(job)
      writes.push(...change.writes)
      deletes.push(...change.deletes)
      if (crashes !== null) writes.push({ table: CRASH_TABLE, key: job, value: JSON.stringify(crashes) })
    }
    return { jobs, writes, deletes }
  }

  /** Lists the rows of jobs past their retention, of as many jobs as there is room for. */
  const listStateDeletes = (room: number): { deletes: TableTransaction['deletes'][number][], deletedJobs: number } => {
    const deletes: TableTransaction['deletes'][number][] = []
    let deletedJobs = 0
    for (const job of statesToDelete) {
      const rows = stateRows.listRows(job)
      if (deletes.length + rows.length > room) break
      deletes.push(...rows)
      deletedJobs++
    }
    return { deletes, deletedJobs }
  }

  const commit = async (transaction: TableTransaction, renews: boolean): Promise<CommitOutcome> => {
    const sentAt = { nowMs: clock.nowMs(), wallMs: clock.wallMs() }
    const result = await table.commit(transaction)
    if (result.isErr()) {
      lastFailure = result.error.kind
      // A commit of unknown outcome may still be applied: renewing changes the version of the holder row, so that its check fails.
      if (result.error.kind === 'unknown') mustRenew = true
      return 'failed'
    }
    lastFailure = null
    if (result.value.kind === 'applied') {
      if (renews) {
        version = result.value.version
        renewedAtMs = sentAt.nowMs
        mustRenew = false
      }
      confirmedAt = sentAt
      return 'committed'
    }
    const row = result.value.rows.find((candidate) => candidate.key === HOLDER_KEY)
    const holder = row === undefined || row.deleted ? null : parseHolderRow(row, options.events)
    if (row === undefined || holder?.incarnation !== options.row.incarnation || holder.epoch !== options.row.epoch) return 'deposed'
    // An earlier renewal of this term was applied, but its response was lost.
    version = row.version
    mustRenew = true
    return 'failed'
  }

  /** Sends those of the first `readyCount` pending starts whose job the commit has stored. */
  const sendStarts = (jobs: readonly string[], readyCount: number, commitMs: number): void => {
    const stored = new Set(jobs)
    const due = pendingStarts.slice(0, readyCount).filter((order) => stored.has(order.job))
    pendingStarts = pendingStarts.filter((order, index) => index >= readyCount || !stored.has(order.job))
    for (const order of due) options.startRun(order, commitMs)
  }

  const endTerm = (): void => {
    stopped = true
    disposables.dispose()
    options.onDeposed()
  }

  const runStep = async (): Promise<void> => {
    if (stopped) return
    postponedPlan = !releasing && isRenewalFirst()
    if (!releasing && !postponedPlan && pacer.readDelayMs() === 0) pacer.runRound(planRound)
    const readyCount = pendingStarts.length
    const { jobs, writes, deletes } = options.load.measurePart('encode', takeChanges)
    const expired = listStateDeletes(MAX_COMMIT_ROWS - writes.length - deletes.length)
    deletes.push(...expired.deletes)
    for (const controller of options.listControllers()) controller.beginCommit()
    const renews = mustRenew || releasing || postponedPlan || clock.nowMs() - renewedAtMs >= RENEWAL_INTERVAL_MS
    if (writes.length === 0 && deletes.length === 0 && !renews) {
      for (const controller of options.listControllers()) controller.finishCommit()
      return
    }
    if (renews) {
      renewals++
      writes.push({ table: PARTITION_TABLE, key: HOLDER_KEY, value: buildHolderRow() })
    }
    const outcome = await commit({ part: options.partition, checks: [{ table: PARTITION_TABLE, key: HOLDER_KEY, version }], writes, deletes }, renews)
    if (stopped) return
    if (outcome === 'committed') {
      failures = 0
      statesToDelete = statesToDelete.slice(expired.deletedJobs)
      stateRows.recordCommitted(jobs)
      for (const controller of options.listControllers()) controller.finishCommit()
      sendStarts(jobs, readyCount, clock.nowMs() - confirmedAt.nowMs)
      options.onCommitted(jobs)
      return
    }
    planner.addChangedJobs(jobs)
    failures++
    if (failures >= STUCK_FAILURE_COUNT && clock.nowMs() - confirmedAt.nowMs >= STUCK_AFTER_MS) options.onStuck()
    if (outcome === 'deposed' || clock.nowMs() - confirmedAt.nowMs > MAX_UNCONFIRMED_TERM_MS) endTerm()
  }

  const readPauseMs = (): number => {
    if (lastFailure !== null) return lastFailure === 'refused' ? REFUSED_COMMIT_PAUSE_MS : COMMIT_PAUSE_MS
    if (postponedPlan || hasMoreChanges) return COMMIT_PAUSE_MS
    if (isPlanRequested) return Math.min(COMMIT_ONLY_PAUSE_MS, pacer.readDelayMs())
    return Math.min(MAX_PLAN_PAUSE_MS, Math.max(COMMIT_PAUSE_MS, RENEWAL_INTERVAL_MS - (clock.nowMs() - renewedAtMs)))
  }

  let isStepRunning = false
  /** Ends the current pause of the loop early. */
  let wakeTimer: Disposable | null = null
  const loop = createSerialLoop({
    clock,
    readPauseMs,
    runStep: () => {
      isStepRunning = true
      wakeTimer?.dispose()
      wakeTimer = null
      currentStep = runStep().finally(() => { isStepRunning = false })
      return currentStep
    }
  })
  disposables.add(loop)
  disposables.add({ dispose: () => wakeTimer?.dispose() })

  return {
    wake: () => {
      isPlanRequested = true
      if (lastFailure !== null || isStepRunning || stopped) return
      const delayMs = pacer.readDelayMs()
      if (delayMs === 0) loop.wake()
      else wakeTimer ??= clock.setTimer(Math.min(COMMIT_ONLY_PAUSE_MS, delayMs), () => loop.wake())
    },
    deleteStates: (jobs) => { statesToDelete.push(...jobs) },
    // A suspension stops the monotonic clock, and the wall clock may jump: the larger of the two ages is the safe bound.
    readConfirmedAgeMs: () => Math.max(clock.nowMs() - confirmedAt.nowMs, clock.wallMs() - confirmedAt.wallMs),
    release: async (next) => {
      loop.dispose()
      await currentStep
      releasing = true
      successor = next
      for (let attempt = 0; attempt < RELEASE_ATTEMPTS; attempt++) {
        await runStep()
        if (lastFailure === null || stopped) break
      }
      stopped = true
    },
    dispose: () => {
      stopped = true
      disposables.dispose()
    }
  }
}
