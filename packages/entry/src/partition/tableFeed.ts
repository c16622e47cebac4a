/** Follows the rows of a table: reads a snapshot of its parts, then polls for changes. */
import type { CallFailure, PartitionTable, TableRow } from './ports.js'

export interface TableFeedOptions {
  readonly table: PartitionTable
  readonly name: string
  /** Parts to follow; a part that is added later is read in full at that time. */
  readonly listParts: () => readonly string[]
  readonly applyRow: (row: TableRow) => void
  /**
   * Replaces `applyRow` for parts that were read in full and receives all their rows; rows not among them no longer exist. Returns
   * `false` to have the parts read again.
   */
  readonly applySnapshot?: (rows: readonly TableRow[]) => Promise<boolean>
  /** Runs after each read; `failure` is `null` if the table responded. */
  readonly onRead?: (failure: CallFailure | null) => void
}

/** Feed of a table's rows. */
export interface TableFeed {
  /** Reads parts not loaded yet, otherwise waits up to `waitMs` for changes. Returns whether the read succeeded. */
  readUpdates: (waitMs: number) => Promise<boolean>
}

/** Creates a feed; it reads nothing before the first `readUpdates`. */
export function createTableFeed (options: TableFeedOptions): TableFeed {
  const { table, name } = options
  /** Parts that have been read in full. */
  const loadedParts = new Set<string>()
  /** Changes up to this version have been applied. */
  let version = Infinity

  const finishRead = (failure: CallFailure | null): boolean => {
    options.onRead?.(failure)
    return failure === null
  }

  const readParts = async (parts: readonly string[]): Promise<boolean> => {
    const reads = await Promise.all(parts.map((part) => table.readRange({ table: name, part })))
    const rows: TableRow[] = []
    let oldest = version
    for (const read of reads) {
      if (read.isErr()) return finishRead(read.error)
      rows.push(...read.value.rows)
      // Continues from the oldest version: rows that change between the reads of the parts are read again as updates.
      oldest = Math.min(oldest, read.value.version)
    }
    if (options.applySnapshot === undefined) for (const row of rows) options.applyRow(row)
    else if (!await options.applySnapshot(rows)) return false
    for (const part of parts) loadedParts.add(part)
    version = oldest
    return finishRead(null)
  }

  const readUpdates: TableFeed['readUpdates'] = async (waitMs) => {
    const newParts = options.listParts().filter((part) => !loadedParts.has(part))
    if (newParts.length > 0) return await readParts(newParts)
    const read = await table.readChanges(name, version, waitMs)
    if (read.isErr()) return finishRead(read.error)
    if (read.value.kind === 'historyLost') {
      loadedParts.clear()
      version = Infinity
      return await readUpdates(waitMs)
    }
    for (const row of read.value.rows) if (loadedParts.has(row.part)) options.applyRow(row)
    version = read.value.version
    return finishRead(null)
  }

  return { readUpdates }
}
