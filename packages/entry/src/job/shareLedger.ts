/** Keeps the parts that teams received in the share window across holders of the scheduler role. */
import { createDecoder, type Clock, type Random, type ShareLedger } from '@fuchsiatally/core'
import type { PlatformClient, PlatformFailure } from '@fuchsiatally/table'
import * as Schema from 'effect/Schema'
import { ok, type Result } from 'neverthrow'
import type { HeldRole } from './cellRole.js'
import { LEDGER_INTERVAL_MS } from './constants.js'

/** Seconds of all processors, memory or accelerators of the cell. */
const Received = Schema.Struct({
  processors: Schema.Finite,
  memoryMb: Schema.Finite,
  accelerators: Schema.Finite
})

/** Row `shares/<cell>`. */
const LedgerRow = Schema.Struct({
  periodEndMs: Schema.Finite,
  teams: Schema.Array(Schema.Struct({ team: Schema.String, received: Received, forfeitedS: Schema.Finite }))
})
const decodeLedger = createDecoder(LedgerRow)

/** Options of the store. */
export interface ShareLedgerStoreOptions {
  readonly platform: PlatformClient
  readonly clock: Clock
  readonly random: Random
  readonly role: HeldRole
}

/** Reads and writes the ledger in one term of the role. */
export interface ShareLedgerStore {
  /** The ledger that the last holder left; `undefined` if there is none. */
  readLedger: () => Promise<Result<ShareLedger | undefined, PlatformFailure>>
  /** Writes the ledger if the last write is long enough ago; a failed write is left to the next one. */
  writeDue: (readLedger: () => ShareLedger) => void
}

/** Creates the store of one term. */
export function createShareLedgerStore (options: ShareLedgerStoreOptions): ShareLedgerStore {
  const { platform, clock, role } = options
  const key = role.rowKey.replace(/^cell/, 'shares')
  let version = 0
  let lastWriteMs = clock.nowMs()

  const readLedger = async (): Promise<Result<ShareLedger | undefined, PlatformFailure>> => {
    const read = await platform.read({ keys: [key], prefixes: [] })
    return read.map((table) => {
      const row = table.rows[0]
      version = row?.version ?? 0
      const decoded = decodeLedger(row?.value)
      return decoded.isOk() ? decoded.value : undefined
    })
  }

  const writeLedger = async (ledger: ShareLedger): Promise<Result<null, PlatformFailure>> => {
    const outcome = await platform.transact({
      writeId: options.random.nextId(),
      checks: [{ key: role.rowKey, version: role.rowVersion }, { key, version }],
      writes: [{ key, value: ledger }]
    })
    if (outcome.isOk() && outcome.value.kind === 'applied') version += 1
    // A write of unknown fate may have moved the version.
    else await readLedger()
    return ok(null)
  }

  return {
    readLedger,
    writeDue: (readCurrent) => {
      if (clock.nowMs() - lastWriteMs < LEDGER_INTERVAL_MS) return
      lastWriteMs = clock.nowMs()
      writeLedger(readCurrent()).catch(() => {})
    }
  }
}
