/** Logs the start of an outage, reminders while it lasts, and the recovery. */
import type { Clock, EventDefinition, EventFields, EventLog } from '@fuchsiatally/core'

/** Interval between two reminders of an outage, in milliseconds. */
export const OUTAGE_REMINDER_MS = 30_000

export interface OutageLogOptions {
  readonly log: EventLog
  readonly clock: Clock
  readonly failed: EventDefinition
  readonly recovered: EventDefinition
}

/** Outage log of one operation. */
export interface OutageLog {
  recordFailure: (fields: EventFields) => void
  recordSuccess: () => void
}

/** Creates the log; the operation is initially assumed to work. */
export function createOutageLog (options: OutageLogOptions): OutageLog {
  const { log, clock } = options
  let startedAtMs: number | null = null
  let loggedAtMs = -Infinity
  let failures = 0
  return {
    recordFailure: (fields) => {
      const nowMs = clock.nowMs()
      startedAtMs ??= nowMs
      failures += 1
      if (nowMs - loggedAtMs < OUTAGE_REMINDER_MS) return
      loggedAtMs = nowMs
      log.record(options.failed, { ...fields, failures, forMs: Math.round(nowMs - startedAtMs) })
    },
    recordSuccess: () => {
      if (startedAtMs === null) return
      log.record(options.recovered, { failures, forMs: Math.round(clock.nowMs() - startedAtMs) })
      startedAtMs = null
      failures = 0
      loggedAtMs = -Infinity
    }
  }
}
