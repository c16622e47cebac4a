/**
 * Relays calls to peers while the platform's table does not serve this entry: a call is served by any entry, and repeating one has no
 * further effect. The peer authenticates the caller by its own configuration.
 */
import { createResponseTimer, type Clock, type Disposable, type EventLog, type Random } from '@fuchsiatally/core'
import type { Peer, PeerMesh } from '../ports.js'
import { failProcess } from '../process/failProcess.js'
import { MAX_RELAYED_CALLS, MAX_RELAY_TRIES, RELAY_AVOID_MS, RELAY_TIMEOUT_MS } from './constants.js'
import { callNotRelayed, callRelayed } from './events.js'

/** A call as it arrived. */
export interface RelayedCall {
  readonly method: string
  readonly path: string
  /** Headers by lower-case name. */
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
}

/** Response to a relayed call. */
export interface RelayedResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
}

/** Serves a call of a peer without relaying it on. */
export type RelayHandler = (call: RelayedCall) => Promise<RelayedResponse>

/** `notExecuted`: no peer executed the call; `unknown`: a peer that was asked did not respond. */
export type RelayOutcome = { readonly kind: 'answered', readonly response: RelayedResponse } | { readonly kind: 'notExecuted' | 'unknown' }

export interface CallRelayOptions {
  readonly self: Peer
  readonly mesh: PeerMesh
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
}

/** Relay of one entry. */
export interface CallRelay extends Disposable {
  /** Asks peers one after the other until one can serve the call. */
  relayCall: (call: RelayedCall, deadlineMs: number) => Promise<RelayOutcome>
  /** Sets what serves the calls of peers; until then they are refused. */
  setHandler: (handler: RelayHandler) => void
}

/** Status by which an entry states that it did not execute a call and another one may. */
const SERVICE_UNAVAILABLE = 503
const REFUSED: RelayedResponse = { status: SERVICE_UNAVAILABLE, headers: {}, body: Buffer.alloc(0) }

interface PendingCall {
  readonly peer: string
  readonly finish: (response: RelayedResponse | null) => void
}

/** Creates the relay and starts to serve calls of peers. */
export function createCallRelay (options: CallRelayOptions): CallRelay {
  const { self, mesh, clock, random, events } = options
  const pendingCalls = new Map<string, PendingCall>()
  /** Time until which each peer is not asked. */
  const avoidUntilMs = new Map<string, number>()
  let serveCall: RelayHandler = async () => REFUSED
  let served = 0

  const serveRelayed = async (call: RelayedCall): Promise<RelayedResponse> => {
    if (served >= MAX_RELAYED_CALLS) return REFUSED
    served++
    try {
      return await serveCall(call)
    } finally {
      served--
    }
  }

  mesh.onMessage('callRequest', ({ exchange, method, path, headers, body }, from) => {
    serveRelayed({ method, path, headers, body }).then((response) => {
      mesh.sendMessage(from.incarnation, { type: 'callReply', exchange, ...response, body: new Uint8Array(response.body) })
    }, failProcess)
  })

  mesh.onMessage('callReply', ({ exchange, status, headers, body }, from) => {
    const call = pendingCalls.get(exchange)
    if (call?.peer === from.incarnation) call.finish({ status, headers, body })
  })

  mesh.onPeerChange((peer, change) => {
    if (change === 'up') return
    avoidUntilMs.delete(peer.incarnation)
    for (const call of [...pendingCalls.values()]) if (call.peer === peer.incarnation) call.finish(null)
  })

  /** Peers in the order in which they are asked: those of the same failure domain first, at random among equals. */
  const listCandidates = (): Peer[] => {
    const nowMs = clock.nowMs()
    return mesh.listPeers()
      .filter(({ incarnation }) => (avoidUntilMs.get(incarnation) ?? -Infinity) <= nowMs)
      .map((peer) => ({ peer, order: random.nextFloat() + (peer.failureDomain === self.failureDomain ? 0 : 1) }))
      .sort((a, b) => a.order - b.order)
      .map(({ peer }) => peer)
  }

  /** Resolves to `notSent`, to the response, or to `null` if none arrived in time. */
  const askPeer = (peer: Peer, call: RelayedCall, timeoutMs: number): Promise<RelayedResponse | 'notSent' | null> => new Promise((resolve) => {
    const exchange = random.nextId()
    if (!mesh.sendMessage(peer.incarnation, { type: 'callRequest', exchange, ...call, body: new Uint8Array(call.body) })) {
      resolve('notSent')
      return
    }
    const finish = (response: RelayedResponse | null): void => {
      if (!pendingCalls.delete(exchange)) return
      timer.dispose()
      resolve(response)
    }
    const timer = createResponseTimer({ clock, timeoutMs, onTimeout: () => finish(null) })
    pendingCalls.set(exchange, { peer: peer.incarnation, finish })
  })

  const relayCall: CallRelay['relayCall'] = async (call, deadlineMs) => {
    const startedAtMs = clock.nowMs()
    let isUnknown = false
    let tries = 0
    for (const peer of listCandidates()) {
      const leftMs = deadlineMs - clock.nowMs()
      if (tries >= MAX_RELAY_TRIES || leftMs <= 0) break
      tries++
      const response = await askPeer(peer, call, Math.min(RELAY_TIMEOUT_MS, leftMs))
      if (response !== null && response !== 'notSent' && response.status !== SERVICE_UNAVAILABLE) {
        events.record(callRelayed, { path: call.path, method: call.method, peer: peer.entry, status: response.status, tries, waitedMs: Math.round(clock.nowMs() - startedAtMs) })
        return { kind: 'answered', response }
      }
      if (response === null) isUnknown = true
      avoidUntilMs.set(peer.incarnation, clock.nowMs() + RELAY_AVOID_MS)
    }
    events.record(callNotRelayed, { path: call.path, method: call.method, tries, isUnknown })
    return { kind: isUnknown ? 'unknown' : 'notExecuted' }
  }

  return {
    relayCall,
    setHandler: (handler) => { serveCall = handler },
    dispose: () => {
      for (const call of [...pendingCalls.values()]) call.finish(null)
    }
  }
}
