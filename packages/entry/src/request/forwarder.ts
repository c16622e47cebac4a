/** Ingress side of forwarded requests: exchanges over links, each resolved exactly once. */
import {
  createDisposableStore, createResponseTimer, startInterval,
  type Clock, type Disposable, type EventLog, type Random, type RequestOutcome, type ServiceRequest
} from '@fuchsiatally/core'
import type { Peer, PeerMesh, Sessions } from '../ports.js'
import { FORWARD_MARGIN_RATIO, MAX_FORWARD_MARGIN_MS, MIN_FORWARD_MARGIN_MS, OWNER_CHECK_INTERVAL_MS } from './constants.js'
import { lateReplyDropped } from './events.js'
import { createNotRunOutcome, createUnknownOutcome } from './outcome.js'

/** Dependencies of the forwarder. */
export interface ForwarderOptions {
  readonly clock: Clock
  readonly random: Random
  readonly mesh: PeerMesh
  readonly sessions: Sessions
  readonly log: EventLog
}

/** A request to be forwarded to a peer. */
export interface ForwardedRequest {
  /** Owner of the endpoint, or issuer of the ticket. */
  readonly incarnation: string
  readonly request: ServiceRequest
  readonly ticket?: string
  /** Whether the owner queues the request if it lacks allotment. Default: true. */
  readonly mayWait?: boolean
  readonly deadlineMs: number
  /** Cancels the request when the caller disconnects. */
  readonly signal?: AbortSignal | undefined
  /** Called when the link is lost: whether to resolve as `unknown` instead of waiting for the next link. */
  readonly canAbandon?: () => boolean
}

/** Forwards requests to peers. */
export interface Forwarder extends Disposable {
  /**
   * Sends a request to its owner, or to the issuer of its ticket, and waits for the outcome until the deadline.
   *
   * After the link was replaced, the outcome is queried over the new one; a request with a ticket is sent again instead.
   */
  sendRequest: (forwarded: ForwardedRequest) => Promise<RequestOutcome>
  countOpen: () => number
}

interface Pending extends ForwardedRequest {
  readonly finish: (outcome: RequestOutcome) => void
}

function computeDeadlineMarginMs (leftMs: number): number {
  const marginMs = Math.max(MIN_FORWARD_MARGIN_MS, leftMs * FORWARD_MARGIN_RATIO)
  return Math.min(MAX_FORWARD_MARGIN_MS, leftMs / 2, marginMs)
}

/** Starts the forwarder and registers the handler of `forwardReply`. */
export function createForwarder (options: ForwarderOptions): Forwarder {
  const { clock, mesh, sessions } = options
  const store = createDisposableStore()
  const pending = new Map<string, Pending>()
  let sequence = 0

  const sendPending = (exchange: string, item: Pending): boolean => {
    const leftMs = item.deadlineMs - clock.nowMs()
    const request = { ...item.request, remainingMs: leftMs - computeDeadlineMarginMs(leftMs) }
    return mesh.sendMessage(item.incarnation, item.ticket === undefined
      ? { type: 'forwardRequest', exchange, request, mayWait: item.mayWait ?? true }
      : { type: 'ticketRequest', exchange, ticket: item.ticket, request })
  }

  /** Resumes over a new link. A request with a ticket can safely be sent again; for any other one, only the outcome is queried. */
  const resumePending = (exchange: string, item: Pending): void => {
    if (item.ticket !== undefined) sendPending(exchange, item)
    else mesh.sendMessage(item.incarnation, { type: 'forwardQuery', exchange })
  }

  const resolveOwnerLost = (item: Pending): void => {
    item.finish(createUnknownOutcome('the owner of the endpoint was lost during the exchange'))
  }

  const onPeerChange = (peer: Peer, change: 'up' | 'down'): void => {
    for (const [exchange, item] of [...pending]) {
      if (item.incarnation !== peer.incarnation) continue
      if (change === 'up') resumePending(exchange, item)
      else if (item.canAbandon?.() === true) resolveOwnerLost(item)
    }
  }

  const checkOwners = (): void => {
    const linked = new Set(mesh.listPeers().map((peer) => peer.incarnation))
    for (const item of [...pending.values()]) {
      if (!linked.has(item.incarnation) && sessions.isGone(item.incarnation)) resolveOwnerLost(item)
    }
  }

  const sendRequest: Forwarder['sendRequest'] = async (forwarded) =>
    await new Promise((resolve) => {
      const { incarnation, deadlineMs, signal } = forwarded
      sequence += 1
      const exchange = String(sequence)
      const scope = createDisposableStore()
      const finish = (outcome: RequestOutcome): void => {
        if (!pending.delete(exchange)) return
        scope.dispose()
        resolve(outcome)
      }
      const cancel = (outcome: RequestOutcome): void => {
        mesh.sendMessage(incarnation, { type: 'forwardCancel', exchange })
        finish(outcome)
      }
      const item = { ...forwarded, finish }
      pending.set(exchange, item)
      if (!sendPending(exchange, item)) return finish(createNotRunOutcome('no link to the owner', 0))
      scope.add(createResponseTimer({
        clock,
        timeoutMs: Math.max(0, deadlineMs - clock.nowMs()),
        onTimeout: () => cancel(createUnknownOutcome('no reply from the owner before the deadline'))
      }))
      if (signal === undefined) return
      const onAbort = (): void => cancel(createUnknownOutcome('the caller disconnected'))
      signal.addEventListener('abort', onAbort)
      scope.add({ dispose: () => signal.removeEventListener('abort', onAbort) })
    })

  mesh.onMessage('forwardReply', (message, from) => {
    const item = pending.get(message.exchange)
    if (item?.incarnation === from.incarnation) item.finish(message.outcome)
    else options.log.record(lateReplyDropped, { from: from.entry, exchange: message.exchange, outcome: message.outcome.kind })
  })
  mesh.onPeerChange(onPeerChange)
  store.add(startInterval(clock, options.random, OWNER_CHECK_INTERVAL_MS, 0.2, checkOwners))

  return { sendRequest, countOpen: () => pending.size, dispose: store.dispose }
}
