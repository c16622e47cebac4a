/** Logs malformed rows of a table that others write to: a bounded number of lines, whatever they write. */
import type { Clock, DecodeError, EventLog } from '@fuchsiatally/core'
import { MALFORMED_ROW_LOG_INTERVAL_MS, MAX_LOGGED_MALFORMED_ROWS } from './constants.js'
import { rowMalformed } from './events.js'
import type { TableRow } from './ports.js'

export interface MalformedRowsOptions {
  readonly clock: Clock
  readonly events: EventLog
}

/** Malformed rows of one table. */
export interface MalformedRows {
  /** Logs the row unless it was malformed already, or was logged a short time ago. */
  recordMalformed: (row: TableRow, error: DecodeError) => void
  /** The row is sound, or no longer exists. */
  recordSound: (key: string) => void
  /** The table was read in full: other rows than the given ones no longer exist. */
  forgetMissing: (keys: ReadonlySet<string>) => void
}

interface LoggedRow {
  readonly loggedAtMs: number
  isMalformed: boolean
}

export function createMalformedRows ({ clock, events }: MalformedRowsOptions): MalformedRows {
  const loggedRows = new Map<string, LoggedRow>()

  const isRecent = ({ loggedAtMs }: LoggedRow): boolean => clock.nowMs() - loggedAtMs < MALFORMED_ROW_LOG_INTERVAL_MS

  const forgetSoundRows = (): void => {
    for (const [key, logged] of loggedRows) if (!logged.isMalformed && !isRecent(logged)) loggedRows.delete(key)
  }

  return {
    recordMalformed: (row, { message }) => {
      const logged = loggedRows.get(row.key)
      if (logged !== undefined && (logged.isMalformed || isRecent(logged))) {
        logged.isMalformed = true
        return
      }
      if (logged === undefined && loggedRows.size >= MAX_LOGGED_MALFORMED_ROWS) forgetSoundRows()
      if (logged === undefined && loggedRows.size >= MAX_LOGGED_MALFORMED_ROWS) return
      loggedRows.set(row.key, { loggedAtMs: clock.nowMs(), isMalformed: true })
      events.record(rowMalformed, { table: row.table, part: row.part, key: row.key, error: message })
    },
    recordSound: (key) => {
      const logged = loggedRows.get(key)
      if (logged !== undefined) logged.isMalformed = false
    },
    forgetMissing: (keys) => {
      for (const [key, logged] of loggedRows) if (!keys.has(key)) logged.isMalformed = false
    }
  }
}
