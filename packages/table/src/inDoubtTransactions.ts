/** Determines from the rows of a conflict whether an earlier attempt of an in-doubt transaction was applied. */
import type { Row, Transaction } from '@fuchsiatally/core'

/**
 * `applied`: a row carries the transaction's write id. `notApplied`: no earlier attempt was applied.
 * `overwritten`: every row has been overwritten since, so the table no longer shows the outcome.
 */
export type EarlierAttemptOutcome = 'applied' | 'notApplied' | 'overwritten'

/**
 * Resolves the outcome of earlier attempts from the rows of a conflict.
 *
 * The transaction must check at least one row that it writes. Versions only grow, so an attempt that was
 * applied left every such row at the version after the checked one, with its write id, or at a higher one.
 * A check of version 0 also matches a deleted row, whose version is not 0: the result may then be
 * `overwritten` although no attempt was applied, but never `notApplied` although one was.
 *
 * @param rows current state of the checked and written rows, deleted ones included
 */
export function resolveEarlierAttempt (transaction: Transaction, rows: readonly Row[]): EarlierAttemptOutcome {
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
