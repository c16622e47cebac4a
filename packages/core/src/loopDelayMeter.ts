/** Measures for how long the event loop was late, so that it can be subtracted from the duration of a call. */
import type { Clock, Disposable } from './clock.js'

/** Interval of the probes, in milliseconds; each delay is measured as too short by at most this. */
const PROBE_INTERVAL_MS = 20

export interface LoopDelayMeter extends Disposable {
  /** Total delay of the event loop since the start of the meter, in milliseconds; a delay in progress is included. */
  readDelayMs: () => number
}

/** Starts a meter; it runs until disposed. */
export function createLoopDelayMeter (clock: Clock): LoopDelayMeter {
  let delayMs = 0
  let dueAtMs: number
  let timer: Disposable
  const readOverdueMs = (): number => Math.max(0, clock.nowMs() - dueAtMs)
  const scheduleProbe = (): void => {
    dueAtMs = clock.nowMs() + PROBE_INTERVAL_MS
    timer = clock.setTimer(PROBE_INTERVAL_MS, () => {
      delayMs += readOverdueMs()
      scheduleProbe()
    })
  }
  scheduleProbe()
  return {
    readDelayMs: () => delayMs + readOverdueMs(),
    dispose: () => timer.dispose()
  }
}
