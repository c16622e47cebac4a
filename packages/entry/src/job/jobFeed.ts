/** Incremental reader of job rows: a full read first, then only rows that changed. */
import {
  createDecoder, JobRow, JobStateRow, type EventLog, type Row
} from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import { rowMalformed } from './events.js'

const JOB_PREFIX = 'job/'
const STATE_PREFIX = 'jobState/'
const CANCEL_PREFIX = 'cancel/'

/** Job as stored in the table. */
export interface StoredJob {
  readonly id: string
  readonly row: JobRow
  readonly state: JobStateRow | undefined
  /** Version of the state row; 0 if it does not exist. */
  readonly stateVersion: number
  readonly cancelled: boolean
}

/** Jobs and cancellations found by one read. */
export interface JobChanges {
  readonly newJobs: readonly StoredJob[]
  readonly cancelledJobs: readonly string[]
}

/** Incremental feed of job rows. */
export interface JobFeed {
  /** Returns the changes since the last read, or `null` if the table did not respond. */
  readChanges: () => Promise<JobChanges | null>
}

/** Formats the keys of a job's rows. */
export function formatJobKeys (id: string): { readonly job: string, readonly state: string, readonly cancel: string } {
  return { job: JOB_PREFIX + id, state: STATE_PREFIX + id, cancel: CANCEL_PREFIX + id }
}

const decodeJob = createDecoder(JobRow)
const decodeState = createDecoder(JobStateRow)

interface RowsByKind {
  readonly jobs: Map<string, Row>
  readonly states: Map<string, Row>
  readonly cancels: Set<string>
}

function collectRows (rows: readonly Row[]): RowsByKind {
  const byKind: RowsByKind = { jobs: new Map(), states: new Map(), cancels: new Set() }
  for (const row of rows) {
    if (row.value === null) continue
    if (row.key.startsWith(JOB_PREFIX)) byKind.jobs.set(row.key.slice(JOB_PREFIX.length), row)
    else if (row.key.startsWith(STATE_PREFIX)) byKind.states.set(row.key.slice(STATE_PREFIX.length), row)
    else if (row.key.startsWith(CANCEL_PREFIX)) byKind.cancels.add(row.key.slice(CANCEL_PREFIX.length))
  }
  return byKind
}

/** Creates a feed whose first read returns all rows. */
export function createJobFeed (platform: PlatformClient, events: EventLog): JobFeed {
  const knownJobs = new Set<string>()
  let sinceRevision = 0

  const decodeStored = (id: string, job: Row, stateRow: Row | undefined, cancelled: boolean): StoredJob | null => {
    const row = decodeJob(job.value)
    if (row.isErr()) {
      events.record(rowMalformed, { job: id, row: job.key })
      return null
    }
    if (stateRow === undefined) return { id, row: row.value, state: undefined, stateVersion: 0, cancelled }
    const state = decodeState(stateRow.value)
    if (state.isErr()) {
      events.record(rowMalformed, { job: id, row: stateRow.key })
      return null
    }
    return { id, row: row.value, state: state.value, stateVersion: stateRow.version, cancelled }
  }

  const collectChanges = (rows: RowsByKind): JobChanges => {
    const newJobs: StoredJob[] = []
    for (const [id, row] of rows.jobs) {
      if (knownJobs.has(id)) continue
      const stored = decodeStored(id, row, rows.states.get(id), rows.cancels.has(id))
      knownJobs.add(id)
      if (stored !== null) newJobs.push(stored)
    }
    return { newJobs, cancelledJobs: [...rows.cancels] }
  }

  return {
    readChanges: async () => {
      const isFirstRead = sinceRevision === 0
      const prefixes = [JOB_PREFIX, CANCEL_PREFIX].map((prefix) => ({ prefix, sinceRevision }))
      if (isFirstRead) prefixes.push({ prefix: STATE_PREFIX, sinceRevision })
      const read = await platform.read({ keys: [], prefixes })
      if (read.isErr()) return null
      // A read served from an older snapshot than the previous one contains no new changes.
      if (read.value.revision < sinceRevision) return { newJobs: [], cancelledJobs: [] }
      sinceRevision = read.value.revision
      return collectChanges(collectRows(read.value.rows))
    }
  }
}
