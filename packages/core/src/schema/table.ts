/** API of the platform's transactional table, over HTTP with JSON bodies. */
import * as Schema from 'effect/Schema'

const Version = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))

/** Precondition of a transaction (optimistic concurrency): the row has this version; 0 means that it does not exist. */
export const RowCheck = Schema.Struct({ key: Schema.String, version: Version })
export type RowCheck = typeof RowCheck.Type

/** A write of one row; the value `null` deletes it. */
export const RowWrite = Schema.Struct({ key: Schema.String, value: Schema.Unknown })
export type RowWrite = typeof RowWrite.Type

/** `POST /table/transact`: applies all writes if all checks hold, otherwise none. */
export const Transaction = Schema.Struct({
  /** Chosen by the writer and stored in each written row, so that a read resolves a write of unknown outcome. */
  writeId: Schema.String,
  checks: Schema.Array(RowCheck),
  writes: Schema.Array(RowWrite)
})
export type Transaction = typeof Transaction.Type

/** Current state of one row. */
export const Row = Schema.Struct({
  key: Schema.String,
  /** Grows by one with each write of the row; a row recreated after a deletion continues above its old version. */
  version: Version,
  /** Revision of the table at the row's last write. */
  revision: Schema.Int,
  writeId: Schema.String,
  /** `null` is a tombstone of a deleted row; only reads with `sinceRevision` return these. */
  value: Schema.Unknown
})
export type Row = typeof Row.Type

/** Response to a transaction: 200 if applied, 409 on conflict, with the rows that were checked. */
export const TransactionReport = Schema.Union([
  Schema.Struct({ outcome: Schema.Literal('applied'), revision: Schema.Int, rows: Schema.Array(Row) }),
  Schema.Struct({ outcome: Schema.Literal('conflict'), revision: Schema.Int, rows: Schema.Array(Row) })
])
export type TransactionReport = typeof TransactionReport.Type

/** `POST /table/read`. */
export const TableQuery = Schema.Struct({
  keys: Schema.Array(Schema.String),
  /** Reads the rows with a key prefix that were written after a revision of the table; 0 reads all existing rows. */
  prefixes: Schema.Array(Schema.Struct({ prefix: Schema.String, sinceRevision: Schema.Int }))
})
export type TableQuery = typeof TableQuery.Type

/** Response to `POST /table/read`. */
export const TableRead = Schema.Struct({ revision: Schema.Int, rows: Schema.Array(Row) })
export type TableRead = typeof TableRead.Type
