/**
 * Routes advice requests to the entries, which are the servers here: each calls the advice service for itself and its peers, one call at a
 * time. Requests are balanced by their expected duration.
 */
import { type AdviceQuery, type Clock, createResponseTimer, type Disposable, type EventLog, type Random } from '@fuchsiatally/core'
import type { Peer, PeerMesh } from '../ports.js'
import { createAdviceQueue, type AdviceOutcome } from './adviceQueue.js'
import { createAdviceServers, LONG_CALL_THRESHOLD_MS, MAX_QUEUE_MS } from './adviceServers.js'
import { ADVICE_TIMEOUT_MARGIN_MS } from './constants.js'
import { adviceAnswered, adviceMissing } from './events.js'
import type { AdviceClient } from './ports.js'
import { failProcess } from '../process/failProcess.js'

export interface AdviceRouterOptions {
  readonly self: Peer
  readonly client: AdviceClient
  readonly mesh: PeerMesh
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
}

/** @param expectedAtMs time at which the response was expected, in milliseconds; it may have arrived then and been read later */
export type OnTickets = (tickets: ReadonlyMap<string, string> | null, expectedAtMs: number) => void

/** Obtains placement advice for the partitions of this entry. */
export interface AdviceRouter extends Disposable {
  /** Whether a server would take a request of an expected duration in milliseconds; one that takes it also takes any shorter one. */
  canSubmit: (costMs: number) => boolean
  /**
   * Sends a request to a server; returns `false` if all servers are busy.
   *
   * @param onTickets receives the tickets by worker, or `null` if no response arrived in time
   */
  trySubmit: (request: AdviceQuery, onTickets: OnTickets) => boolean
}

interface PendingRequest {
  readonly server: string
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
  const servers = createAdviceServers(options)
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

  const sendRequest = (server: string, routed: RoutedRequest, maxQueuedMs: number, onOutcome: (outcome: AdviceOutcome) => void): void => {
    const { request } = routed
    const exchange = options.random.nextId()
    const timeoutMs = maxQueuedMs + request.costMs + (request.costMs > LONG_CALL_THRESHOLD_MS ? ADVICE_TIMEOUT_MARGIN_MS : SHORT_CALL_TIMEOUT_MARGIN_MS)
    const finish = (outcome: AdviceOutcome): void => {
      if (!pendingRequests.delete(exchange)) return
      servers.removeRequest(server, request.costMs)
      timer.dispose()
      onOutcome(outcome)
    }
    const timer = createResponseTimer({ clock, timeoutMs, onTimeout: (isOwnDelay) => finish({ kind: 'failed', isOwnDelay }) })
    pendingRequests.set(exchange, { server, finish })
    servers.addRequest(server, request.costMs)
    const { step, workers, costMs } = request
    if (server === options.self.incarnation) {
      queue.submit({ step, workers, costMs, maxQueuedMs, timeoutMs }).then(finish, failProcess)
      return
    }
    const sent = mesh.sendMessage(server, { type: 'adviceRequest', exchange, step, workers: [...workers], costMs, mostQueuedMs: maxQueuedMs, patienceMs: timeoutMs })
    if (!sent) clock.setTimer(0, () => finish({ kind: 'failed' }))
  }

  /** Sends the request to the best server, and to the next one if it declines. Returns whether a server was available. */
  const submitToServers = (routed: RoutedRequest, onTickets: OnTickets): boolean => {
    const { request, declined } = routed
    const chosen = declined.size < MAX_DECLINES ? servers.chooseServer(request.costMs, declined) : null
    if (chosen === null) return false
    const server = chosen.incarnation
    const expectedAtMs = clock.nowMs() + chosen.queuedMs + request.costMs
    // The limit includes the work that this entry already knows of, so that the server does not decline because of it.
    const maxQueuedMs = chosen.queuedMs + (declined.size + 1 < MAX_DECLINES ? SHORT_CALL_QUEUE_MS : MAX_QUEUE_MS)
    sendRequest(server, routed, maxQueuedMs, (outcome) => {
      const waitedMs = Math.round(clock.nowMs() - routed.startedAtMs)
      if (outcome.kind === 'advice') {
        events.record(adviceAnswered, { step: request.step, asked: request.workers.length, good: outcome.tickets.size, waitedMs })
        onTickets(outcome.tickets, expectedAtMs)
        return
      }
      if (outcome.kind === 'declined') {
        declined.add(server)
        servers.recordBusy(server, outcome.queuedMs)
        if (!disposed && submitToServers(routed, onTickets)) return
      } else if (outcome.isOwnDelay !== true) servers.recordFailed(server)
      events.record(adviceMissing, { step: request.step, server, waitedMs, reason: outcome.kind === 'declined' ? 'all servers are busy' : 'no response in time' })
      onTickets(null, expectedAtMs)
    })
    return true
  }

  mesh.onPeerChange((peer, change) => {
    if (change === 'up') return
    for (const request of [...pendingRequests.values()]) if (request.server === peer.incarnation) request.finish({ kind: 'failed' })
  })

  return {
    canSubmit: (costMs) => servers.chooseServer(costMs) !== null,
    trySubmit: (request, onTickets) => submitToServers({ request, startedAtMs: clock.nowMs(), declined: new Set() }, onTickets),
    dispose: () => {
      disposed = true
      for (const request of [...pendingRequests.values()]) request.finish({ kind: 'failed' })
    }
  }
}

/** Queued work beyond what the sender knows of up to which a server accepts a call, in milliseconds; about one short call. */
const SHORT_CALL_QUEUE_MS = 30
/** Number of servers that may decline a request before it fails. */
const MAX_DECLINES = 3
/** Time beyond the expected wait after which a short call times out, in milliseconds: a slow entry takes some 100 ms to respond. */
const SHORT_CALL_TIMEOUT_MARGIN_MS = 400
