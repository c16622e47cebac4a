/** Determines from the rows of a conflict whether an earlier attempt of an in-doubt transaction was applied. */
import type { Row, Transaction } from '@fuchsiatally/core'

/**
 * `applied`: a row carries the transaction's write id. `notApplied`: no earlier attempt was applied.
 * `overwritten`: every row has been overwritten since, so the table no longer shows the outcome.
 */
export type EarlierAttempt = 'applied' | 'notApplied' | 'overwritten'

/**
 * Resolves the outcome of earlier attempts from the rows of a conflict.
 *
 * The transaction must check at least one row that it writes. Versions only grow, so only the version
 * that directly follows the checked one can have been written by an attempt of this transaction.
 *
 * @param rows current state of the checked and written rows, deleted ones included
 */
export function resolveEarlierAttempt (transaction: Transaction, rows: readonly Row[]): EarlierAttempt {
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

/** Filters out deleted rows. */
export function listExistingRows (rows: readonly Row[]): Row[] {
  return rows.filter((row) => row.value !== null)
}
