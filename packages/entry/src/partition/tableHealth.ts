/** Monitors table calls: whether the table responds to this entry, and how long commits take. */
import { type Clock, createLoopDelayMeter, createResponseTimer, type EventLog } from '@fuchsiatally/core'
import type { Result } from 'neverthrow'
import { TABLE_TIMEOUT_MS } from './constants.js'
import { tableFast, tableSlow } from './events.js'
import type { CallFailure, PartitionTable } from './ports.js'

/** A table with a health check. Commits have a timeout that adapts to the duration of earlier commits. */
export interface MonitoredTable extends PartitionTable {
  /** Whether calls are currently unanswered, so that a call sent now would probably fail as well. */
  isSuspect: () => boolean
}

/** Time without a response, beyond the wait of the call, after which the table is suspect, in milliseconds; slowed down sixtyfold it responds after 360 ms. */
const SUSPECT_AFTER_MS = 500

/**
 * Number of calls, and time in milliseconds, that a rate limit must have refused without exception for the table to be suspect: a limit that
 * all entries share lets some calls through, while a table that turns this entry away refuses all.
 */
const LIMITED_CALL_COUNT = 3
const LIMITED_AFTER_MS = 150

/** Weight of the last sample in the moving average. */
const EWMA_WEIGHT = 0.2
/** Mean commit time from which the table counts as slow, and below which as fast again, in milliseconds; it is 13 under normal load. */
const SLOW_COMMIT_MS = 150
const FAST_COMMIT_MS = 50

/** Wraps a table with health monitoring. */
export function createMonitoredTable (table: PartitionTable, clock: Clock, events: EventLog): MonitoredTable {
  /** Times at which unanswered calls were sent whose response is overdue. */
  const overdue = new Set<{ readonly sentAtMs: number }>()
  let answeredAtMs = -Infinity
  const commitTimeout = createAdaptiveTimeout()
  let lastFailed = false
  /** Calls refused by a rate limit since the last one that was not, and the time of the first. */
  let limitedCalls = 0
  let limitedSinceMs = 0
  let meanCommitMs = 0
  let isSlow = false

  const recordCommit = (elapsedMs: number): void => {
    meanCommitMs += EWMA_WEIGHT * (elapsedMs - meanCommitMs)
    if (isSlow ? meanCommitMs > FAST_COMMIT_MS : meanCommitMs < SLOW_COMMIT_MS) return
    isSlow = !isSlow
    events.record(isSlow ? tableSlow : tableFast, { commitMs: Math.round(meanCommitMs) })
  }

  const recordLimit = (isLimited: boolean): void => {
    if (!isLimited) {
      limitedCalls = 0
      return
    }
    if (limitedCalls === 0) limitedSinceMs = clock.nowMs()
    limitedCalls++
  }

  const watchCall = async <T>(waitMs: number, call: Promise<Result<T, CallFailure>>): Promise<Result<T, CallFailure>> => {
    const pendingCall = { sentAtMs: clock.nowMs() }
    const timer = createResponseTimer({
      clock,
      timeoutMs: waitMs + SUSPECT_AFTER_MS,
      onTimeout: (isOwnDelay) => { if (!isOwnDelay) overdue.add(pendingCall) }
    })
    const result = await call
    timer.dispose()
    overdue.delete(pendingCall)
    recordLimit(result.isErr() && result.error.isOverload === true)
    if (result.isOk() || result.error.isOverload === true) {
      answeredAtMs = clock.nowMs()
      lastFailed = false
    } else if (result.error.isOwnDelay !== true && answeredAtMs < pendingCall.sentAtMs) lastFailed = true
    return result
  }

  return {
    commit: async (transaction, timeoutMs = TABLE_TIMEOUT_MS) => {
      const sentAtMs = clock.nowMs()
      const limitMs = Math.min(timeoutMs, commitTimeout.readMs())
      const loopDelay = createLoopDelayMeter(clock)
      const result = await watchCall(0, table.commit(transaction, limitMs))
      const elapsedMs = clock.nowMs() - sentAtMs
      const tableMs = elapsedMs - loopDelay.readDelayMs()
      loopDelay.dispose()
      if (result.isOk()) {
        commitTimeout.recordDuration(tableMs)
        recordCommit(tableMs)
      } else if (result.error.kind === 'unknown' && result.error.isOwnDelay !== true && elapsedMs >= limitMs) commitTimeout.recordTimeout()
      return result
    },
    readRange: (range) => watchCall(0, table.readRange(range)),
    readChanges: (name, version, waitMs) => watchCall(waitMs, table.readChanges(name, version, waitMs)),
    isSuspect: () => {
      if (lastFailed) return true
      if (limitedCalls >= LIMITED_CALL_COUNT && clock.nowMs() - limitedSinceMs >= LIMITED_AFTER_MS) return true
      // An overdue call counts only if no call has been answered since it was sent: a table that is slow or lost one response responds to others.
      for (const { sentAtMs } of overdue) if (answeredAtMs < sentAtMs) return true
      return false
    }
  }
}

/** Timeout that adapts to the duration of calls. */
export interface AdaptiveTimeout {
  /** Timeout of the next call, in milliseconds. */
  readMs: () => number
  recordDuration: (elapsedMs: number) => void
  recordTimeout: () => void
}

/** Timeout as a multiple of the mean duration. */
const TIMEOUT_FACTOR = 8
/** Shortest timeout, in milliseconds: twenty times the duration of a commit under normal load. */
const MIN_TIMEOUT_MS = 250

/** Creates a timeout for a table that responds within some 20 ms; it doubles each time it expires, up to `TABLE_TIMEOUT_MS`. */
export function createAdaptiveTimeout (): AdaptiveTimeout {
  let meanMs = 0
  let limitMs = MIN_TIMEOUT_MS
  return {
    readMs: () => limitMs,
    recordDuration: (elapsedMs) => {
      meanMs += EWMA_WEIGHT * (elapsedMs - meanMs)
      limitMs = Math.min(TABLE_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, TIMEOUT_FACTOR * Math.max(meanMs, EWMA_WEIGHT * elapsedMs)))
    },
    recordTimeout: () => { limitMs = Math.min(TABLE_TIMEOUT_MS, 2 * limitMs) }
  }
}
