/** Persists the teams' resource usage in the current share window across takeovers of the scheduler role. */
import { createDecoder, type Clock, type Random, type ShareUsage } from '@fuchsiatally/core'
import type { PlatformClient, PlatformFailure } from '@fuchsiatally/table'
import * as Schema from 'effect/Schema'
import { ok, type Result } from 'neverthrow'
import type { HeldRole } from './schedulerRole.js'
import { SHARE_USAGE_INTERVAL_MS } from './constants.js'

/** Resource time received: per resource, the seconds for which the whole capacity of the cell would have provided the same amount. */
const ReceivedResources = Schema.Struct({
  processors: Schema.Finite,
  memoryMb: Schema.Finite,
  accelerators: Schema.Finite
})

/** Row `shares/<cell>`. */
const ShareUsageRow = Schema.Struct({
  periodEndMs: Schema.Finite,
  teams: Schema.Array(Schema.Struct({ team: Schema.String, received: ReceivedResources, forfeitedS: Schema.Finite }))
})
const decodeUsage = createDecoder(ShareUsageRow)

/** Options of the store. */
export interface ShareUsageStoreOptions {
  readonly platform: PlatformClient
  readonly clock: Clock
  readonly random: Random
  readonly role: HeldRole
}

/** Reads and writes share usage during one term of the role. */
export interface ShareUsageStore {
  /** Reads the usage stored by the previous holder; `undefined` if there is none. */
  readUsage: () => Promise<Result<ShareUsage | undefined, PlatformFailure>>
  /** Writes the usage if the write interval has passed; a failed write is not retried before the next interval. */
  writeIfDue: (readCurrent: () => ShareUsage) => void
}

/** Creates the store of one term. */
export function createShareUsageStore (options: ShareUsageStoreOptions): ShareUsageStore {
  const { platform, clock, role } = options
  const key = role.rowKey.replace(/^cell/, 'shares')
  let version = 0
  let lastWriteMs = clock.nowMs()

  const readUsage = async (): Promise<Result<ShareUsage | undefined, PlatformFailure>> => {
    const read = await platform.read({ keys: [key], prefixes: [] })
    return read.map((table) => {
      const row = table.rows[0]
      version = row?.version ?? 0
      const decoded = decodeUsage(row?.value)
      return decoded.isOk() ? decoded.value : undefined
    })
  }

  const writeUsage = async (usage: ShareUsage): Promise<Result<null, PlatformFailure>> => {
    const outcome = await platform.transact({
      writeId: options.random.nextId(),
      checks: [{ key: role.rowKey, version: role.rowVersion }, { key, version }],
      writes: [{ key, value: usage }]
    })
    if (outcome.isOk() && outcome.value.kind === 'applied') version += 1
    // A write of unknown outcome may have advanced the version.
    else await readUsage()
    return ok(null)
  }

  return {
    readUsage,
    writeIfDue: (readCurrent) => {
      if (clock.nowMs() - lastWriteMs < SHARE_USAGE_INTERVAL_MS) return
      lastWriteMs = clock.nowMs()
      writeUsage(readCurrent()).catch(() => {})
    }
  }
}
