/** Commits of one term: plans, stores what the plan changed together with the proof of holding, and only then gives the orders. */
import { createDisposableStore, type PartitionPlanner, type Clock, type Disposable, type EventLog, type StartOrder } from '@fuchsiatally/core'
import { createSerialLoop } from '../process/serialLoop.js'
import { COMMIT_PAUSE_MS, HOLDER_OUTAGE_MS, MAX_COMMIT_BYTES, MAX_COMMIT_ROWS, PLAN_PAUSE_MS, REFUSED_PAUSE_MS, RENEW_MS, STUCK_AFTER_MS, STUCK_FAILURES } from './constants.js'
import { runPlaced } from './events.js'
import { formatRun } from './formatRun.js'
import { PARTITION_TABLE, HOLDER_KEY, parseHolderRow, STATE_TABLE, type HolderRow } from './holderRow.js'
import type { PartitionTable, TableTransaction } from './ports.js'
import type { WorkerContact } from './workerContact.js'

/** Options of the commits. */
export interface PartitionCommitsOptions {
  readonly cell: string
  readonly row: HolderRow
  /** Version of the holder's row. */
  readonly version: number
  readonly table: PartitionTable
  readonly planner: PartitionPlanner
  readonly clock: Clock
  readonly events: EventLog
  readonly statusMs: number
  /** All accepted jobs are in the planner; before that the counts of the holder before stand. */
  readonly isLoaded: () => boolean
  readonly listContacts: () => Iterable<WorkerContact>
  /** Plans a round: hands out what needs no commit, returns the starts. */
  readonly plan: () => readonly StartOrder[]
  readonly startRun: (order: StartOrder) => void
  readonly onCommitted: (jobs: readonly string[]) => void
  /** Ended jobs left the planner; their rows are to be deleted, and their states after them by `dropStates`. */
  readonly onForgotten: (jobs: readonly string[]) => void
  /** The table does not take this entry's commits. */
  readonly onStuck: () => void
  readonly onDeposed: () => void
}

/** The running commits. */
export interface PartitionCommits extends Disposable {
  wake: () => void
  /** Deletes the states of jobs whose own rows are gone. */
  dropStates: (jobs: readonly string[]) => void
  /** Age of the last proof that this entry holds the cell, in milliseconds. */
  readConfirmedAgeMs: () => number
  /** Gives the cell up: the last commit says so, and who is to follow. */
  release: (successor: string | null) => Promise<void>
}

/** Commits that a planned stop tries; without one the successor waits for the holder's silence. */
const RELEASE_TRIES = 3

type Outcome = 'committed' | 'failed' | 'deposed'

/** Starts planning and committing. */
export function createPartitionCommits (options: PartitionCommitsOptions): PartitionCommits {
  const { planner, clock, table } = options
  const disposables = createDisposableStore()
  let version = options.version
  let renewals = options.row.renewals
  let mustRenew = true
  let renewedAtMs = -Infinity
  let confirmed = { nowMs: clock.nowMs(), wallMs: clock.wallMs() }
  let pendingStarts: StartOrder[] = []
  let dropped: string[] = []
  /** How the last commit failed. */
  let failed: 'refused' | 'unknown' | null = null
  let failures = 0
  let stopped = false
  let releasing = false
  let successor: string | null = null
  let running: Promise<void> = Promise.resolve()

  const buildHolderRow = (): string => JSON.stringify({
    ...options.row, ...(successor === null ? {} : { successor }), renewals, released: releasing, waiting: options.isLoaded() ? [...planner.countWaiting()] : options.row.waiting
  })

  const takeChanges = (): { jobs: string[], writes: TableTransaction['writes'][number][] } => {
    const jobs: string[] = []
    const writes: TableTransaction['writes'][number][] = []
    let bytes = 0
    for (const job of planner.takeChangedJobs(MAX_COMMIT_ROWS)) {
      const record = planner.readRecord(job)
      if (record === null) continue
      const value = JSON.stringify(record)
      if (bytes > 0 && bytes + value.length > MAX_COMMIT_BYTES) {
        planner.addChangedJobs([job])
        continue
      }
      bytes += value.length
      jobs.push(job)
      writes.push({ table: STATE_TABLE, key: job, value })
    }
    return { jobs, writes }
  }

  const listDropped = (room: number): TableTransaction['deletes'] => dropped.slice(0, room).map((job) => ({ table: STATE_TABLE, key: job }))

  const commit = async (transaction: TableTransaction, renews: boolean): Promise<Outcome> => {
    const sent = { nowMs: clock.nowMs(), wallMs: clock.wallMs() }
    const result = await table.commit(transaction)
    if (result.isErr()) {
      failed = result.error.kind
      // A try that lands late must find another version of the holder's row than the one it was made for.
      if (result.error.kind === 'unknown') mustRenew = true
      return 'failed'
    }
    failed = null
    if (result.value.kind === 'applied') {
      if (renews) {
        version = result.value.version
        renewedAtMs = sent.nowMs
        mustRenew = false
      }
      confirmed = sent
      return 'committed'
    }
    const row = result.value.rows.find((candidate) => candidate.key === HOLDER_KEY)
    const holder = row === undefined || row.deleted ? null : parseHolderRow(row, options.events)
    if (row === undefined || holder?.incarnation !== options.row.incarnation || holder.epoch !== options.row.epoch) return 'deposed'
    // An earlier renewal of this term was applied and its answer lost.
    version = row.version
    mustRenew = true
    return 'failed'
  }

  const sendStarts = (jobs: readonly string[], ready: number): void => {
    const stored = new Set(jobs)
    const due = pendingStarts.slice(0, ready).filter((order) => stored.has(order.job))
    pendingStarts = pendingStarts.filter((order, index) => index >= ready || !stored.has(order.job))
    for (const order of due) options.startRun(order)
  }

  const endTerm = (): void => {
    stopped = true
    disposables.dispose()
    options.onDeposed()
  }

  const runStep = async (): Promise<void> => {
    if (stopped) return
    const starts = releasing ? [] : options.plan()
    for (const order of starts) options.events.record(runPlaced, { run: formatRun(order), worker: order.worker, resumed: order.saved !== '' })
    pendingStarts.push(...starts)
    const forgotten = planner.forgetEnded(clock.wallMs() - options.statusMs)
    if (forgotten.length > 0) options.onForgotten(forgotten)
    const ready = pendingStarts.length
    const { jobs, writes } = takeChanges()
    const deletes = listDropped(MAX_COMMIT_ROWS - writes.length)
    for (const contact of options.listContacts()) contact.beginCommit()
    const renews = mustRenew || releasing || clock.nowMs() - renewedAtMs >= RENEW_MS
    if (writes.length === 0 && deletes.length === 0 && !renews) {
      for (const contact of options.listContacts()) contact.finishCommit()
      return
    }
    if (renews) {
      renewals++
      writes.push({ table: PARTITION_TABLE, key: HOLDER_KEY, value: buildHolderRow() })
    }
    const outcome = await commit({ part: options.cell, checks: [{ table: PARTITION_TABLE, key: HOLDER_KEY, version }], writes, deletes }, renews)
    if (stopped) return
    if (outcome === 'committed') {
      failures = 0
      dropped = dropped.slice(deletes.length)
      for (const contact of options.listContacts()) contact.finishCommit()
      sendStarts(jobs, ready)
      options.onCommitted(jobs)
      return
    }
    planner.addChangedJobs(jobs)
    failures++
    if (failures >= STUCK_FAILURES && clock.nowMs() - confirmed.nowMs >= STUCK_AFTER_MS) options.onStuck()
    if (outcome === 'deposed' || clock.nowMs() - confirmed.nowMs > HOLDER_OUTAGE_MS) endTerm()
  }

  const loop = createSerialLoop({
    clock,
    readPauseMs: () => failed !== null ? (failed === 'refused' ? REFUSED_PAUSE_MS : COMMIT_PAUSE_MS) : Math.min(PLAN_PAUSE_MS, Math.max(COMMIT_PAUSE_MS, RENEW_MS - (clock.nowMs() - renewedAtMs))),
    runStep: () => {
      running = runStep()
      return running
    }
  })
  disposables.add(loop)

  return {
    wake: () => { if (failed === null) loop.wake() },
    dropStates: (jobs) => { dropped.push(...jobs) },
    // A suspension stops the steady clock; the wall clock may jump. The larger age is the safe one.
    readConfirmedAgeMs: () => Math.max(clock.nowMs() - confirmed.nowMs, clock.wallMs() - confirmed.wallMs),
    release: async (next) => {
      loop.dispose()
      await running
      releasing = true
      successor = next
      for (let attempt = 0; attempt < RELEASE_TRIES; attempt++) {
        await runStep()
        if (failed === null || stopped) break
      }
      stopped = true
    },
    dispose: () => {
      stopped = true
      disposables.dispose()
    }
  }
}
