/** The window over which shares are settled. */
import type { ShareWindow } from '../schema/manifest.js'

const MINUTE_MS = 60_000
const DAY_MS = 1440 * MINUTE_MS

/** One stretch of wall time over which received parts are summed up. */
export interface SharePeriod {
  readonly startMs: number
  readonly endMs: number
}

/**
 * Computes the period that `wallMs` lies in: the window itself, or the time between two windows.
 *
 * @param wallMs milliseconds since 1970
 */
export function computeSharePeriod (window: ShareWindow, wallMs: number): SharePeriod {
  const lengthMs = Math.min(window.lengthMinutes * MINUTE_MS, DAY_MS)
  const offsetMs = window.endMinuteOfDay * MINUTE_MS
  const endMs = Math.floor((wallMs - offsetMs) / DAY_MS + 1) * DAY_MS + offsetMs
  const startMs = endMs - lengthMs
  if (wallMs >= startMs) return { startMs, endMs }
  return { startMs: endMs - DAY_MS, endMs: startMs }
}
