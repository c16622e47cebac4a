/**
 * What entries tell each other about the configuration: versions in heartbeats, documents on request, and how current
 * they are by a query and its answer, whose time counts from before the query was sent.
 */
import type { Clock, ConfigDocument, ConfigView, Disposable, Random } from '@fuchsiatally/core'
import type { Peer, PeerMesh } from '../ports.js'

/** What the gossip needs of the store. */
export interface ConfigGossipOptions {
  readonly clock: Clock
  readonly random: Random
  readonly mesh: PeerMesh
  readonly view: ConfigView
  readonly listDeniedKeyIds: () => string[]
  /** Returns the ids that were not denied before. */
  readonly addDenied: (keyIds: readonly string[]) => string[]
  readonly applyDocument: (document: ConfigDocument) => void
  readonly recordEvidence: () => void
}

/** What a peer last said. */
export interface PeerVersion {
  readonly peer: Peer
  readonly version: number
}

/** Gossip of one entry. */
export interface ConfigGossip extends Disposable {
  handleHeartbeat: (peer: Peer, configVersion: number, deniedKeyIds: readonly string[]) => void
  /** Tells every peer the version and the denied keys at once. */
  sendStateToAll: () => void
  sendQueries: () => void
  /** Asks the peer that answered last and a few more. */
  sendSomeQueries: () => void
  /** Version in force at each linked peer, by incarnation. */
  listPeerVersions: () => ReadonlyMap<string, PeerVersion>
}

const ASKED_PEERS = 3
/** Time during which a document is asked of one peer only once, in milliseconds. */
const PULL_PAUSE_MS = 250
const QUERY_TIMEOUT_MS = 4000
/** Age that says "never" in a message. */
const NEVER_MS = -1

/** Registers the receivers of the configuration's messages. */
export function createConfigGossip (options: ConfigGossipOptions): ConfigGossip {
  const { clock, random, mesh, view } = options
  const versions = new Map<string, PeerVersion>()
  const queries = new Map<string, { sentAtMs: number, incarnation: string }>()
  const pulledAtMs = new Map<string, number>()
  let lastAnswering: string | undefined

  const sendPull = (incarnation: string): void => {
    const nowMs = clock.nowMs()
    if (nowMs - (pulledAtMs.get(incarnation) ?? -Infinity) < PULL_PAUSE_MS) return
    if (mesh.sendMessage(incarnation, { type: 'configPull', newerThan: view.readVersion() })) pulledAtMs.set(incarnation, nowMs)
  }

  const createState = (exchange: string) => {
    const ageMs = clock.nowMs() - view.readCurrentAtMs()
    return {
      type: 'configState' as const,
      exchange,
      version: view.readVersion(),
      ageMs: Number.isFinite(ageMs) ? ageMs : NEVER_MS,
      deniedKeyIds: options.listDeniedKeyIds()
    }
  }

  const sendStateToAll = (): void => mesh.broadcastMessage(createState(''))

  const recordPeer = (peer: Peer, version: number, deniedKeyIds: readonly string[]): void => {
    versions.set(peer.incarnation, { peer, version })
    // News is passed on, since not every pair of entries has a link.
    if (options.addDenied(deniedKeyIds).length > 0) sendStateToAll()
    view.recordVersionHeard(version)
    if (version > view.readVersion()) sendPull(peer.incarnation)
  }

  const sendQuery = (incarnation: string): void => {
    const exchange = random.nextId()
    const sentAtMs = clock.nowMs()
    if (mesh.sendMessage(incarnation, { type: 'configQuery', exchange })) queries.set(exchange, { sentAtMs, incarnation })
  }

  const dropOldQueries = (): void => {
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
    options.recordEvidence()
  })
  mesh.onMessage('configQuery', (message, from) => {
    mesh.sendMessage(from.incarnation, createState(message.exchange))
  })
  mesh.onMessage('configState', (message, from) => {
    const query = queries.get(message.exchange)
    queries.delete(message.exchange)
    recordPeer(from, message.version, message.deniedKeyIds)
    if (query === undefined || query.incarnation !== from.incarnation || message.ageMs < 0 || message.version === 0) return
    lastAnswering = from.incarnation
    view.recordCurrent(message.version, query.sentAtMs - message.ageMs)
    options.recordEvidence()
  })
  mesh.onPeerChange((peer, change) => {
    if (change === 'up') return
    versions.delete(peer.incarnation)
    pulledAtMs.delete(peer.incarnation)
  })

  return {
    handleHeartbeat: recordPeer,
    sendStateToAll,
    sendQueries: () => {
      dropOldQueries()
      for (const peer of mesh.listPeers()) sendQuery(peer.incarnation)
    },
    sendSomeQueries: () => {
      dropOldQueries()
      const peers = mesh.listPeers().map((peer) => peer.incarnation)
      const chosen = new Set(peers.filter((incarnation) => incarnation === lastAnswering))
      while (chosen.size < Math.min(ASKED_PEERS, peers.length)) {
        const peer = peers[Math.floor(random.nextFloat() * peers.length)]
        if (peer !== undefined) chosen.add(peer)
      }
      for (const incarnation of chosen) sendQuery(incarnation)
    },
    listPeerVersions: () => versions,
    dispose: () => { queries.clear() }
  }
}
