/** Owner side of forwarded requests: runs each exchange of a peer at most once. */
import { createExchangeDeduplicator, type ExchangeDeduplicator, type RequestOutcome } from '@fuchsiatally/core'
import type { Peer, PeerMesh } from '../ports.js'
import { MAX_REPLY_CACHE_BYTES } from './constants.js'
import type { EndpointOwner, RequestHandle } from './endpointOwner.js'

/** Dependencies of the receiver. */
export interface ForwardReceiverOptions {
  readonly mesh: PeerMesh
  readonly owner: EndpointOwner
  /** Size limit of the outcomes cached for each peer. Default: `MAX_REPLY_CACHE_BYTES`. */
  readonly maxReplyCacheBytes?: number
}

/** Runs the requests that peers forward. */
export interface ForwardReceiver {
  countOpen: () => number
  /** Drops the state of an incarnation that is gone; its earlier messages can no longer start a request. */
  removePeer: (incarnation: string) => void
  listPeers: () => string[]
}

interface PeerState {
  readonly exchanges: ExchangeDeduplicator
  readonly handles: Map<number, RequestHandle>
}

const EXCHANGE_PATTERN = /^[1-9][0-9]{0,14}$/

/** Registers the handlers of `forwardRequest`, `forwardQuery` and `forwardCancel`. */
export function createForwardReceiver (options: ForwardReceiverOptions): ForwardReceiver {
  const { mesh, owner } = options
  const peers = new Map<string, PeerState>()
  /** Lowest sequence numbers accepted from peers that were considered gone: after a network partition the same incarnation may return. */
  const nextSequences = new Map<string, number>()

  const getPeer = (incarnation: string): PeerState => {
    let state = peers.get(incarnation)
    if (state === undefined) {
      state = { exchanges: createExchangeDeduplicator(options.maxReplyCacheBytes ?? MAX_REPLY_CACHE_BYTES, nextSequences.get(incarnation)), handles: new Map() }
      peers.set(incarnation, state)
    }
    return state
  }

  const sendReply = (to: Peer, exchange: string, outcome: RequestOutcome): void => {
    // If the reply cannot be sent, the peer can query the recorded outcome over its next link.
    mesh.sendMessage(to.incarnation, { type: 'forwardReply', exchange, outcome })
  }

  mesh.onMessage('forwardRequest', ({ exchange, request, mayWait }, from) => {
    if (!EXCHANGE_PATTERN.test(exchange)) return
    const sequence = Number(exchange)
    const peer = getPeer(from.incarnation)
    const state = peer.exchanges.addExchange(sequence)
    if (state.kind === 'done') return sendReply(from, exchange, state.outcome)
    if (state.kind === 'running') return
    let ended = false
    const handle = owner.runRequest(request, mayWait, (outcome) => {
      ended = true
      peer.handles.delete(sequence)
      peer.exchanges.recordOutcome(sequence, outcome)
      sendReply(from, exchange, outcome)
    })
    if (!ended) peer.handles.set(sequence, handle)
  })

  mesh.onMessage('forwardQuery', ({ exchange }, from) => {
    if (!EXCHANGE_PATTERN.test(exchange)) return
    const state = getPeer(from.incarnation).exchanges.resolveExchange(Number(exchange))
    if (state.kind === 'done') sendReply(from, exchange, state.outcome)
  })

  mesh.onMessage('forwardCancel', ({ exchange }, from) => {
    peers.get(from.incarnation)?.handles.get(Number(exchange))?.cancel()
  })

  return {
    countOpen: () => {
      let open = 0
      for (const peer of peers.values()) open += peer.handles.size
      return open
    },
    removePeer: (incarnation) => {
      const state = peers.get(incarnation)
      if (state === undefined) return
      nextSequences.set(incarnation, state.exchanges.readNextSequence())
      for (const handle of [...state.handles.values()]) handle.cancel()
      peers.delete(incarnation)
    },
    listPeers: () => [...peers.keys()]
  }
}
