/** Follows the rows of one table: all of them first, then what changes. */
import type { CallFailure, CellTable, TableRow } from './ports.js'

/** Options of a feed. */
export interface TableFeedOptions {
  readonly table: CellTable
  readonly name: string
  readonly part: string
  readonly applyRow: (row: TableRow) => void
  /** All rows were read anew and applied: what is not among them is gone. */
  readonly onWhole?: (rows: readonly TableRow[]) => void
  /** A read ended; `null` where it was answered. */
  readonly onRead?: (failure: CallFailure | null) => void
}

/** A feed; changes of other parts are applied as well. */
export interface TableFeed {
  /** Reads what is new, or waits up to `waitMs` for it; tells whether the table answered. */
  readNews: (waitMs: number) => Promise<boolean>
}

/** Creates a feed that has read nothing. */
export function createTableFeed (options: TableFeedOptions): TableFeed {
  const { table, name, part } = options
  let version: number | null = null

  const readAll = async (): Promise<boolean> => {
    const read = await table.readRange({ table: name, part })
    options.onRead?.(read.isErr() ? read.error : null)
    if (read.isErr()) return false
    for (const row of read.value.rows) options.applyRow(row)
    options.onWhole?.(read.value.rows)
    version = read.value.version
    return true
  }

  return {
    readNews: async (waitMs) => {
      if (version === null) return await readAll()
      const read = await table.readChanges(name, version, waitMs)
      options.onRead?.(read.isErr() ? read.error : null)
      if (read.isErr()) return false
      if (read.value.kind === 'historyLost') return await readAll()
      for (const row of read.value.rows) options.applyRow(row)
      version = read.value.version
      return true
    }
  }
}
