/** Tells whether the event loop of this process was blocked lately, so that its own timeouts say nothing about others. */
import type { Clock, Disposable } from '@fuchsiatally/core'
import { LOOP_PROBE_INTERVAL_MS, MAX_LOOP_DELAY_MS } from './constants.js'

/** Monitor of the event loop. */
export interface LoopMonitor extends Disposable {
  /** Whether the event loop was late within the last `memoryMs`. */
  isLate: (memoryMs: number) => boolean
  /** Longest delay of the event loop in the last one to two seconds, in milliseconds: a response may have arrived that long ago. */
  readLongestDelayMs: () => number
}

/** Period over which the longest delay is taken, in milliseconds. */
const DELAY_PERIOD_MS = 1000

/** Starts the monitor. */
export function createLoopMonitor (clock: Clock): LoopMonitor {
  let lateAtMs = -Infinity
  let dueAtMs = 0
  let timer: Disposable

  /** Longest delays since `periodStartMs` and in the period before. */
  let longestMs = 0
  let previousLongestMs = 0
  let periodStartMs = clock.nowMs()

  const recordDelay = (): void => {
    const nowMs = clock.nowMs()
    const delayMs = nowMs - dueAtMs
    if (delayMs > MAX_LOOP_DELAY_MS) lateAtMs = nowMs
    if (nowMs - periodStartMs >= DELAY_PERIOD_MS) {
      previousLongestMs = longestMs
      longestMs = 0
      periodStartMs = nowMs
    }
    longestMs = Math.max(longestMs, delayMs)
  }

  const scheduleProbe = (): void => {
    dueAtMs = clock.nowMs() + LOOP_PROBE_INTERVAL_MS
    timer = clock.setTimer(LOOP_PROBE_INTERVAL_MS, () => {
      recordDelay()
      scheduleProbe()
    })
  }
  scheduleProbe()

  return {
    isLate: (memoryMs) => {
      // Other timers may run before an overdue probe.
      recordDelay()
      return clock.nowMs() - lateAtMs <= memoryMs
    },
    readLongestDelayMs: () => {
      recordDelay()
      return Math.max(longestMs, previousLongestMs)
    },
    dispose: () => timer.dispose()
  }
}
