/** Configuration in force at this entry, polled from the table, pulled from peers and changed by operators. */
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
import { createKeyDenylist, type KeyDenylist } from './keyDenylist.js'
import * as events from './events.js'

export const CONFIG_POLL_INTERVAL_MS = 1000
/** Maximum time that a key check waits for a refresh of a stale configuration. */
export const CONFIG_REFRESH_TIMEOUT_MS = 500
/** Time after a failed refresh before the next attempt. */
const REFRESH_BACKOFF_MS = 1000
const POLL_JITTER = 0.2
/** Interval at which a persistent fault is logged again. */
const REPEATED_LOG_INTERVAL_MS = 30_000

/** Dependencies of the store. */
export interface ConfigStoreOptions {
  readonly clock: Clock
  readonly random: Random
  readonly platform: PlatformClient
  readonly mesh: PeerMesh
  readonly log: EventLog
}

/** The store with the operations that key checks, operators' routes and heartbeats need. */
export interface ConfigStoreHandle extends ConfigStore, Disposable {
  /** Version in force, or 0 before the first; sent in heartbeats and stored in the session row. */
  readVersion: () => number
  /** Highest version known to this entry from any source. */
  readHighestVersion: () => number
  /** Whether the version in force was confirmed as current within the last 4 s and no newer version is known. */
  isFresh: () => boolean
  /** Tries for up to 500 ms to confirm the version in force; rate-limited to one attempt a second while none succeeds. */
  refresh: () => Promise<boolean>
  /** Whether a key is revoked by the document in force, or denied before its revocation is in force. */
  isDenied: (keyId: string) => boolean
  /** Denies keys here and at every reachable entry immediately; the revocation is committed once the platform is available. */
  denyKeys: (keyIds: readonly string[]) => void
  /** Denied ids that the document in force does not revoke yet; sent in heartbeats. */
  listDeniedKeyIds: () => string[]
  /** Latest reported version of each linked peer, by incarnation. */
  listPeerVersions: () => ReadonlyMap<string, PeerVersion>
  handleHeartbeat: (peer: Peer, configVersion: number, deniedKeyIds: readonly string[]) => void
  /** Commits a change to the table; the returned document is durable, and it or a newer one is in force at this entry. */
  proposeChange: (change: ConfigChange, expectedVersion?: number) => Promise<Result<ConfigDocument, ProposeError>>
}

/** Creates the store and starts polling. */
export function createConfigStore (options: ConfigStoreOptions): ConfigStoreHandle {
  const { clock, random, mesh, log } = options
  const view = createConfigView()
  const denylist = createKeyDenylist()
  const proposer = createConfigProposer({ ...options, readMinimumVersion: view.readHighestVersion })
  const disposables = createDisposableStore()
  const listeners = new Set<(document: ConfigDocument) => void>()
  const waiters = new Set<() => void>()
  let revoked = new Set<string>()
  let wasFresh = false
  /** Revision of the last successful read of the table, and the version of the configuration at that revision. */
  let tableRevision = 0
  let tableVersion = 0
  let lastMalformedLogMs = -Infinity

  const applyDocument = (document: ConfigDocument, source: 'table' | 'peer' | 'change'): void => {
    if (!view.installDocument(document)) return
    revoked = new Set(document.revokedKeyIds)
    log.record(events.configInstalled, { version: document.version, source })
    for (const receive of [...listeners]) receive(document)
  }

  /** Re-evaluates freshness: notifies those who wait for it and logs a transition. */
  const updateFreshness = (): void => {
    const fresh = view.isFresh(clock.nowMs())
    if (fresh) for (const notify of [...waiters]) notify()
    if (fresh === wasFresh) return
    wasFresh = fresh
    const ageMs = Math.round(clock.nowMs() - view.readCurrentAtMs())
    log.record(fresh ? events.configFresh : events.configStale, { version: view.readVersion(), ageMs: Number.isFinite(ageMs) ? ageMs : -1 })
  }

  const addDeniedKeys = (keyIds: readonly string[]): string[] => {
    const added = denylist.addKeys(keyIds)
    for (const keyId of added) log.record(events.keyDenied, { keyId })
    return added
  }
  const listDeniedKeyIds = (): string[] => denylist.listUncommitted(view.readDocument()?.revokedKeyIds ?? [])

  const gossip = createConfigGossip({
    clock, random, mesh, view, listDeniedKeyIds, addDeniedKeys, updateFreshness, applyDocument: (document) => applyDocument(document, 'peer')
  })

  /** Logs a malformed row when it is first seen, then at a low rate. */
  const recordMalformed = (failure: PlatformFailure): void => {
    if (failure.kind !== 'malformed' || clock.nowMs() - lastMalformedLogMs < REPEATED_LOG_INTERVAL_MS) return
    lastMalformedLogMs = clock.nowMs()
    log.record(events.configMalformed, { reason: failure.message })
  }

  const readTable = async (): Promise<boolean> => {
    const sentAtMs = clock.nowMs()
    const sinceRevision = tableRevision
    const polled = await proposer.readIfNewer(sinceRevision)
    if (polled.isErr()) {
      recordMalformed(polled.error)
      return false
    }
    const { revision, newerConfig } = polled.value
    const document = newerConfig?.document ?? null
    // Without a newer row, the stored version is that of the last successful read, or a lower one if this read is outdated.
    const version = newerConfig === undefined ? tableVersion : document?.version ?? 0
    if (revision < sinceRevision || version < view.readHighestVersion()) {
      log.record(events.configOutdatedRead, { version, highestVersion: view.readHighestVersion() })
      return false
    }
    if (document !== null) applyDocument(document, 'table')
    tableRevision = Math.max(tableRevision, revision)
    tableVersion = version
    view.recordCurrent(version, sentAtMs)
    updateFreshness()
    return true
  }

  const proposeChange = async (change: ConfigChange, expectedVersion?: number): Promise<Result<ConfigDocument, ProposeError>> => {
    const proposed = await proposer.proposeChange(change, expectedVersion)
    recordProposal(log, change, proposed)
    if (proposed.isErr()) return proposed
    const before = view.readVersion()
    applyDocument(proposed.value, 'change')
    updateFreshness()
    if (view.readVersion() > before) gossip.sendStateToAll()
    return proposed
  }

  disposables.add(startPolling({ clock, random, readTable, gossip, updateFreshness, proposeChange, view, denylist }))
  const refresh = createRefresh({ clock, view, readTable, queryAllPeers: gossip.queryAllPeers, waiters })
  disposables.add(gossip)

  return {
    readDocument: view.readDocument,
    readVersion: view.readVersion,
    readHighestVersion: view.readHighestVersion,
    onChange: (receive) => {
      listeners.add(receive)
      return { dispose: () => { listeners.delete(receive) } }
    },
    isFresh: () => view.isFresh(clock.nowMs()),
    refresh,
    isDenied: (keyId) => denylist.has(keyId) || revoked.has(keyId),
    denyKeys: (keyIds) => {
      if (addDeniedKeys(keyIds).length > 0) gossip.sendStateToAll()
    },
    listDeniedKeyIds,
    listPeerVersions: gossip.listPeerVersions,
    handleHeartbeat: gossip.handleHeartbeat,
    proposeChange,
    dispose: () => disposables.dispose()
  }
}

interface PollingOptions {
  readonly clock: Clock
  readonly random: Random
  readonly readTable: () => Promise<boolean>
  readonly gossip: ConfigGossip
  readonly updateFreshness: () => void
  readonly proposeChange: ConfigProposer['proposeChange']
  readonly view: ConfigView
  readonly denylist: KeyDenylist
}

/** Polls the table, queries peers while reads of it fail, and commits revocations that are not durable yet. */
function startPolling (options: PollingOptions): Disposable {
  let lastReadSucceeded = true
  const commitDenied = async (): Promise<void> => {
    const document = options.view.readDocument()
    const keyIds = options.denylist.listUncommitted(document?.revokedKeyIds ?? [])
    if (document === null || keyIds.length === 0) return
    await options.proposeChange({ kind: 'revokeKeys', keyIds, allowUnknown: true })
  }
  const runStep = async (): Promise<void> => {
    options.updateFreshness()
    // Also queried before the read, which may take until its timeout.
    if (!lastReadSucceeded) options.gossip.queryPeerSample()
    lastReadSucceeded = await options.readTable()
    if (lastReadSucceeded) await commitDenied()
    else options.gossip.queryPeerSample()
    options.updateFreshness()
  }
  const readPauseMs = (): number => CONFIG_POLL_INTERVAL_MS * (1 + POLL_JITTER * (options.random.nextFloat() * 2 - 1))
  return createSerialLoop({ clock: options.clock, readPauseMs, runStep })
}

interface RefreshOptions {
  readonly clock: Clock
  readonly view: ConfigView
  readonly readTable: () => Promise<boolean>
  readonly queryAllPeers: () => void
  readonly waiters: Set<() => void>
}

/** Builds a refresh with a time limit that concurrent callers share. */
function createRefresh (options: RefreshOptions): () => Promise<boolean> {
  const { clock, view, waiters } = options
  let running: Promise<boolean> | null = null
  let failedAtMs = -Infinity
  const runRefresh = async (): Promise<boolean> => {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        timer.dispose()
        waiters.delete(finish)
        resolve()
      }
      const timer = clock.setTimer(CONFIG_REFRESH_TIMEOUT_MS, finish)
      waiters.add(finish)
      options.readTable()
      options.queryAllPeers()
    })
    running = null
    const fresh = view.isFresh(clock.nowMs())
    if (!fresh) failedAtMs = clock.nowMs()
    return fresh
  }
  return async () => {
    const nowMs = clock.nowMs()
    if (view.isFresh(nowMs)) return true
    if (running === null && nowMs - failedAtMs < REFRESH_BACKOFF_MS) return false
    running ??= runRefresh()
    return await running
  }
}

function recordProposal (log: EventLog, change: ConfigChange, proposed: Result<ConfigDocument, ProposeError>): void {
  const fields = { change: change.kind }
  if (proposed.isOk()) {
    log.record(events.configAccepted, { ...fields, version: proposed.value.version })
    if (change.kind === 'grantKey') log.record(events.keyGranted, { team: change.team, keyId: change.grant.id })
    if (change.kind === 'revokeKeys') log.record(events.keyRevoked, { keyIds: change.keyIds })
    if (change.kind === 'drainVm' || change.kind === 'undrainVm') log.record(events.vmDrained, { vm: change.vm, drained: change.kind === 'drainVm' })
    return
  }
  const error = proposed.error
  if (error.kind === 'conflict') {
    log.record(events.configConflict, { ...fields, expectedVersion: error.expectedVersion, currentVersion: error.currentVersion })
  } else if (error.kind === 'unconfirmed') {
    log.record(events.configChangeFailed, { ...fields, mayBeApplied: error.mayBeApplied, reason: error.failure.kind })
  }
}
