/** Point reads of the table. */
import type { Result } from 'neverthrow'
import type { CallFailure, PartitionTable, TableRow } from './ports.js'

/** Reads a row by its key; `undefined` if there is none. */
export async function readRow (table: PartitionTable, name: string, part: string, key: string): Promise<Result<TableRow | undefined, CallFailure>> {
  const read = await table.readRange({ table: name, part, from: key, to: `${key}!` })
  return read.map(({ rows }) => rows.find((row) => row.key === key))
}
