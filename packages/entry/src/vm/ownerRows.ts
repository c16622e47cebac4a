/** Cache of the owner rows of all workers, updated by the shared table poll. */
import { createDecoder, mayCommandWorker, OWNER_PREFIX, OwnerRow } from '@fuchsiatally/core'
import type { EventLog, Row } from '@fuchsiatally/core'
import { ownerRowMalformed } from './events.js'

/** Owner row of one worker; `row` is `null` if it does not exist or is malformed. */
export interface KnownOwner {
  /** Last version seen, including that of a deletion. */
  readonly version: number
  /** Version to check in a transaction; 0 if no row exists. */
  readonly checkVersion: number
  readonly row: OwnerRow | null
}

/** Owner rows by worker. */
export interface OwnerRows {
  applyRows: (rows: readonly Row[]) => void
  getOwner: (worker: string) => KnownOwner | undefined
  listOwners: () => ReadonlyMap<string, KnownOwner>
  /** Lists the workers that the incarnation may still be able to command, according to the rows. */
  listUnfenced: (incarnation: string) => string[]
}

const decodeRow = createDecoder(OwnerRow)

/** Creates an empty cache. */
export function createOwnerRows (log: EventLog): OwnerRows {
  const owners = new Map<string, KnownOwner>()
  const applyRow = (row: Row): void => {
    if (!row.key.startsWith(OWNER_PREFIX)) return
    const worker = row.key.slice(OWNER_PREFIX.length)
    const known = owners.get(worker)
    if (known !== undefined && known.version >= row.version) return
    if (row.value === null) {
      owners.set(worker, { version: row.version, checkVersion: 0, row: null })
      return
    }
    const decoded = decodeRow(row.value)
    if (decoded.isErr()) log.record(ownerRowMalformed, { key: row.key, message: decoded.error.message })
    owners.set(worker, { version: row.version, checkVersion: row.version, row: decoded.unwrapOr(null) })
  }
  return {
    applyRows: (rows) => {
      for (const row of rows) applyRow(row)
    },
    getOwner: (worker) => owners.get(worker),
    listOwners: () => owners,
    listUnfenced: (incarnation) => {
      const found = []
      for (const [worker, { row }] of owners) {
        if (row !== null && mayCommandWorker(row, incarnation)) found.push(worker)
      }
      return found
    }
  }
}
