/**
 * Lease that one worker may hold, as far as its holder can know.
 *
 * Deadlines are times on the worker's clock, which starts anew with each life of the worker. A worker that is back under its id takes calls
 * that were meant for its former life: their deadlines lie far ahead on its new clock, and it shortens them to the longest lease that it
 * accepts, from the moment at which it executes the call. So a call that another life may have executed counts with that lease.
 */
import type { Clock } from '@fuchsiatally/core'
import { LEASE_MARGIN_MS, MAX_CLOCK_DRIFT, MAX_LATE_ORDER_MS } from './constants.js'
import { computeInheritedLeaseMs, computeLongestRemainderMs, computePriorLeaseBoundMs } from './leaseBounds.js'
import { createWorkerClock } from './workerClock.js'

export interface WorkerLeaseOptions {
  readonly epoch: number
  readonly termStartedAtMs: number
  readonly maxLeaseMs: number
  readonly clock: Clock
  /** Duration of a lease granted now, in milliseconds; `null` if this holder was not confirmed recently enough to extend leases. */
  readonly computeGrantMs: () => number | null
  /** Time at which the listed life of the worker began, in milliseconds since 1970; `null` if it isn't listed. */
  readonly readListedBirthMs: () => number | null
}

/** A call to the worker in progress. */
export interface LeaseCall {
  readonly life: number
  readonly sentAtMs: number
  /** Deadline that the call carries, on the worker's clock; `null` if none. */
  readonly untilMs: number | null
}

/** Reading of the worker's clock in a response. */
export interface LifeReading {
  readonly clockMs: number
  /** Start of the life that responded, in milliseconds since 1970. */
  readonly bornAtMs: number
}

/** Lease of one worker. */
export interface WorkerLease {
  /** Lower bound of the worker's clock now; `null` before the first response. */
  readClockMs: () => number | null
  /** Deadline of a lease granted now, on the worker's clock; `null` if none may be granted. */
  computeDeadline: () => number | null
  /** Latest deadline granted, or that may be in force, on the worker's clock. */
  readUntilMs: () => number
  /** Records a call before it is sent. */
  startCall: (untilMs: number | null) => LeaseCall
  /** Whether the worker may have restarted since the call began. */
  isOutdated: (call: LeaseCall) => boolean
  /** Records an order without a response; the worker may execute it late. */
  recordUnanswered: (call: LeaseCall) => void
  /** Records a lease call that failed. */
  recordFailed: (call: LeaseCall) => void
  /** Records the response to an order, which shows a restart by a clock that went back only. */
  recordAnswered: (call: LeaseCall, clockMs: number | null) => void
  /** Records the response to a lease call; `restarted`: by another life than the last one that was known. */
  recordReport: (call: LeaseCall, reading: LifeReading) => 'first' | 'same' | 'restarted'
  /** Whether an order was answered with a clock that went back, and no report has shown the life since. */
  mayHaveRestarted: () => boolean
  /** Time until every lease granted by this or an earlier holder has expired, in milliseconds. */
  computeExpiryDelayMs: () => number
  /** Whether an order without a response may still run, in a life that this holder knows nothing of. */
  mayRunUnseen: () => boolean
}

export function createWorkerLease (options: WorkerLeaseOptions): WorkerLease {
  const { clock, maxLeaseMs } = options
  const createdAtMs = clock.nowMs()
  const createdAtWallMs = clock.wallMs()
  const workerClock = createWorkerClock(clock)
  let untilMs = -Infinity
  /** Number of restarts that were noticed. */
  let life = 0
  let bornAtMs: number | null = null
  let isLifeUnknown = false
  /** Time until which an order without a response may be executed late. */
  let lateUntilMs = -Infinity
  /** Time until which a run may last that an order without a response has started in an unknown life. */
  let unseenUntilMs = -Infinity

  /** Applies that the clock of the worker may have started anew, and that calls by its former clock may have reached it. */
  const startLife = (clockMs: number): void => {
    life++
    untilMs = Math.min(untilMs, clockMs + maxLeaseMs + Math.max(0, lateUntilMs - clock.nowMs()))
    workerClock.forgetReadings()
  }

  /** Applies the deadline of a call by the clock of a former life, which the present one may have executed by now, or within `lateMs`. */
  const applyFormerCall = (call: LeaseCall, lateMs: number): void => {
    const nowMs = workerClock.readMs()
    if (call.life === life || call.untilMs === null || nowMs === null) return
    untilMs = Math.max(untilMs, Math.min(call.untilMs, nowMs + maxLeaseMs + lateMs))
  }

  return {
    readClockMs: () => workerClock.readMs(),
    computeDeadline: () => {
      const nowMs = workerClock.readMs()
      const grantMs = options.computeGrantMs()
      return nowMs === null || grantMs === null ? null : Math.floor(nowMs + grantMs)
    },
    readUntilMs: () => untilMs,
    startCall: (callUntilMs) => {
      if (callUntilMs !== null) untilMs = Math.max(untilMs, callUntilMs)
      return { life, sentAtMs: clock.nowMs(), untilMs: callUntilMs }
    },
    isOutdated: (call) => call.life !== life,
    recordUnanswered: (call) => {
      lateUntilMs = Math.max(lateUntilMs, call.sentAtMs + MAX_LATE_ORDER_MS)
      unseenUntilMs = clock.nowMs() + maxLeaseMs / (1 - MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS
      applyFormerCall(call, MAX_LATE_ORDER_MS)
    },
    recordFailed: (call) => applyFormerCall(call, 0),
    recordAnswered: (call, clockMs) => {
      if (clockMs === null || call.life !== life) {
        applyFormerCall(call, 0)
        return
      }
      if (clockMs >= (workerClock.readMs(call.sentAtMs) ?? -Infinity)) return
      isLifeUnknown = true
      startLife(clockMs)
      workerClock.recordReading(clockMs, call.sentAtMs)
    },
    recordReport: (call, reading) => {
      const result = bornAtMs === null ? 'first' : reading.bornAtMs === bornAtMs ? 'same' : 'restarted'
      if (result === 'restarted') startLife(reading.clockMs)
      if (result === 'first') {
        const ageMs = Math.min(reading.clockMs, Math.max(0, clock.wallMs() - reading.bornAtMs))
        const inheritedMs = computeInheritedLeaseMs({ epoch: options.epoch, maxLeaseMs, termAgeMs: clock.nowMs() - options.termStartedAtMs, lifeAgeMs: ageMs })
        untilMs = Math.max(untilMs, reading.clockMs + inheritedMs)
      }
      bornAtMs = reading.bornAtMs
      isLifeUnknown = false
      workerClock.recordReading(reading.clockMs, call.sentAtMs)
      applyFormerCall(call, 0)
      return result
    },
    mayHaveRestarted: () => isLifeUnknown,
    computeExpiryDelayMs: () => {
      const nowMs = workerClock.readMs()
      if (nowMs !== null) return computeLongestRemainderMs(untilMs, nowMs)
      // The worker has not responded in this term: the previous holder may have extended its lease until it had to stop.
      const listedBirthMs = options.readListedBirthMs()
      return createdAtMs + computePriorLeaseBoundMs(maxLeaseMs, listedBirthMs === null ? Infinity : createdAtWallMs - listedBirthMs) - clock.nowMs()
    },
    mayRunUnseen: () => clock.nowMs() < unseenUntilMs
  }
}
