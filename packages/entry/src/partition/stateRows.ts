/** Stores job states as rows of the table. A state that exceeds one row continues in overflow rows, which change in the same transaction. */
import { createDecoder, JobStateRecord, OccurrenceRecords, type EventLog } from '@fuchsiatally/core'
import * as Schema from 'effect/Schema'
import { MAX_STATE_BYTES, STATE_ROW_BYTES } from './constants.js'
import { checkpointsNotStored, rowMalformed } from './events.js'
import { createRowReader, CRASH_TABLE, OVERFLOW_TABLE, STATE_TABLE } from './partitionRows.js'
import type { RowName, TableRow, TableTransaction } from './ports.js'

/** Row of a job's state. */
const StateRow = Schema.Struct({
  ...JobStateRecord.fields,
  /** Number of overflow rows, which hold the occurrences in place of this row; none if absent. */
  overflow: Schema.optionalKey(Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: Math.ceil(MAX_STATE_BYTES / STATE_ROW_BYTES) })))
})
export type StateRow = typeof StateRow.Type

/** Decodes the row of a job's state. */
export const parseStateRow = createRowReader(StateRow)

const decodeOccurrences = createDecoder(OccurrenceRecords)

/** Rows to change for a job's state. */
export type StateChange = Pick<TableTransaction, 'writes' | 'deletes'>

/** Rows of the job states of one partition. */
export interface StateRows {
  /** Builds the change that stores a state and deletes the overflow rows that it no longer needs. */
  buildChange: (job: string, state: JobStateRecord) => StateChange
  /** Records that the last changes built for these jobs were committed. */
  recordCommitted: (jobs: readonly string[]) => void
  /** Rows to delete for a job past its retention. */
  listRows: (job: string) => readonly RowName[]
  /** Restores a state from its row and its overflow rows, by key; `null` if one of them is missing or malformed. */
  restoreState: (job: string, row: StateRow, overflow: ReadonlyMap<string, TableRow>) => JobStateRecord | null
}

/** Rows are cut between characters of one byte each, so that every row is valid text of its own. */
function encodeAscii (json: string): string {
  return json.replace(/[\u0080-\uffff]/g, (character) => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`)
}

function dropCheckpoints (state: JobStateRecord): JobStateRecord {
  const occurrences = state.occurrences.map(([index, steps]) => [
    index,
    steps.map((tasks) => tasks.map(([phase, run, worker, failures]) => [phase, run, worker, failures, ''] as const))
  ] as const)
  return { ...state, occurrences }
}

function buildOverflowKey (job: string, index: number): string {
  return `${job}/${index}`
}

/** Creates the rows of a partition without states. */
export function createStateRows (events: EventLog): StateRows {
  /** Most overflow rows that a job may have in the table, and those of the last change built; jobs without any are absent. */
  const stored = new Map<string, number>()
  const built = new Map<string, number>()

  const buildOverflow = (job: string, state: JobStateRecord): string => {
    const text = encodeAscii(JSON.stringify(state.occurrences))
    if (text.length <= MAX_STATE_BYTES) return text
    events.record(checkpointsNotStored, { job, bytes: text.length })
    return encodeAscii(JSON.stringify(dropCheckpoints(state).occurrences))
  }

  const listOverflow = (job: string, from: number): RowName[] => {
    const names: RowName[] = []
    for (let index = from; index < (stored.get(job) ?? 0); index++) names.push({ table: OVERFLOW_TABLE, key: buildOverflowKey(job, index) })
    return names
  }

  const recordBuilt = (job: string, count: number): void => {
    if (count === 0 && !stored.has(job)) return
    built.set(job, count)
    // A change of unknown outcome may be applied.
    stored.set(job, Math.max(stored.get(job) ?? 0, count))
  }

  return {
    buildChange: (job, state) => {
      const value = JSON.stringify(state)
      if (Buffer.byteLength(value) <= STATE_ROW_BYTES) {
        const deletes = listOverflow(job, 0)
        recordBuilt(job, 0)
        return { writes: [{ table: STATE_TABLE, key: job, value }], deletes }
      }
      const text = buildOverflow(job, state)
      const count = Math.ceil(text.length / STATE_ROW_BYTES)
      const deletes = listOverflow(job, count)
      recordBuilt(job, count)
      const head: StateRow = { ...state, occurrences: [], overflow: count }
      const writes = [{ table: STATE_TABLE, key: job, value: JSON.stringify(head) }]
      for (let index = 0; index < count; index++) {
        writes.push({ table: OVERFLOW_TABLE, key: buildOverflowKey(job, index), value: text.slice(index * STATE_ROW_BYTES, (index + 1) * STATE_ROW_BYTES) })
      }
      return { writes, deletes }
    },
    recordCommitted: (jobs) => {
      if (built.size === 0) return
      for (const job of jobs) {
        const count = built.get(job)
        if (count === undefined) continue
        built.delete(job)
        if (count === 0) stored.delete(job)
        else stored.set(job, count)
      }
    },
    listRows: (job) => [{ table: STATE_TABLE, key: job }, { table: CRASH_TABLE, key: job }, ...listOverflow(job, 0)],
    restoreState: (job, { overflow: count = 0, ...state }, overflow) => {
      if (count === 0) return state
      stored.set(job, count)
      let text = ''
      for (let index = 0; index < count; index++) text += overflow.get(buildOverflowKey(job, index))?.value ?? ''
      try {
        const occurrences = decodeOccurrences(JSON.parse(text))
        if (occurrences.isOk()) return { ...state, occurrences: occurrences.value }
        events.record(rowMalformed, { table: OVERFLOW_TABLE, key: job, error: occurrences.error.message })
      } catch (error) {
        events.record(rowMalformed, { table: OVERFLOW_TABLE, key: job, error: String(error) })
      }
      return null
    }
  }
}
