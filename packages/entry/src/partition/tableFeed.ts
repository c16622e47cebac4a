/** Follows the rows of one table: all rows of its parts first, then what changes. */
import type { CallFailure, PartitionTable, TableRow } from './ports.js'

/** Options of a feed. */
export interface TableFeedOptions {
  readonly table: PartitionTable
  readonly name: string
  /** Parts to follow; one that is named later is read whole then. */
  readonly listParts: () => readonly string[]
  readonly applyRow: (row: TableRow) => void
  /**
   * Takes all rows of parts that were read whole, in place of `applyRow` for each; what is not among them is gone. `false` has them
   * read again.
   */
  readonly applyWhole?: (rows: readonly TableRow[]) => Promise<boolean>
  /** A step ended; `null` where the table answered. */
  readonly onRead?: (failure: CallFailure | null) => void
}

/** A feed. */
export interface TableFeed {
  /** Reads parts that were not read yet; else what is new, for which it waits up to `waitMs`. Tells whether all went well. */
  readNews: (waitMs: number) => Promise<boolean>
}

/** Creates a feed that has read nothing. */
export function createTableFeed (options: TableFeedOptions): TableFeed {
  const { table, name } = options
  /** Parts that were read whole. */
  const known = new Set<string>()
  /** Changes up to this version have been applied. */
  let version = Infinity

  const endStep = (failure: CallFailure | null): boolean => {
    options.onRead?.(failure)
    return failure === null
  }

  const readParts = async (parts: readonly string[]): Promise<boolean> => {
    const reads = await Promise.all(parts.map((part) => table.readRange({ table: name, part })))
    const rows: TableRow[] = []
    let oldest = version
    for (const read of reads) {
      if (read.isErr()) return endStep(read.error)
      rows.push(...read.value.rows)
      // What changes while the others are read is read again as news.
      oldest = Math.min(oldest, read.value.version)
    }
    if (options.applyWhole === undefined) for (const row of rows) options.applyRow(row)
    else if (!await options.applyWhole(rows)) return false
    for (const part of parts) known.add(part)
    version = oldest
    return endStep(null)
  }

  const readNews: TableFeed['readNews'] = async (waitMs) => {
    const unread = options.listParts().filter((part) => !known.has(part))
    if (unread.length > 0) return await readParts(unread)
    const read = await table.readChanges(name, version, waitMs)
    if (read.isErr()) return endStep(read.error)
    if (read.value.kind === 'historyLost') {
      known.clear()
      version = Infinity
      return await readNews(waitMs)
    }
    for (const row of read.value.rows) if (known.has(row.part)) options.applyRow(row)
    version = read.value.version
    return endStep(null)
  }

  return { readNews }
}
