/** The entries as servers of advice requests: the order in which a holder prefers them, and the work that it knows to be queued at each. */
import type { Clock } from '@fuchsiatally/core'
import type { Peer, PeerMesh } from '../ports.js'
import { sortByRank } from './rendezvousRank.js'

export interface AdviceServersOptions {
  readonly self: Peer
  readonly mesh: PeerMesh
  readonly clock: Clock
}

/** A server that can take a request. */
export interface ChosenServer {
  readonly incarnation: string
  /** Work queued ahead of the request as far as this entry knows, in milliseconds. */
  readonly queuedMs: number
}

/** Servers of advice requests. */
export interface AdviceServers {
  /** Chooses the server for a request of an expected duration; `null` if all have too much work queued. Looks at each server once. */
  chooseServer: (costMs: number, declined?: ReadonlySet<string>) => ChosenServer | null
  /** Records a request that was sent to a server and has not ended. */
  addRequest: (incarnation: string, costMs: number) => void
  removeRequest: (incarnation: string, costMs: number) => void
  /** Records that a server reported queued work, in milliseconds. */
  recordBusy: (incarnation: string, queuedMs: number) => void
  /** Records a failed request: the server is avoided for some time. */
  recordFailed: (incarnation: string) => void
}

interface Server {
  readonly peer: Peer
  /** Requests of this entry that have not ended, and the sum of their expected durations. */
  requests: number
  requestMs: number
  /** Time until which the server is busy according to its last report. */
  busyUntilMs: number
  /** Time until which the server is avoided. */
  avoidUntilMs: number
}

/** Eligible servers, most preferred first. */
interface ServerLists {
  readonly forShort: readonly Server[]
  readonly forLong: readonly Server[]
  /** Time at which the first avoided server becomes eligible again. */
  readonly validUntilMs: number
}

export function createAdviceServers (options: AdviceServersOptions): AdviceServers {
  const { self, mesh, clock } = options
  const servers = new Map<string, Server>()
  /** Servers by name; all holders agree on this order. `null` until listed again after a change of the links. */
  let listed: readonly Server[] | null = null
  let lists: ServerLists | null = null

  const resolveServer = (peer: Peer): Server => {
    const known = servers.get(peer.incarnation)
    if (known !== undefined) return known
    const server = { peer, requests: 0, requestMs: 0, busyUntilMs: -Infinity, avoidUntilMs: -Infinity }
    servers.set(peer.incarnation, server)
    return server
  }

  const listServers = (): readonly Server[] => {
    const peers = [self, ...mesh.listPeers()].sort((a, b) => a.entry < b.entry ? -1 : 1)
    const current = new Set(peers.map(({ incarnation }) => incarnation))
    for (const incarnation of servers.keys()) if (!current.has(incarnation)) servers.delete(incarnation)
    return peers.map(resolveServer)
  }

  const sortServers = (eligible: readonly Server[]): Server[] => {
    return sortByRank(self.entry, eligible.map((server) => ({ entry: server.peer.entry, server }))).map(({ server }) => server)
  }

  /**
   * All holders reserve the same servers for short requests; within the reserved and within the other servers, each holder has an order of
   * preference of its own.
   */
  const buildLists = (): ServerLists => {
    listed ??= listServers()
    const nowMs = clock.nowMs()
    const eligible = listed.filter((server) => server.avoidUntilMs <= nowMs)
    const reservedCount = eligible.length > 1 ? Math.max(1, Math.floor(eligible.length * RESERVED_SERVER_SHARE)) : 0
    const forLong = sortServers(eligible.slice(reservedCount))
    const avoided = listed.filter((server) => server.avoidUntilMs > nowMs)
    return {
      forShort: [...sortServers(eligible.slice(0, reservedCount)), ...forLong],
      forLong,
      validUntilMs: Math.min(Infinity, ...avoided.map((server) => server.avoidUntilMs))
    }
  }

  const readLists = (): ServerLists => {
    if (lists === null || clock.nowMs() >= lists.validUntilMs) lists = buildLists()
    return lists
  }

  const readQueuedMs = (server: Server, nowMs: number): number => Math.max(server.requestMs, server.busyUntilMs - nowMs)

  mesh.onPeerChange((peer, change) => {
    if (change === 'down') servers.delete(peer.incarnation)
    listed = null
    lists = null
  })

  return {
    chooseServer: (costMs, declined) => {
      const isShort = costMs <= LONG_CALL_THRESHOLD_MS
      const nowMs = clock.nowMs()
      let best: ChosenServer | null = null
      for (const server of isShort ? readLists().forShort : readLists().forLong) {
        const { incarnation } = server.peer
        if (declined?.has(incarnation) === true) continue
        const queuedMs = readQueuedMs(server, nowMs)
        if (queuedMs <= 0) return { incarnation, queuedMs: 0 }
        if (queuedMs <= MAX_QUEUE_MS && (best === null || queuedMs < best.queuedMs)) best = { incarnation, queuedMs }
      }
      return best
    },
    addRequest: (incarnation, costMs) => {
      const server = servers.get(incarnation)
      if (server === undefined) return
      server.requests++
      server.requestMs += costMs
    },
    removeRequest: (incarnation, costMs) => {
      const server = servers.get(incarnation)
      if (server === undefined || server.requests === 0) return
      server.requests--
      // Fractions of a millisecond would remain of sums that are taken apart in another order.
      server.requestMs = server.requests === 0 ? 0 : server.requestMs - costMs
    },
    recordBusy: (incarnation, queuedMs) => {
      const server = servers.get(incarnation)
      if (server !== undefined) server.busyUntilMs = clock.nowMs() + queuedMs
    },
    recordFailed: (incarnation) => {
      const server = servers.get(incarnation)
      if (server === undefined) return
      server.avoidUntilMs = clock.nowMs() + FAILED_SERVER_COOLDOWN_MS
      lists = null
    }
  }
}

/** Time for which a server is avoided after a failed request, in milliseconds; about the time to re-establish a link. */
const FAILED_SERVER_COOLDOWN_MS = 3000
/** Expected duration above which a call counts as long, in milliseconds: between the 30 ms and the 200 ms of the users' queues. */
export const LONG_CALL_THRESHOLD_MS = 100
/** Share of the servers reserved for short calls. */
const RESERVED_SERVER_SHARE = 0.3
/** Longest queue at a server to which a request is still sent, in milliseconds; a longer wait would outlast the tickets. */
export const MAX_QUEUE_MS = 400
