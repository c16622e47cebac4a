/** Limits the log lines of each event per second and counts the suppressed lines. */
import type { Clock } from '@fuchsiatally/core'

/** Lines per second of an event; at the load projected for two years ahead, 110 runs start a second, and four times as many after a takeover. */
const MAX_LINES_PER_S = 440
const WINDOW_MS = 1000

/** Rate limiter of log lines, by event. */
export interface LogRateLimiter {
  /** Counts a line of the event; returns whether it may be written. */
  tryAcquire: (event: string) => boolean
  /** Returns the number of suppressed lines by event since the last call, and resets it. */
  takeSuppressed: () => ReadonlyMap<string, number>
}

/** Creates a rate limiter with a fixed window of one second. */
export function createLogRateLimiter (clock: Clock): LogRateLimiter {
  let windowStartedAtMs = clock.nowMs()
  let counts = new Map<string, number>()
  let suppressed = new Map<string, number>()
  return {
    tryAcquire: (event) => {
      if (clock.nowMs() - windowStartedAtMs >= WINDOW_MS) {
        windowStartedAtMs = clock.nowMs()
        counts = new Map()
      }
      const count = (counts.get(event) ?? 0) + 1
      counts.set(event, count)
      if (count <= MAX_LINES_PER_S) return true
      suppressed.set(event, (suppressed.get(event) ?? 0) + 1)
      return false
    },
    takeSuppressed: () => {
      const taken = suppressed
      suppressed = new Map()
      return taken
    }
  }
}
