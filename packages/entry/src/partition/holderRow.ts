/** Rows that say who holds a cell, and which entries there are. */
import { computeHash, createDecoder, JobStateRecord, StepJob, type EventLog } from '@fuchsiatally/core'
import * as Schema from 'effect/Schema'
import { rowMalformed } from './events.js'
import type { TableRow } from './ports.js'

/** Table of holders and entries. */
export const PARTITION_TABLE = 'cell'
/** Key of a cell's holder in the cell's part. */
export const HOLDER_KEY = 'holder'
/** Key of the cells' claims on ceilings, in the empty part; no entry has such a name. */
export const CLAIMS_KEY = '!claims'
/** Tables of accepted jobs, spread over parts of their own, and of their states, in the part of their cell. */
export const JOB_TABLE = 'job'
export const STATE_TABLE = 'state'
/** Ends the key of a cancellation, which begins with the job's id. */
export const CANCEL_SUFFIX = '!cancel'

/**
 * Parts over which the accepted jobs of a cell are spread. A part takes three transactions a second while the table is slow, and the
 * callers' submissions must neither wait for each other nor hold the holder's commits up.
 */
const JOB_PARTS = 8

/** Part of the table that keeps an accepted job and its cancellation. */
export function computeJobPart (cell: string, job: string): string {
  return `${cell}/${computeHash(job) % JOB_PARTS}`
}

/** All parts that keep accepted jobs of a cell. */
export function listJobParts (cell: string): string[] {
  return Array.from({ length: JOB_PARTS }, (_, index) => `${cell}/${index}`)
}

/** Row of a cell. */
export const HolderRow = Schema.Struct({
  entry: Schema.String,
  incarnation: Schema.String,
  /** Fencing token of the cell's orders; rises with each holder. */
  epoch: Schema.Int,
  /** Given up in a planned stop. */
  released: Schema.Boolean,
  /** Incarnation that a planned stop hands the cell to. */
  successor: Schema.optionalKey(Schema.String),
  renewals: Schema.Int,
  /** Accepted jobs of which nothing has started, by queue. */
  waiting: Schema.Array(Schema.Tuple([Schema.String, Schema.Int]))
})
export type HolderRow = typeof HolderRow.Type

/** Row of an entry, by its name in the empty part. */
export const EntryRow = Schema.Struct({
  incarnation: Schema.String,
  failureDomain: Schema.String,
  linkAddress: Schema.String
})
export type EntryRow = typeof EntryRow.Type

/** Builds a reader of rows that logs those it cannot read and gives `null` for them. */
export function createRowReader<S extends Schema.ConstraintDecoder<unknown, never>> (schema: S): (row: TableRow, events: EventLog) => S['Type'] | null {
  const decode = createDecoder(schema)
  return (row, events) => {
    const fail = (error: string): null => {
      events.record(rowMalformed, { table: row.table, part: row.part, key: row.key, error })
      return null
    }
    try {
      const decoded = decode(JSON.parse(row.value))
      return decoded.isOk() ? decoded.value : fail(decoded.error.message)
    } catch (error) {
      return fail(String(error))
    }
  }
}

/** Decodes the row of a cell. */
export const parseHolderRow = createRowReader(HolderRow)
/** Decodes the row of an entry. */
export const parseEntryRow = createRowReader(EntryRow)
/** Decodes the row of an accepted job. */
export const parseJobRow = createRowReader(StepJob)
/** Decodes the row of a job's state. */
export const parseStateRow = createRowReader(JobStateRecord)
