/** Configuration in force at this entry: polled from the table, pulled from peers, changed by operators. */
import {
  createConfigView, createDisposableStore,
  type Clock, type ConfigChange, type ConfigDocument, type ConfigView, type Disposable, type EventLog, type Random
} from '@fuchsiatally/core'
import type { PlatformClient, PlatformFailure } from '@fuchsiatally/table'
import type { Result } from 'neverthrow'
import type { ConfigStore, Peer, PeerMesh } from '../ports.js'
import { createSerialLoop } from '../process/serialLoop.js'
import { createConfigGossip, type ConfigGossip, type PeerVersion } from './configGossip.js'
import { createConfigProposer, type ConfigProposer, type ProposeError } from './configProposer.js'
import { createDeniedKeys, type DeniedKeys } from './deniedKeys.js'
import * as events from './events.js'

/** Time between two polls of the table, in milliseconds. */
export const CONFIG_POLL_MS = 1000
/** Longest time that accepting keyed work waits for news when the configuration is stale, in milliseconds. */
export const CONFIG_REFRESH_MS = 500
/** Time after a failed refresh during which no further one is tried, in milliseconds. */
const REFRESH_PAUSE_MS = 1000
const POLL_JITTER = 0.2
/** Time between two log lines of one lasting fault, in milliseconds. */
const REMINDER_MS = 30_000

/** What the store needs. */
export interface ConfigStoreOptions {
  readonly clock: Clock
  readonly random: Random
  readonly platform: PlatformClient
  readonly mesh: PeerMesh
  readonly log: EventLog
}

/** The store with all that configuration, keys and heartbeats need of it. */
export interface ConfigStoreHandle extends ConfigStore, Disposable {
  /** Version in force, 0 before the first; for heartbeats and the session row. */
  readVersion: () => number
  /** Highest version that this entry has heard of from anyone. */
  readHighestVersion: () => number
  /** Whether the configuration was confirmed within the last 4 s. */
  isFresh: () => boolean
  /** Tries for at most 500 ms to make it fresh; at most one try a second does so while nobody answers. */
  refresh: () => Promise<boolean>
  /** Whether a key is revoked, by the document in force or ahead of it. */
  isDenied: (keyId: string) => boolean
  /** Denies keys here and at every reachable entry at once, and commits the revocation as soon as the platform answers. */
  denyKeys: (keyIds: readonly string[]) => void
  /** Denied ids that the document in force does not revoke yet; for heartbeats. */
  listDeniedKeyIds: () => string[]
  /** Version in force at each linked peer, by incarnation, from its latest message. */
  listPeerVersions: () => ReadonlyMap<string, PeerVersion>
  /** Takes what a peer's heartbeat says. */
  handleHeartbeat: (peer: Peer, configVersion: number, deniedKeyIds: readonly string[]) => void
  /** Brings a change into the table; what it returns is in force here and durable. */
  proposeChange: (change: ConfigChange, expectedVersion?: number) => Promise<Result<ConfigDocument, ProposeError>>
}

/** Creates the store and starts polling. */
export function createConfigStore (options: ConfigStoreOptions): ConfigStoreHandle {
  const { clock, random, mesh, log } = options
  const view = createConfigView()
  const denied = createDeniedKeys()
  const proposer = createConfigProposer({ ...options, readKnownVersion: view.readHighestVersion })
  const disposables = createDisposableStore()
  const receivers = new Set<(document: ConfigDocument) => void>()
  const waiting = new Set<() => void>()
  let revoked = new Set<string>()
  let wasFresh = false
  /** Revision of the last good read of the table, and the configuration's version there. */
  let tableRevision = 0
  let tableVersion = 0
  let malformedAtMs = -Infinity

  const applyDocument = (document: ConfigDocument, source: 'table' | 'peer' | 'change'): void => {
    if (!view.installDocument(document)) return
    revoked = new Set(document.revokedKeyIds)
    log.record(events.configInstalled, { version: document.version, source })
    for (const receive of [...receivers]) receive(document)
  }

  /** Follows new evidence: wakes who waits for freshness and logs a change of it. */
  const recordEvidence = (): void => {
    const fresh = view.isFresh(clock.nowMs())
    if (fresh) for (const wake of [...waiting]) wake()
    if (fresh === wasFresh) return
    wasFresh = fresh
    const ageMs = Math.round(clock.nowMs() - view.readCurrentAtMs())
    log.record(fresh ? events.configFresh : events.configStale, { version: view.readVersion(), ageMs: Number.isFinite(ageMs) ? ageMs : -1 })
  }

  const addDenied = (keyIds: readonly string[]): string[] => {
    const added = denied.addKeys(keyIds)
    for (const keyId of added) log.record(events.keyDenied, { keyId })
    return added
  }
  const listDeniedKeyIds = (): string[] => denied.listPending(view.readDocument()?.revokedKeyIds ?? [])

  const gossip = createConfigGossip({
    clock, random, mesh, view, listDeniedKeyIds, addDenied, recordEvidence, applyDocument: (document) => applyDocument(document, 'peer')
  })

  /** Logs a malformed row at its first sight, then from time to time. */
  const recordMalformed = (failure: PlatformFailure): void => {
    if (failure.kind !== 'malformed' || clock.nowMs() - malformedAtMs < REMINDER_MS) return
    malformedAtMs = clock.nowMs()
    log.record(events.configMalformed, { reason: failure.message })
  }

  const readTable = async (): Promise<boolean> => {
    const sentAtMs = clock.nowMs()
    const sinceRevision = tableRevision
    const polled = await proposer.readWritten(sinceRevision)
    if (polled.isErr()) {
      recordMalformed(polled.error)
      return false
    }
    const { revision, written } = polled.value
    const document = written?.document ?? null
    // Without a newer row, the version is at most that of the last good read.
    const version = written === undefined ? tableVersion : document?.version ?? 0
    if (revision < sinceRevision || version < view.readHighestVersion()) {
      log.record(events.configOldRead, { version, highestVersion: view.readHighestVersion() })
      return false
    }
    if (document !== null) applyDocument(document, 'table')
    tableRevision = Math.max(tableRevision, revision)
    tableVersion = version
    view.recordCurrent(version, sentAtMs)
    recordEvidence()
    return true
  }

  const proposeChange = async (change: ConfigChange, expectedVersion?: number): Promise<Result<ConfigDocument, ProposeError>> => {
    const proposed = await proposer.proposeChange(change, expectedVersion)
    recordProposal(log, change, proposed)
    if (proposed.isErr()) return proposed
    const before = view.readVersion()
    applyDocument(proposed.value, 'change')
    recordEvidence()
    if (view.readVersion() > before) gossip.sendStateToAll()
    return proposed
  }

  disposables.add(startPolling({ clock, random, readTable, gossip, recordEvidence, proposeChange, view, denied }))
  const refresh = createRefresh({ clock, view, readTable, sendQueries: gossip.sendQueries, waiting })
  disposables.add(gossip)

  return {
    readDocument: view.readDocument,
    readVersion: view.readVersion,
    readHighestVersion: view.readHighestVersion,
    onChange: (receive) => {
      receivers.add(receive)
      return { dispose: () => { receivers.delete(receive) } }
    },
    isFresh: () => view.isFresh(clock.nowMs()),
    refresh,
    isDenied: (keyId) => denied.has(keyId) || revoked.has(keyId),
    denyKeys: (keyIds) => {
      if (addDenied(keyIds).length > 0) gossip.sendStateToAll()
    },
    listDeniedKeyIds,
    listPeerVersions: gossip.listPeerVersions,
    handleHeartbeat: gossip.handleHeartbeat,
    proposeChange,
    dispose: () => disposables.dispose()
  }
}

interface Polling {
  readonly clock: Clock
  readonly random: Random
  readonly readTable: () => Promise<boolean>
  readonly gossip: ConfigGossip
  readonly recordEvidence: () => void
  readonly proposeChange: ConfigProposer['proposeChange']
  readonly view: ConfigView
  readonly denied: DeniedKeys
}

/** Polls the table; asks peers while it does not answer; commits revocations that are not durable yet. */
function startPolling (polling: Polling): Disposable {
  let answered = true
  const commitDenied = async (): Promise<void> => {
    const document = polling.view.readDocument()
    const keyIds = polling.denied.listPending(document?.revokedKeyIds ?? [])
    if (document === null || keyIds.length === 0) return
    await polling.proposeChange({ kind: 'revokeKeys', keyIds, allowUnknown: true })
  }
  const runStep = async (): Promise<void> => {
    polling.recordEvidence()
    if (!answered) polling.gossip.sendSomeQueries()
    answered = await polling.readTable()
    if (answered) await commitDenied()
    else polling.gossip.sendSomeQueries()
    polling.recordEvidence()
  }
  const readPauseMs = (): number => CONFIG_POLL_MS * (1 + POLL_JITTER * (polling.random.nextFloat() * 2 - 1))
  return createSerialLoop({ clock: polling.clock, readPauseMs, runStep })
}

interface Refreshing {
  readonly clock: Clock
  readonly view: ConfigView
  readonly readTable: () => Promise<boolean>
  readonly sendQueries: () => void
  readonly waiting: Set<() => void>
}

/** Builds the bounded refresh that concurrent callers share. */
function createRefresh (refreshing: Refreshing): () => Promise<boolean> {
  const { clock, view, waiting } = refreshing
  let running: Promise<boolean> | null = null
  let failedAtMs = -Infinity
  const runRefresh = async (): Promise<boolean> => {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        timer.dispose()
        waiting.delete(finish)
        resolve()
      }
      const timer = clock.setTimer(CONFIG_REFRESH_MS, finish)
      waiting.add(finish)
      refreshing.readTable()
      refreshing.sendQueries()
    })
    running = null
    const fresh = view.isFresh(clock.nowMs())
    if (!fresh) failedAtMs = clock.nowMs()
    return fresh
  }
  return async () => {
    const nowMs = clock.nowMs()
    if (view.isFresh(nowMs)) return true
    if (running === null && nowMs - failedAtMs < REFRESH_PAUSE_MS) return false
    running ??= runRefresh()
    return await running
  }
}

function recordProposal (log: EventLog, change: ConfigChange, proposed: Result<ConfigDocument, ProposeError>): void {
  const shown = { change: change.kind }
  if (proposed.isOk()) {
    log.record(events.configAccepted, { ...shown, version: proposed.value.version })
    if (change.kind === 'grantKey') log.record(events.keyGranted, { team: change.team, keyId: change.grant.id })
    if (change.kind === 'revokeKeys') log.record(events.keyRevoked, { keyIds: change.keyIds })
    if (change.kind === 'drainVm' || change.kind === 'undrainVm') log.record(events.vmDrained, { vm: change.vm, drained: change.kind === 'drainVm' })
    return
  }
  const error = proposed.error
  if (error.kind === 'conflict') {
    log.record(events.configConflict, { ...shown, expectedVersion: error.expectedVersion, currentVersion: error.currentVersion })
  } else if (error.kind === 'unsettled') {
    log.record(events.configChangeFailed, { ...shown, mayBeApplied: error.mayBeApplied, reason: error.failure.kind })
  }
}
