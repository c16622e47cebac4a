/**
 * Gossip of the configuration between entries: heartbeats carry versions, documents are pulled on demand, and the reply to a
 * query states how long ago its version was confirmed. This age is counted back from the sending of the query, so that a
 * delay never makes a version appear fresher than it is.
 */
import type { Clock, ConfigDocument, ConfigView, Disposable, Random } from '@fuchsiatally/core'
import type { Peer, PeerMesh } from '../ports.js'

/** Dependencies of the gossip. */
export interface ConfigGossipOptions {
  readonly clock: Clock
  readonly random: Random
  readonly mesh: PeerMesh
  readonly view: ConfigView
  readonly listDeniedKeyIds: () => string[]
  /** Adds ids to the denylist; returns those that are new. */
  readonly addDeniedKeys: (keyIds: readonly string[]) => string[]
  readonly applyDocument: (document: ConfigDocument) => void
  readonly updateFreshness: () => void
}

/** Version that a peer reported last. */
export interface PeerVersion {
  readonly peer: Peer
  readonly version: number
}

/** Gossip of this entry. */
export interface ConfigGossip extends Disposable {
  handleHeartbeat: (peer: Peer, configVersion: number, deniedKeyIds: readonly string[]) => void
  /** Broadcasts the version in force and the denied key ids. */
  sendStateToAll: () => void
  queryAllPeers: () => void
  /** Queries the peer that replied last and a random sample of others. */
  queryPeerSample: () => void
  /** Versions in force at the linked peers, by incarnation. */
  listPeerVersions: () => ReadonlyMap<string, PeerVersion>
}

const QUERY_FANOUT = 3
/** Minimum interval between two pulls from the same peer. */
const PULL_INTERVAL_MS = 250
const QUERY_TIMEOUT_MS = 4000
/** Age sent by an entry whose version was never confirmed. */
const UNKNOWN_AGE_MS = -1

/** Registers the handlers of the configuration messages. */
export function createConfigGossip (options: ConfigGossipOptions): ConfigGossip {
  const { clock, random, mesh, view } = options
  const versions = new Map<string, PeerVersion>()
  const queries = new Map<string, { sentAtMs: number, incarnation: string }>()
  const lastPullMs = new Map<string, number>()
  let lastResponder: string | undefined

  const sendPull = (incarnation: string): void => {
    const nowMs = clock.nowMs()
    if (nowMs - (lastPullMs.get(incarnation) ?? -Infinity) < PULL_INTERVAL_MS) return
    if (mesh.sendMessage(incarnation, { type: 'configPull', newerThan: view.readVersion() })) lastPullMs.set(incarnation, nowMs)
  }

  const createStateMessage = (exchange: string) => {
    const ageMs = clock.nowMs() - view.readCurrentAtMs()
    return {
      type: 'configState' as const,
      exchange,
      version: view.readVersion(),
      ageMs: Number.isFinite(ageMs) ? ageMs : UNKNOWN_AGE_MS,
      deniedKeyIds: options.listDeniedKeyIds()
    }
  }

  const sendStateToAll = (): void => mesh.broadcastMessage(createStateMessage(''))

  const recordPeerState = (peer: Peer, version: number, deniedKeyIds: readonly string[]): void => {
    versions.set(peer.incarnation, { peer, version })
    // New ids are relayed, since not every pair of entries has a link.
    if (options.addDeniedKeys(deniedKeyIds).length > 0) sendStateToAll()
    view.recordPeerVersion(version)
    if (version > view.readVersion()) sendPull(peer.incarnation)
  }

  const sendQuery = (incarnation: string): void => {
    const exchange = random.nextId()
    const sentAtMs = clock.nowMs()
    if (mesh.sendMessage(incarnation, { type: 'configQuery', exchange })) queries.set(exchange, { sentAtMs, incarnation })
  }

  /** Queries are stored in the order in which they were sent. */
  const dropExpiredQueries = (): void => {
    const nowMs = clock.nowMs()
    for (const [exchange, query] of queries) {
      if (nowMs - query.sentAtMs < QUERY_TIMEOUT_MS) return
      queries.delete(exchange)
    }
  }

  mesh.onMessage('configPull', (message, from) => {
    const document = view.readDocument()
    if (document !== null && document.version > message.newerThan) mesh.sendMessage(from.incarnation, { type: 'configPush', document })
  })
  mesh.onMessage('configPush', (message) => {
    options.applyDocument(message.document)
    options.updateFreshness()
  })
  mesh.onMessage('configQuery', (message, from) => {
    mesh.sendMessage(from.incarnation, createStateMessage(message.exchange))
  })
  mesh.onMessage('configState', (message, from) => {
    const query = queries.get(message.exchange)
    queries.delete(message.exchange)
    recordPeerState(from, message.version, message.deniedKeyIds)
    if (query === undefined || query.incarnation !== from.incarnation || message.ageMs < 0 || message.version === 0) return
    lastResponder = from.incarnation
    view.recordCurrent(message.version, query.sentAtMs - message.ageMs)
    options.updateFreshness()
  })
  mesh.onPeerChange((peer, change) => {
    if (change === 'up') return
    versions.delete(peer.incarnation)
    lastPullMs.delete(peer.incarnation)
  })

  return {
    handleHeartbeat: recordPeerState,
    sendStateToAll,
    queryAllPeers: () => {
      dropExpiredQueries()
      for (const peer of mesh.listPeers()) sendQuery(peer.incarnation)
    },
    queryPeerSample: () => {
      dropExpiredQueries()
      const peers = mesh.listPeers().map((peer) => peer.incarnation)
      const chosen = new Set(peers.filter((incarnation) => incarnation === lastResponder))
      while (chosen.size < Math.min(QUERY_FANOUT, peers.length)) {
        const peer = peers[Math.floor(random.nextFloat() * peers.length)]
        if (peer !== undefined) chosen.add(peer)
      }
      for (const incarnation of chosen) sendQuery(incarnation)
    },
    listPeerVersions: () => versions,
    dispose: () => { queries.clear() }
  }
}
