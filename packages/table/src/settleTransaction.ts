/** Settles whether an earlier try of a transaction took effect, from the rows of a conflict. */
import type { Row, Transaction } from '@fuchsiatally/core'

/**
 * `applied`: a row carries the transaction's write id. `notApplied`: no earlier try took effect.
 * `overwritten`: every row was written again since, so the table no longer tells.
 */
export type EarlierTry = 'applied' | 'notApplied' | 'overwritten'

/**
 * Decides from the rows of a conflict what became of the earlier tries.
 *
 * Needs a transaction that checks at least one row which it writes; versions only grow, so the row's
 * version after the checked one was written by the transaction or by nobody of its tries.
 *
 * @param rows checked and written rows as they stand, deleted ones included
 */
export function resolveEarlierTry (transaction: Transaction, rows: readonly Row[]): EarlierTry {
  const byKey = new Map(rows.map((row) => [row.key, row]))
  for (const write of transaction.writes) {
    if (byKey.get(write.key)?.writeId === transaction.writeId) return 'applied'
  }
  for (const write of transaction.writes) {
    const check = transaction.checks.find((candidate) => candidate.key === write.key)
    if (check === undefined) continue
    const row = byKey.get(write.key)
    if (row === undefined || row.version <= check.version + 1) return 'notApplied'
  }
  return transaction.writes.length === 0 ? 'notApplied' : 'overwritten'
}

/** Leaves out deleted rows. */
export function listExistingRows (rows: readonly Row[]): Row[] {
  return rows.filter((row) => row.value !== null)
}
