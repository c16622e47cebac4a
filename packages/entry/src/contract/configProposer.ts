/** Brings changes of the configuration into the platform's table by compare-and-set. */
import {
  applyChange, ConfigDocument, createDecoder, diffManifests,
  type ChangeFault, type Clock, type ConfigChange, type ManifestChange, type Random, type Row, type Transaction
} from '@fuchsiatally/core'
import type { PlatformClient, PlatformFailure, TransactionOutcome } from '@fuchsiatally/table'
import { err, ok, type Result } from 'neverthrow'

/** Row of the configuration document. */
export const CONFIG_ROW = 'config/current'

/** Another change came first. */
export interface ConfigConflict {
  readonly kind: 'conflict'
  readonly expectedVersion: number
  /** Version in the table. */
  readonly currentVersion: number
  /** From the manifest in the table to the proposed one; empty for other changes. */
  readonly difference: readonly ManifestChange[]
}

/** The platform gave no usable answer; `mayBeApplied` tells whether the change may have taken effect. */
export interface ChangeUnsettled {
  readonly kind: 'unsettled'
  readonly mayBeApplied: boolean
  readonly failure: PlatformFailure
}

/** Why a change is not known to be in force. */
export type ProposeError = ConfigConflict | ChangeUnsettled | ChangeFault

/** The configuration as one read of the table shows it. */
export interface TableConfig {
  readonly document: ConfigDocument | null
  readonly rowVersion: number
}

export interface ConfigProposerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly platform: PlatformClient
  /** Lowest version that a read may show without being an old one. */
  readonly readKnownVersion: () => number
}

/** What a poll of the table brought. */
export interface TablePoll {
  /** Revision of the table that answered. */
  readonly revision: number
  /** The configuration if it was written after the revision asked for, else `undefined`. */
  readonly written: TableConfig | undefined
}

/** Proposes changes. */
export interface ConfigProposer {
  /** Reads the configuration only if it was written after a revision of the table; 0 reads it in any case. */
  readWritten: (sinceRevision: number) => Promise<Result<TablePoll, PlatformFailure>>
  /** @param expectedVersion conflict unless the table holds this version; absent: the change is applied to any version */
  proposeChange: (change: ConfigChange, expectedVersion?: number) => Promise<Result<ConfigDocument, ProposeError>>
}

/** Tries of one change against versions that others overtake. */
const MAX_REBASES = 16
/** Tries of one transaction whose answers are lost. */
const MAX_TRIES = 4
const RETRY_DELAY_MS = 150

const decodeDocument = createDecoder(ConfigDocument)

/** Creates a proposer. */
export function createConfigProposer (options: ConfigProposerOptions): ConfigProposer {
  const { clock, random, platform } = options

  const readTable = async (): Promise<Result<TableConfig, PlatformFailure>> => {
    const read = await platform.read({ keys: [CONFIG_ROW], prefixes: [] })
    return read.andThen((table) => decodeRow(table.rows.find((row) => row.key === CONFIG_ROW)))
  }

  const readWritten = async (sinceRevision: number): Promise<Result<TablePoll, PlatformFailure>> => {
    const read = await platform.read({ keys: [], prefixes: [{ prefix: CONFIG_ROW, sinceRevision }] })
    return read.andThen((table) => {
      const row = table.rows.find((candidate) => candidate.key === CONFIG_ROW)
      if (row === undefined && sinceRevision > 0) return ok({ revision: table.revision, written: undefined })
      return decodeRow(row).map((written) => ({ revision: table.revision, written }))
    })
  }

  /** Reads until the answer is not older than what this entry knows. */
  const readCurrentTable = async (): Promise<Result<TableConfig, PlatformFailure>> => {
    let failure: PlatformFailure = { kind: 'malformed', message: 'the platform keeps answering with an old configuration' }
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      if (attempt > 0) await waitForRetry(attempt)
      const read = await readTable()
      if (read.isErr()) failure = read.error
      else if ((read.value.document?.version ?? 0) >= options.readKnownVersion()) return read
    }
    return err(failure)
  }

  const waitForRetry = (attempt: number): Promise<void> => new Promise((resolve) => {
    clock.setTimer(RETRY_DELAY_MS * 2 ** (attempt - 1) * (0.5 + random.nextFloat()), resolve)
  })

  const sendUntilSettled = async (transaction: Transaction): Promise<Result<TransactionOutcome, PlatformFailure>> => {
    let outcome = await platform.transact(transaction)
    for (let attempt = 1; attempt < MAX_TRIES && outcome.isErr(); attempt++) {
      await waitForRetry(attempt)
      outcome = await platform.transact(transaction)
    }
    return outcome
  }

  const proposeChange = async (change: ConfigChange, expectedVersion?: number): Promise<Result<ConfigDocument, ProposeError>> => {
    const read = await readCurrentTable()
    if (read.isErr()) return err({ kind: 'unsettled', mayBeApplied: false, failure: read.error })
    let table = read.value
    for (let rebase = 0; rebase < MAX_REBASES; rebase++) {
      const version = table.document?.version ?? 0
      if (expectedVersion !== undefined && expectedVersion !== version) return err(createConflict(table, change, expectedVersion))
      const writeId = random.nextId()
      const changed = applyChange(table.document, change, writeId)
      if (changed.isErr()) return err(changed.error)
      // A change without effect writes nothing, but the checked version shows that the read was not an old one.
      const writes = changed.value === table.document ? [] : [{ key: CONFIG_ROW, value: changed.value }]
      const settled = await sendUntilSettled({ writeId, checks: [{ key: CONFIG_ROW, version: table.rowVersion }], writes })
      if (settled.isErr()) return err({ kind: 'unsettled', mayBeApplied: true, failure: settled.error })
      if (settled.value.kind === 'applied') return ok(changed.value)
      const current = decodeRow(settled.value.rows.find((row) => row.key === CONFIG_ROW))
      if (current.isErr()) return err({ kind: 'unsettled', mayBeApplied: true, failure: current.error })
      table = current.value
      if (table.document !== null && hasChange(table.document, writeId)) return ok(table.document)
    }
    return err(createConflict(table, change, expectedVersion ?? table.document?.version ?? 0))
  }

  return { readWritten, proposeChange }
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
