/** Cache of the owner rows of all workers, updated by the shared table poll. */
import { createDecoder, mayCommandWorker, OWNER_PREFIX, OwnerRow } from '@fuchsiatally/core'
import type { EventLog, Row } from '@fuchsiatally/core'
import { ownerRowMalformed } from './events.js'

/** Last known owner row of one worker; `row` is `null` if it does not exist or is malformed. */
export interface CachedOwnerRow {
  /** Last version seen, including that of a deletion. */
  readonly version: number
  /** Version to check in a transaction; 0 if no row exists. */
  readonly checkVersion: number
  readonly row: OwnerRow | null
}

/** Owner rows by worker. */
export interface OwnerRows {
  applyRows: (rows: readonly Row[]) => void
  getRow: (worker: string) => CachedOwnerRow | undefined
  listRows: () => ReadonlyMap<string, CachedOwnerRow>
  /** Lists the workers that the incarnation owns, or owned before and is not fenced off from, according to the rows. */
  listCommandable: (incarnation: string) => string[]
}

const decodeRow = createDecoder(OwnerRow)

/** Creates an empty cache. */
export function createOwnerRows (log: EventLog): OwnerRows {
  const rowsByWorker = new Map<string, CachedOwnerRow>()
  const applyRow = (row: Row): void => {
    if (!row.key.startsWith(OWNER_PREFIX)) return
    const worker = row.key.slice(OWNER_PREFIX.length)
    const known = rowsByWorker.get(worker)
    if (known !== undefined && known.version >= row.version) return
    if (row.value === null) {
      rowsByWorker.set(worker, { version: row.version, checkVersion: 0, row: null })
      return
    }
    const decoded = decodeRow(row.value)
    if (decoded.isErr()) log.record(ownerRowMalformed, { key: row.key, message: decoded.error.message })
    rowsByWorker.set(worker, { version: row.version, checkVersion: row.version, row: decoded.unwrapOr(null) })
  }
  return {
    applyRows: (rows) => {
      for (const row of rows) applyRow(row)
    },
    getRow: (worker) => rowsByWorker.get(worker),
    listRows: () => rowsByWorker,
    listCommandable: (incarnation) => {
      const found = []
      for (const [worker, { row }] of rowsByWorker) {
        if (row !== null && mayCommandWorker(row, incarnation)) found.push(worker)
      }
      return found
    }
  }
}
