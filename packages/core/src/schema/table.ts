/** The platform's transactional table, as it is met over HTTP with JSON bodies. */
import * as Schema from 'effect/Schema'

const Version = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))

/** Condition of a transaction: the row has this version; 0 means that it does not exist. */
export const RowCheck = Schema.Struct({ key: Schema.String, version: Version })
export type RowCheck = typeof RowCheck.Type

/** A row to be written; `null` deletes it. */
export const RowWrite = Schema.Struct({ key: Schema.String, value: Schema.Unknown })
export type RowWrite = typeof RowWrite.Type

/** `POST /table/transact`: all writes if all checks hold, else none. */
export const Transaction = Schema.Struct({
  /** Made by the writer; kept in each row written, so that a read settles a lost answer. */
  writeId: Schema.String,
  checks: Schema.Array(RowCheck),
  writes: Schema.Array(RowWrite)
})
export type Transaction = typeof Transaction.Type

/** One row as it stands. */
export const Row = Schema.Struct({
  key: Schema.String,
  /** Grows by one with each write of the row; a row written anew after a deletion starts above its old version. */
  version: Version,
  /** Revision of the table at the row's last write. */
  revision: Schema.Int,
  writeId: Schema.String,
  /** `null` marks a deleted row; only reads with `sinceRevision` show those. */
  value: Schema.Unknown
})
export type Row = typeof Row.Type

/** Answer to a transaction: 200 when applied, 409 on conflict with the rows that were checked. */
export const TransactionReport = Schema.Union([
  Schema.Struct({ outcome: Schema.Literal('applied'), revision: Schema.Int, rows: Schema.Array(Row) }),
  Schema.Struct({ outcome: Schema.Literal('conflict'), revision: Schema.Int, rows: Schema.Array(Row) })
])
export type TransactionReport = typeof TransactionReport.Type

/** `POST /table/read`. */
export const TableQuery = Schema.Struct({
  keys: Schema.Array(Schema.String),
  /** Rows below a prefix that were written after a revision of the table; 0 reads all that exist. */
  prefixes: Schema.Array(Schema.Struct({ prefix: Schema.String, sinceRevision: Schema.Int }))
})
export type TableQuery = typeof TableQuery.Type

/** Answer to `POST /table/read`. */
export const TableRead = Schema.Struct({ revision: Schema.Int, rows: Schema.Array(Row) })
export type TableRead = typeof TableRead.Type
