/** Logs that something fails, reminds while it goes on failing, and logs that it works again. */
import type { Clock, EventDefinition, EventFields, EventLog } from '@fuchsiatally/core'

/** Interval between two reminders of the same outage, in milliseconds. */
export const OUTAGE_REMINDER_MS = 30_000

/** Options of an outage log. */
export interface OutageLogOptions {
  readonly log: EventLog
  readonly clock: Clock
  readonly failed: EventDefinition
  readonly recovered: EventDefinition
}

/** State of one thing that may fail. */
export interface OutageLog {
  recordFailure: (fields: EventFields) => void
  recordSuccess: () => void
}

/** Creates the log; it takes the thing for working. */
export function createOutageLog (options: OutageLogOptions): OutageLog {
  const { log, clock } = options
  let sinceMs: number | null = null
  let recordedMs = -Infinity
  let failures = 0
  return {
    recordFailure: (fields) => {
      const nowMs = clock.nowMs()
      sinceMs ??= nowMs
      failures += 1
      if (nowMs - recordedMs < OUTAGE_REMINDER_MS) return
      recordedMs = nowMs
      log.record(options.failed, { ...fields, failures, forMs: Math.round(nowMs - sinceMs) })
    },
    recordSuccess: () => {
      if (sinceMs === null) return
      log.record(options.recovered, { failures, forMs: Math.round(clock.nowMs() - sinceMs) })
      sinceMs = null
      failures = 0
      recordedMs = -Infinity
    }
  }
}
