/** Reads the rows of jobs: all of them first, then only those that changed. */
import {
  createDecoder, JobRow, JobStateRow, type EventLog, type Row
} from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import { rowMalformed } from './events.js'

const JOB_PREFIX = 'job/'
const STATE_PREFIX = 'jobState/'
const CANCEL_PREFIX = 'cancel/'

/** A job as the table keeps it. */
export interface StoredJob {
  readonly id: string
  readonly row: JobRow
  readonly state: JobStateRow | undefined
  /** Version of the state row; 0 if it does not exist. */
  readonly stateVersion: number
  readonly cancelled: boolean
}

/** What one read of the feed brought. */
export interface FeedNews {
  readonly newJobs: readonly StoredJob[]
  readonly cancelledJobs: readonly string[]
}

/** Feed of job rows. */
export interface JobFeed {
  /** Reads what changed since the last read; `null` if the table gave no answer. */
  readNews: () => Promise<FeedNews | null>
}

/** Names of the rows of a job. */
export function formatJobKeys (id: string): { readonly job: string, readonly state: string, readonly cancel: string } {
  return { job: JOB_PREFIX + id, state: STATE_PREFIX + id, cancel: CANCEL_PREFIX + id }
}

const decodeJob = createDecoder(JobRow)
const decodeState = createDecoder(JobStateRow)

interface SplitRows {
  readonly jobs: Map<string, Row>
  readonly states: Map<string, Row>
  readonly cancels: Set<string>
}

function collectRows (rows: readonly Row[]): SplitRows {
  const split: SplitRows = { jobs: new Map(), states: new Map(), cancels: new Set() }
  for (const row of rows) {
    if (row.value === null) continue
    if (row.key.startsWith(JOB_PREFIX)) split.jobs.set(row.key.slice(JOB_PREFIX.length), row)
    else if (row.key.startsWith(STATE_PREFIX)) split.states.set(row.key.slice(STATE_PREFIX.length), row)
    else if (row.key.startsWith(CANCEL_PREFIX)) split.cancels.add(row.key.slice(CANCEL_PREFIX.length))
  }
  return split
}

/** Creates a feed that starts with all rows. */
export function createJobFeed (platform: PlatformClient, events: EventLog): JobFeed {
  const known = new Set<string>()
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

  const collectNews = (rows: SplitRows): FeedNews => {
    const newJobs: StoredJob[] = []
    for (const [id, row] of rows.jobs) {
      if (known.has(id)) continue
      const stored = decodeStored(id, row, rows.states.get(id), rows.cancels.has(id))
      known.add(id)
      if (stored !== null) newJobs.push(stored)
    }
    return { newJobs, cancelledJobs: [...rows.cancels] }
  }

  return {
    readNews: async () => {
      const first = sinceRevision === 0
      const prefixes = [JOB_PREFIX, CANCEL_PREFIX].map((prefix) => ({ prefix, sinceRevision }))
      if (first) prefixes.push({ prefix: STATE_PREFIX, sinceRevision })
      const read = await platform.read({ keys: [], prefixes })
      if (read.isErr()) return null
      // A read that is older than one before brings nothing new.
      if (read.value.revision < sinceRevision) return { newJobs: [], cancelledJobs: [] }
      sinceRevision = read.value.revision
      return collectNews(collectRows(read.value.rows))
    }
  }
}
