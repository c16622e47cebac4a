/** Watches the calls of the table: whether it answers this entry, and how long a commit may take. */
import type { Clock, EventLog } from '@fuchsiatally/core'
import type { Result } from 'neverthrow'
import { TABLE_CALL_MS } from './constants.js'
import { tableFast, tableSlow } from './events.js'
import type { CallFailure, PartitionTable } from './ports.js'

/** A table whose health is known. Commits without an answer count as lost after a time that follows how long commits take. */
export interface WatchedTable extends PartitionTable {
  /** Whether calls go without an answer at this moment: what is sent now would probably share their fate. */
  isSuspect: () => boolean
}

/** A call without a wait of its own that is unanswered for this long makes the table suspect, in milliseconds; slowed sixtyfold it takes 360. */
const SUSPECT_MS = 500

/** Weight of the last answer in the mean. */
const MEAN_WEIGHT = 0.2
/** Mean time of commits from which the table counts as slow, and below which it is fast again, in milliseconds; a calm one takes 13. */
const SLOW_MS = 150
const FAST_MS = 50

/** Wraps the calls of a table. */
export function createWatchedTable (table: PartitionTable, clock: Clock, events: EventLog): WatchedTable {
  /** Calls that wait for an answer, and when they should have one. */
  const pending = new Set<{ readonly sentAtMs: number, readonly dueAtMs: number }>()
  let answeredAtMs = -Infinity
  const patience = createCallPatience()
  let lastFailed = false
  let commitMs = 0
  let isSlow = false

  const recordCommit = (elapsedMs: number): void => {
    commitMs += MEAN_WEIGHT * (elapsedMs - commitMs)
    if (isSlow ? commitMs > FAST_MS : commitMs < SLOW_MS) return
    isSlow = !isSlow
    events.record(isSlow ? tableSlow : tableFast, { commitMs: Math.round(commitMs) })
  }

  const watchCall = async <T>(waitMs: number, call: Promise<Result<T, CallFailure>>): Promise<Result<T, CallFailure>> => {
    const mark = { sentAtMs: clock.nowMs(), dueAtMs: clock.nowMs() + waitMs + SUSPECT_MS }
    pending.add(mark)
    const result = await call
    pending.delete(mark)
    if (result.isOk() || result.error.isOverload === true) {
      answeredAtMs = clock.nowMs()
      lastFailed = false
    } else if (answeredAtMs < mark.sentAtMs) lastFailed = true
    return result
  }

  return {
    commit: async (transaction, timeoutMs = TABLE_CALL_MS) => {
      const sentAtMs = clock.nowMs()
      const limitMs = Math.min(timeoutMs, patience.readTimeoutMs())
      const result = await watchCall(0, table.commit(transaction, limitMs))
      const elapsedMs = clock.nowMs() - sentAtMs
      if (result.isOk()) {
        patience.recordAnswer(elapsedMs)
        recordCommit(elapsedMs)
      } else if (result.error.kind === 'unknown' && elapsedMs >= limitMs) patience.recordTimeout()
      return result
    },
    readRange: (range) => watchCall(0, table.readRange(range)),
    readChanges: (name, version, waitMs) => watchCall(waitMs, table.readChanges(name, version, waitMs)),
    isSuspect: () => {
      if (lastFailed) return true
      // A table that is slow, or that lost one answer, still answers other calls.
      for (const { sentAtMs, dueAtMs } of pending) if (clock.nowMs() > dueAtMs && answeredAtMs < sentAtMs) return true
      return false
    }
  }
}

/** Time limit of calls that follows how long they take. */
export interface CallPatience {
  /** Time limit of the next call, in milliseconds. */
  readTimeoutMs: () => number
  recordAnswer: (elapsedMs: number) => void
  recordTimeout: () => void
}

/** Multiple of the mean after which an answer counts as lost. */
const PATIENCE_FACTOR = 8
/** Shortest time limit, in milliseconds: twenty times a calm commit. */
const LEAST_PATIENCE_MS = 250

/** Creates a limit for a table that answers within some 20 ms; it doubles with each time-out, up to `TABLE_CALL_MS`. */
export function createCallPatience (): CallPatience {
  let meanMs = 0
  let limitMs = LEAST_PATIENCE_MS
  return {
    readTimeoutMs: () => limitMs,
    recordAnswer: (elapsedMs) => {
      meanMs += MEAN_WEIGHT * (elapsedMs - meanMs)
      limitMs = Math.min(TABLE_CALL_MS, Math.max(LEAST_PATIENCE_MS, PATIENCE_FACTOR * Math.max(meanMs, MEAN_WEIGHT * elapsedMs)))
    },
    recordTimeout: () => { limitMs = Math.min(TABLE_CALL_MS, 2 * limitMs) }
  }
}
