/** Tells whether the event loop of this process was blocked lately, so that its own timeouts say nothing about others. */
import type { Clock, Disposable } from '@fuchsiatally/core'
import { LOOP_PROBE_INTERVAL_MS, MAX_LOOP_DELAY_MS } from './constants.js'

/** Monitor of the event loop. */
export interface LoopMonitor extends Disposable {
  /** Whether the event loop was late within the last `memoryMs`. */
  isLate: (memoryMs: number) => boolean
}

/** Starts the monitor. */
export function createLoopMonitor (clock: Clock): LoopMonitor {
  let lateAtMs = -Infinity
  let dueAtMs = 0
  let timer: Disposable

  const recordDelay = (): void => {
    if (clock.nowMs() - dueAtMs > MAX_LOOP_DELAY_MS) lateAtMs = clock.nowMs()
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
    dispose: () => timer.dispose()
  }
}
