/**
 * Routes advice requests to the entries, which are the servers here: each calls the advice service for itself and its peers, one call at a
 * time. Requests are balanced by their expected duration.
 */
import { type AdviceQuery, type Clock, createResponseTimer, type Disposable, type EventLog, type Random } from '@fuchsiatally/core'
import type { Peer, PeerMesh } from '../ports.js'
import { createAdviceQueue, type AdviceOutcome } from './adviceQueue.js'
import { ADVICE_TIMEOUT_MARGIN_MS } from './constants.js'
import { adviceAnswered, adviceMissing } from './events.js'
import type { AdviceClient } from './ports.js'
import { sortByRank } from './rendezvousRank.js'
import { failProcess } from '../process/failProcess.js'

export interface AdviceRouterOptions {
  readonly self: Peer
  readonly client: AdviceClient
  readonly mesh: PeerMesh
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
}

/** Obtains placement advice for the partitions of this entry. */
export interface AdviceRouter extends Disposable {
  /**
   * Sends a request to a server; returns `false` if all servers are busy.
   *
   * @param onTickets receives the tickets by worker, or `null` if no response arrived in time
   */
  trySubmit: (request: AdviceQuery, onTickets: (tickets: ReadonlyMap<string, string> | null) => void) => boolean
}

interface PendingRequest {
  readonly server: string
  readonly costMs: number
  readonly finish: (outcome: AdviceOutcome) => void
}

/** A request and the servers it has been offered to. */
interface RoutedRequest {
  readonly request: AdviceQuery
  readonly startedAtMs: number
  /** Servers that declined the request. */
  readonly declined: Set<string>
}

/** Creates the router and starts to serve requests of peers. */
export function createAdviceRouter (options: AdviceRouterOptions): AdviceRouter {
  const { mesh, clock, events } = options
  const queue = createAdviceQueue(options)
  const pendingRequests = new Map<string, PendingRequest>()
  /** Time of each server's last failed request. */
  const failedAtMsByServer = new Map<string, number>()
  /** Time until which each server has reported itself busy. */
  const busyUntilMsByServer = new Map<string, number>()
  let disposed = false

  mesh.onMessage('adviceRequest', ({ exchange, step, workers, costMs, mostQueuedMs, patienceMs }, from) => {
    queue.submit({ step, workers, costMs, maxQueuedMs: mostQueuedMs, timeoutMs: patienceMs }).then((outcome) => {
      mesh.sendMessage(from.incarnation, {
        type: 'adviceReply',
        exchange,
        good: outcome.kind === 'advice' ? [...outcome.tickets] : null,
        queuedMs: outcome.kind === 'declined' ? outcome.queuedMs : 0
      })
    }, failProcess)
  })

  mesh.onMessage('adviceReply', (message, from) => {
    const request = pendingRequests.get(message.exchange)
    if (request === undefined || request.server !== from.incarnation) return
    if (message.good !== null) request.finish({ kind: 'advice', tickets: new Map(message.good) })
    else request.finish(message.queuedMs > 0 ? { kind: 'declined', queuedMs: message.queuedMs } : { kind: 'failed' })
  })

  /**
   * Servers eligible for a request, in order of preference. All holders reserve the same servers for short calls; within the reserved and
   * within the other servers, each holder has an order of preference of its own.
   */
  const listServers = (isLong: boolean): string[] => {
    const nowMs = clock.nowMs()
    const peers = [options.self, ...mesh.listPeers()]
      .filter((peer) => nowMs - (failedAtMsByServer.get(peer.incarnation) ?? -Infinity) > FAILED_SERVER_COOLDOWN_MS)
      .sort((a, b) => a.entry < b.entry ? -1 : 1)
    const reservedCount = peers.length > 1 ? Math.max(1, Math.floor(peers.length * RESERVED_SERVER_SHARE)) : 0
    const sortServers = (listed: readonly Peer[]): string[] => sortByRank(options.self.entry, listed).map((peer) => peer.incarnation)
    const forLong = sortServers(peers.slice(reservedCount))
    return isLong ? forLong : [...sortServers(peers.slice(0, reservedCount)), ...forLong]
  }

  /** Work queued ahead of a request at a server, as far as this entry knows: its own pending requests and what the server reported. */
  const readQueuedMs = (server: string): number => {
    let ownMs = 0
    for (const request of pendingRequests.values()) if (request.server === server) ownMs += request.costMs
    return Math.max(ownMs, (busyUntilMsByServer.get(server) ?? -Infinity) - clock.nowMs())
  }

  const chooseServer = ({ request, declined }: RoutedRequest): { server: string, queuedMs: number } | null => {
    const isLong = request.costMs > LONG_CALL_THRESHOLD_MS
    let best: { server: string, queuedMs: number } | null = null
    for (const server of listServers(isLong)) {
      if (declined.has(server)) continue
      const queuedMs = readQueuedMs(server)
      if (queuedMs === 0 && !isLong) return { server, queuedMs }
      if (queuedMs <= MAX_QUEUE_MS && (best === null || queuedMs < best.queuedMs)) best = { server, queuedMs }
    }
    return best
  }

  const sendRequest = (server: string, routed: RoutedRequest, maxQueuedMs: number, onOutcome: (outcome: AdviceOutcome) => void): void => {
    const { request } = routed
    const exchange = options.random.nextId()
    const timeoutMs = maxQueuedMs + request.costMs + (request.costMs > LONG_CALL_THRESHOLD_MS ? ADVICE_TIMEOUT_MARGIN_MS : SHORT_CALL_TIMEOUT_MARGIN_MS)
    const finish = (outcome: AdviceOutcome): void => {
      if (!pendingRequests.delete(exchange)) return
      timer.dispose()
      onOutcome(outcome)
    }
    const timer = createResponseTimer({ clock, timeoutMs, onTimeout: () => finish({ kind: 'failed' }) })
    pendingRequests.set(exchange, { server, costMs: request.costMs, finish })
    const { step, workers, costMs } = request
    if (server === options.self.incarnation) {
      queue.submit({ step, workers, costMs, maxQueuedMs, timeoutMs }).then(finish, failProcess)
      return
    }
    const sent = mesh.sendMessage(server, { type: 'adviceRequest', exchange, step, workers: [...workers], costMs, mostQueuedMs: maxQueuedMs, patienceMs: timeoutMs })
    if (!sent) clock.setTimer(0, () => finish({ kind: 'failed' }))
  }

  /** Sends the request to the best server, and to the next one if it declines. Returns whether a server was available. */
  const submitToServers = (routed: RoutedRequest, onTickets: (tickets: ReadonlyMap<string, string> | null) => void): boolean => {
    const { request, declined } = routed
    const chosen = declined.size < MAX_DECLINES ? chooseServer(routed) : null
    if (chosen === null) return false
    const { server } = chosen
    // The limit includes the work that this entry already knows of, so that the server does not decline because of it.
    const maxQueuedMs = chosen.queuedMs + (declined.size + 1 < MAX_DECLINES ? SHORT_CALL_QUEUE_MS : MAX_QUEUE_MS)
    sendRequest(server, routed, maxQueuedMs, (outcome) => {
      const waitedMs = Math.round(clock.nowMs() - routed.startedAtMs)
      if (outcome.kind === 'advice') {
        events.record(adviceAnswered, { step: request.step, asked: request.workers.length, good: outcome.tickets.size, waitedMs })
        onTickets(outcome.tickets)
        return
      }
      if (outcome.kind === 'declined') {
        declined.add(server)
        busyUntilMsByServer.set(server, clock.nowMs() + outcome.queuedMs)
        if (!disposed && submitToServers(routed, onTickets)) return
      } else failedAtMsByServer.set(server, clock.nowMs())
      events.record(adviceMissing, { step: request.step, server, waitedMs, reason: outcome.kind === 'declined' ? 'all servers are busy' : 'no response in time' })
      onTickets(null)
    })
    return true
  }

  mesh.onPeerChange((peer, change) => {
    if (change === 'up') return
    busyUntilMsByServer.delete(peer.incarnation)
    failedAtMsByServer.delete(peer.incarnation)
    for (const request of [...pendingRequests.values()]) if (request.server === peer.incarnation) request.finish({ kind: 'failed' })
  })

  return {
    trySubmit: (request, onTickets) => submitToServers({ request, startedAtMs: clock.nowMs(), declined: new Set() }, onTickets),
    dispose: () => {
      disposed = true
      for (const request of [...pendingRequests.values()]) request.finish({ kind: 'failed' })
    }
  }
}

/** Time for which a server is avoided after a failed request, in milliseconds; about the time to re-establish a link. */
const FAILED_SERVER_COOLDOWN_MS = 3000
/** Expected duration from which a call counts as long, in milliseconds: between the 30 ms and the 200 ms of the users' queues. */
const LONG_CALL_THRESHOLD_MS = 100
/** Share of the servers reserved for short calls. */
const RESERVED_SERVER_SHARE = 0.3
/** Queued work beyond what the sender knows of up to which a server accepts a call, in milliseconds; about one short call. */
const SHORT_CALL_QUEUE_MS = 30
/** Longest queue at a server to which a request is still sent, in milliseconds; a longer wait would outlast the tickets. */
const MAX_QUEUE_MS = 400
/** Number of servers that may decline a request before it fails. */
const MAX_DECLINES = 3
/** Time beyond the expected wait after which a short call times out, in milliseconds: a slow entry takes some 100 ms to respond. */
const SHORT_CALL_TIMEOUT_MARGIN_MS = 400
