/** Accounting periods of the daily share window. */
import type { ShareWindow } from '../schema/manifest.js'

const MINUTE_MS = 60_000
const DAY_MS = 1440 * MINUTE_MS

/** A period of wall-clock time over which the resource time of teams is accumulated. */
export interface SharePeriod {
  readonly startMs: number
  readonly endMs: number
}

/**
 * Computes the period that contains `wallMs`: the share window or the time between two windows.
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
