/** Rows of partition holders and entries, their keys and decoders. */
import { computeHash, CrashRecord, createDecoder, StepJob, type EventLog } from '@fuchsiatally/core'
import * as Schema from 'effect/Schema'
import { MAX_LOGGED_ERROR_CHARS } from './constants.js'
import { rowMalformed } from './events.js'
import type { TableRow } from './ports.js'

/** Table of holders and entries. */
export const PARTITION_TABLE = 'cell'
/** Key of a partition's holder row, in the part of the partition. */
export const HOLDER_KEY = 'holder'
/** Key of all partitions' claims on ceilings, in the empty part; no entry has such a name. */
export const CLAIMS_KEY = '!claims'
/**
 * Part of the entries' capacity rows, keyed by entry. They are separate from the entry rows because entries of earlier versions reject
 * entry rows with unknown fields; such entries never read this part.
 */
export const CAPACITY_PART = '!capacity'
/** Processor capacity of an entry without a capacity row, in cores. */
export const DEFAULT_CORES = 1
/** Table that names the service of each accepted job. Earlier versions stored the jobs themselves here, in other parts. */
export const JOB_TABLE = 'job'
/** Table of job states, in the part of their partition. */
export const STATE_TABLE = 'state'
/** Table of the rows that continue states which exceed one row, in the part of their partition, keyed by job and number. */
export const OVERFLOW_TABLE = 'overflow'
/** Table of crashed workers by task, in the part of the partition, keyed by job. Entries of earlier versions don't read it. */
export const CRASH_TABLE = 'crash'
/** Suffix of the key of a cancellation; the job's id precedes it. */
export const CANCEL_SUFFIX = '!cancel'

/**
 * Parts over which the accepted jobs are sharded. A slow table takes three transactions a second for each part, and the callers' submissions
 * must neither queue behind each other nor delay the holders' commits.
 */
const JOB_PARTS = 16
/** Parts of each partition in which earlier versions stored its jobs. */
const EARLIER_JOB_PARTS = 8

/**
 * Part of the table that stores an accepted job and its cancellation. It follows from the id alone: the job is found, and a repeated submission
 * meets it, whatever service the configuration sends its queue to by then.
 */
export function computeJobPart (job: string): string {
  return `!jobs/${computeHash(job) % JOB_PARTS}`
}

/** Part in which earlier versions stored a job of a partition. */
export function computeEarlierJobPart (partition: string, job: string): string {
  return `${partition}/${computeHash(job) % EARLIER_JOB_PARTS}`
}

/** Table of the jobs of a partition and their cancellations: a holder reads no rows of other partitions. */
export function computeJobTable (partition: string): string {
  return `${JOB_TABLE}/${partition}`
}

/** All parts that store accepted jobs. */
export function listJobParts (): string[] {
  return Array.from({ length: JOB_PARTS }, (_, index) => `!jobs/${index}`)
}

/** All parts in which earlier versions stored the jobs of a partition. */
export function listEarlierJobParts (partition: string): string[] {
  return Array.from({ length: EARLIER_JOB_PARTS }, (_, index) => `${partition}/${index}`)
}

/** Row that names the service of a job. */
const ServiceRow = Schema.Struct({ service: Schema.String })

/** Row in the place of a job that was cancelled before it was stored: no submission of its id can be stored any more. */
const WithdrawnRow = Schema.Struct({ withdrawn: Schema.Literal(true) })

/** Row of an id. */
const JobIdRow = Schema.Union([ServiceRow, WithdrawnRow])

/** Encodes the row that names the service of a job. */
export function encodeService (partition: string): string {
  return JSON.stringify({ service: partition } satisfies typeof ServiceRow.Type)
}

/** Encoded row of a withdrawn job; also the value of its cancellation in the table of the partition's jobs. */
export const WITHDRAWN_VALUE = JSON.stringify({ withdrawn: true } satisfies typeof WithdrawnRow.Type)

/** Holder row of a partition. */
export const HolderRow = Schema.Struct({
  entry: Schema.String,
  incarnation: Schema.String,
  /** Fencing token of the partition's orders; increases with each term. */
  epoch: Schema.Int,
  /** Released in a graceful shutdown. */
  released: Schema.Boolean,
  /** Incarnation to which a graceful shutdown hands the partition over. */
  successor: Schema.optionalKey(Schema.String),
  renewals: Schema.Int,
  /** Number of accepted jobs without a started task, by queue. */
  waiting: Schema.Array(Schema.Tuple([Schema.String, Schema.Int]))
})
export type HolderRow = typeof HolderRow.Type

/** Row of an entry, keyed by its name in the empty part. */
export const EntryRow = Schema.Struct({
  incarnation: Schema.String,
  failureDomain: Schema.String,
  linkAddress: Schema.String
})
export type EntryRow = typeof EntryRow.Type

/** Capacity row of an entry. */
export const CapacityRow = Schema.Struct({
  /** Processor capacity, in cores. */
  cores: Schema.Finite.check(Schema.isGreaterThan(0))
})
export type CapacityRow = typeof CapacityRow.Type

/** Creates a reader that decodes rows; a malformed row is logged and read as `null`. */
export function createRowReader<S extends Schema.ConstraintDecoder<unknown, never>> (schema: S): (row: TableRow, events: EventLog) => S['Type'] | null {
  const decode = createDecoder(schema)
  return (row, events) => {
    const fail = (error: string): null => {
      events.record(rowMalformed, { table: row.table, part: row.part, key: row.key, error: error.slice(0, MAX_LOGGED_ERROR_CHARS) })
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

/** Decodes the holder row of a partition. */
export const parseHolderRow = createRowReader(HolderRow)
/** Decodes the row of an entry. */
export const parseEntryRow = createRowReader(EntryRow)
/** Decodes the capacity row of an entry. */
export const parseCapacityRow = createRowReader(CapacityRow)
/** Decodes the row of an accepted job. */
export const parseJobRow = createRowReader(StepJob)
/** Decodes the row of a job's crashed workers. */
export const parseCrashRow = createRowReader(CrashRecord)
/** Decodes the row of an id: the service of its job, or that it was withdrawn. */
export const parseJobIdRow = createRowReader(JobIdRow)
