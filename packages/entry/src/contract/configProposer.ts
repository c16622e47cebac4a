/** Commits configuration changes to the platform's table by compare-and-set. */
import {
  applyChange, ConfigDocument, createDecoder, diffManifests,
  type ChangeFault, type Clock, type ConfigChange, type ManifestChange, type Random, type Row, type Transaction
} from '@fuchsiatally/core'
import type { PlatformClient, PlatformFailure, TransactionOutcome } from '@fuchsiatally/table'
import { err, ok, type Result } from 'neverthrow'

/** Key of the row that holds the configuration document. */
export const CONFIG_ROW = 'config/current'

/** Another change was committed first. */
export interface ConfigConflict {
  readonly kind: 'conflict'
  readonly expectedVersion: number
  /** Version stored in the table. */
  readonly currentVersion: number
  /** Difference from the stored manifest to the proposed one; empty unless the change applies a manifest. */
  readonly difference: readonly ManifestChange[]
}

/** The platform returned no usable response; `mayBeApplied` tells whether the write is in doubt or certainly did not happen. */
export interface UnconfirmedChange {
  readonly kind: 'unconfirmed'
  readonly mayBeApplied: boolean
  readonly failure: PlatformFailure
}

/** Reason why a change is not known to be committed. */
export type ProposeError = ConfigConflict | UnconfirmedChange | ChangeFault

/** The configuration document with the version of its row. */
export interface TableConfig {
  readonly document: ConfigDocument | null
  readonly rowVersion: number
}

export interface ConfigProposerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly platform: PlatformClient
  /** A read that shows a lower version than this is outdated. */
  readonly readMinimumVersion: () => number
}

/** Result of polling the table. */
export interface ConfigPoll {
  /** Revision of the table at the read. */
  readonly revision: number
  /** The configuration if it was written after the requested revision, else `undefined`. */
  readonly newerConfig: TableConfig | undefined
}

/** Reads the stored configuration and commits changes to it. */
export interface ConfigProposer {
  /** Reads the configuration if it was written after a revision of the table; 0 always reads it. */
  readIfNewer: (sinceRevision: number) => Promise<Result<ConfigPoll, PlatformFailure>>
  /** @param expectedVersion version that the table must hold, else the result is a conflict; if absent, the change applies to any version */
  proposeChange: (change: ConfigChange, expectedVersion?: number) => Promise<Result<ConfigDocument, ProposeError>>
}

/** Maximum attempts to apply one change; each lost compare-and-set is followed by an attempt on the newer document. */
const MAX_REBASES = 16
/** Maximum attempts to read, or to send one transaction, while the platform returns no usable response. */
const MAX_ATTEMPTS = 4
const RETRY_BACKOFF_MS = 150

const decodeDocument = createDecoder(ConfigDocument)

export function createConfigProposer (options: ConfigProposerOptions): ConfigProposer {
  const { clock, random, platform } = options

  const readConfigRow = async (): Promise<Result<TableConfig, PlatformFailure>> => {
    const read = await platform.read({ keys: [CONFIG_ROW], prefixes: [] })
    return read.andThen((table) => decodeRow(table.rows.find((row) => row.key === CONFIG_ROW)))
  }

  const readIfNewer = async (sinceRevision: number): Promise<Result<ConfigPoll, PlatformFailure>> => {
    const read = await platform.read({ keys: [], prefixes: [{ prefix: CONFIG_ROW, sinceRevision }] })
    return read.andThen((table) => {
      const row = table.rows.find((candidate) => candidate.key === CONFIG_ROW)
      if (row === undefined && sinceRevision > 0) return ok({ revision: table.revision, newerConfig: undefined })
      return decodeRow(row).map((newerConfig) => ({ revision: table.revision, newerConfig }))
    })
  }

  /** Reads until the result is at least as new as the highest version that this entry knows. */
  const readCurrentConfig = async (): Promise<Result<TableConfig, PlatformFailure>> => {
    let failure: PlatformFailure = { kind: 'malformed', message: 'the platform repeatedly returned an outdated configuration' }
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (attempt > 0) await waitForRetry(attempt)
      const read = await readConfigRow()
      if (read.isErr()) failure = read.error
      else if ((read.value.document?.version ?? 0) >= options.readMinimumVersion()) return read
    }
    return err(failure)
  }

  const waitForRetry = (attempt: number): Promise<void> => new Promise((resolve) => {
    clock.setTimer(RETRY_BACKOFF_MS * 2 ** (attempt - 1) * (0.5 + random.nextFloat()), resolve)
  })

  const sendWithRetries = async (transaction: Transaction): Promise<Result<TransactionOutcome, PlatformFailure>> => {
    let outcome = await platform.transact(transaction)
    for (let attempt = 1; attempt < MAX_ATTEMPTS && outcome.isErr(); attempt++) {
      await waitForRetry(attempt)
      outcome = await platform.transact(transaction)
    }
    return outcome
  }

  const proposeChange = async (change: ConfigChange, expectedVersion?: number): Promise<Result<ConfigDocument, ProposeError>> => {
    const read = await readCurrentConfig()
    if (read.isErr()) return err({ kind: 'unconfirmed', mayBeApplied: false, failure: read.error })
    let table = read.value
    for (let rebase = 0; rebase < MAX_REBASES; rebase++) {
      const version = table.document?.version ?? 0
      if (expectedVersion !== undefined && expectedVersion !== version) return err(createConflict(table, change, expectedVersion))
      const writeId = random.nextId()
      const changed = applyChange(table.document, change, writeId)
      if (changed.isErr()) return err(changed.error)
      // A change without effect writes nothing, but the version check still proves that the read was not outdated.
      const writes = changed.value === table.document ? [] : [{ key: CONFIG_ROW, value: changed.value }]
      const outcome = await sendWithRetries({ writeId, checks: [{ key: CONFIG_ROW, version: table.rowVersion }], writes })
      if (outcome.isErr()) return err({ kind: 'unconfirmed', mayBeApplied: true, failure: outcome.error })
      if (outcome.value.kind === 'applied') return ok(changed.value)
      const current = decodeRow(outcome.value.rows.find((row) => row.key === CONFIG_ROW))
      if (current.isErr()) return err({ kind: 'unconfirmed', mayBeApplied: true, failure: current.error })
      table = current.value
      if (table.document !== null && hasChange(table.document, writeId)) return ok(table.document)
    }
    return err(createConflict(table, change, expectedVersion ?? table.document?.version ?? 0))
  }

  return { readIfNewer, proposeChange }
}

function decodeRow (row: Row | undefined): Result<TableConfig, PlatformFailure> {
  if (row === undefined || row.value === null) return ok({ document: null, rowVersion: 0 })
  return decodeDocument(row.value)
    .map((document) => ({ document, rowVersion: row.version }))
    .mapErr((error) => ({ kind: 'malformed' as const, message: error.message }))
}

function hasChange (document: ConfigDocument, writeId: string): boolean {
  return (document.recentChanges ?? []).some((change) => change.writeId === writeId)
}

function createConflict (table: TableConfig, change: ConfigChange, expectedVersion: number): ConfigConflict {
  const difference = change.kind === 'applyManifest' ? diffManifests(table.document?.manifest ?? null, change.manifest) : []
  return { kind: 'conflict', expectedVersion, currentVersion: table.document?.version ?? 0, difference }
}
