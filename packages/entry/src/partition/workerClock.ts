/** Lower bound of a worker's clock, derived from the readings in its responses. */
import type { Clock } from '@fuchsiatally/core'
import { MAX_CLOCK_DRIFT } from './constants.js'

/** Clock of one worker. */
export interface WorkerClock {
  /**
   * Returns the lower bound at a monotonic time of this process, by default now, in milliseconds of the worker's clock; `null` without a reading.
   * The clock may run slow, and a suspension of this process is not counted.
   */
  readMs: (atMs?: number) => number | null
  /** Records a reading that was taken after `sentAtMs`. */
  recordReading: (clockMs: number, sentAtMs: number) => void
  /** Forgets all readings: the worker has restarted. */
  forgetReadings: () => void
}

/** Creates a clock without readings. */
export function createWorkerClock (clock: Clock): WorkerClock {
  /** Reading that gives the highest lower bound now, and the time at which it was received. */
  let sample: { clockMs: number, receivedAtMs: number } | null = null

  const readMs = (atMs = clock.nowMs()): number | null => {
    if (sample === null) return null
    return sample.clockMs + (atMs - sample.receivedAtMs) * (1 - MAX_CLOCK_DRIFT)
  }

  return {
    readMs,
    // A response that is read late gives a bound that is too low by its delay: the earlier sample is kept if it gives a higher one.
    recordReading: (clockMs, sentAtMs) => {
      const nowMs = clock.nowMs()
      // The reading was taken after the call was sent; a lower one shows that the clock stood still, as in a suspension of the worker's VM.
      const isContradicted = clockMs < (readMs(sentAtMs) ?? Infinity)
      if (isContradicted || clockMs >= (readMs(nowMs) ?? -Infinity)) sample = { clockMs, receivedAtMs: nowMs }
    },
    forgetReadings: () => { sample = null }
  }
}
