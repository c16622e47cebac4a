/** The owner's side of forwarded requests: each exchange of a peer runs at most once. */
import { createExchangeLedger, type ExchangeLedger, type RequestOutcome } from '@fuchsiatally/core'
import type { Peer, PeerMesh } from '../ports.js'
import { MAX_LEDGER_BYTES } from './constants.js'
import type { Owner, OwnerRun } from './owner.js'

/** What the receiver needs. */
export interface ForwardReceiverOptions {
  readonly mesh: PeerMesh
  readonly owner: Owner
  /** Bound of the outcomes kept for each peer; default `MAX_LEDGER_BYTES`. */
  readonly maxLedgerBytes?: number
}

/** Runs what peers forward. */
export interface ForwardReceiver {
  countOpen: () => number
  /** Drops what is kept for an incarnation that is gone; nothing that it sent before can run any more. */
  removePeer: (incarnation: string) => void
  listPeers: () => string[]
}

interface PeerState {
  readonly ledger: ExchangeLedger
  readonly runs: Map<number, OwnerRun>
}

const EXCHANGE_PATTERN = /^[1-9][0-9]{0,14}$/

/** Starts the receiver; it takes the messages `forwardRequest`, `forwardQuery` and `forwardCancel`. */
export function createForwardReceiver (options: ForwardReceiverOptions): ForwardReceiver {
  const { mesh, owner } = options
  const peers = new Map<string, PeerState>()
  /** Numbers from which peers may go on that were taken for gone: a cut domain comes back as the same incarnation. */
  const firstSequences = new Map<string, number>()

  const getPeer = (incarnation: string): PeerState => {
    let state = peers.get(incarnation)
    if (state === undefined) {
      state = { ledger: createExchangeLedger(options.maxLedgerBytes ?? MAX_LEDGER_BYTES, firstSequences.get(incarnation)), runs: new Map() }
      peers.set(incarnation, state)
    }
    return state
  }

  const sendReply = (to: Peer, exchange: string, outcome: RequestOutcome): void => {
    // A reply that cannot be sent is kept in the ledger until the peer asks for it.
    mesh.sendMessage(to.incarnation, { type: 'forwardReply', exchange, outcome })
  }

  mesh.onMessage('forwardRequest', ({ exchange, request, mayWait }, from) => {
    if (!EXCHANGE_PATTERN.test(exchange)) return
    const sequence = Number(exchange)
    const peer = getPeer(from.incarnation)
    const state = peer.ledger.addExchange(sequence)
    if (state.kind === 'done') return sendReply(from, exchange, state.outcome)
    if (state.kind === 'running') return
    let ended = false
    const run = owner.runRequest(request, mayWait, (outcome) => {
      ended = true
      peer.runs.delete(sequence)
      peer.ledger.recordOutcome(sequence, outcome)
      sendReply(from, exchange, outcome)
    })
    if (!ended) peer.runs.set(sequence, run)
  })

  mesh.onMessage('forwardQuery', ({ exchange }, from) => {
    if (!EXCHANGE_PATTERN.test(exchange)) return
    const state = getPeer(from.incarnation).ledger.resolveExchange(Number(exchange))
    if (state.kind === 'done') sendReply(from, exchange, state.outcome)
  })

  mesh.onMessage('forwardCancel', ({ exchange }, from) => {
    peers.get(from.incarnation)?.runs.get(Number(exchange))?.cancel()
  })

  return {
    countOpen: () => {
      let open = 0
      for (const peer of peers.values()) open += peer.runs.size
      return open
    },
    removePeer: (incarnation) => {
      const state = peers.get(incarnation)
      if (state === undefined) return
      firstSequences.set(incarnation, state.ledger.readNextSequence())
      for (const run of [...state.runs.values()]) run.cancel()
      peers.delete(incarnation)
    },
    listPeers: () => [...peers.keys()]
  }
}
