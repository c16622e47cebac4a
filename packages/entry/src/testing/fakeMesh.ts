/** Links between entries in memory, with cuts, delays and broken links. */
import { type Clock, type Disposable, type LinkMessage } from '@fuchsiatally/core'
import type { Peer, PeerMesh } from '../ports.js'

export interface FakeMeshOptions {
  readonly clock: Clock
  /** Time from sending to receiving, in milliseconds; default 1. */
  readonly delayMs?: number
  /** Time after which both ends of a cut link report it as down; default 3000. */
  readonly deadAfterMs?: number
}

/** Mesh of one entry; disposing it drops all its links at once, as the death of the process would. */
export interface FakePeerMesh extends PeerMesh, Disposable {
  readonly self: Peer
}

/** The network between entries. */
export interface FakeMesh {
  /** Adds an entry and links it with all others. */
  addEntry: (self: Peer) => FakePeerMesh
  /** Loses everything between two incarnations from now on; both see the link down later. */
  setCut: (a: string, b: string) => void
  /** Ends a cut and sets the link up again. */
  removeCut: (a: string, b: string) => void
  /** Breaks a link: messages on the way are lost, both ends see it down and at once up again. */
  resetLink: (a: string, b: string) => void
  /** Changes the delay of messages sent from now on. */
  setDelay: (delayMs: number) => void
}

type Receive = (message: LinkMessage, from: Peer) => void

interface Node {
  readonly self: Peer
  readonly receivers: Map<string, Receive>
  readonly watchers: Array<(peer: Peer, change: 'up' | 'down') => void>
  readonly peers: Map<string, Peer>
}

/** Creates a network without entries. */
export function createFakeMesh (options: FakeMeshOptions): FakeMesh {
  const { clock } = options
  const deadAfterMs = options.deadAfterMs ?? 3000
  const nodes = new Map<string, Node>()
  const cuts = new Set<string>()
  const generations = new Map<string, number>()
  let delayMs = options.delayMs ?? 1

  const formatPair = (a: string, b: string): string => a < b ? `${a}|${b}` : `${b}|${a}`
  const readGeneration = (a: string, b: string): number => generations.get(formatPair(a, b)) ?? 0
  const dropMessages = (a: string, b: string): void => {
    generations.set(formatPair(a, b), readGeneration(a, b) + 1)
  }

  const openEnd = (node: Node, peer: Node): void => {
    if (node.peers.has(peer.self.incarnation)) return
    node.peers.set(peer.self.incarnation, peer.self)
    for (const watch of node.watchers) watch(peer.self, 'up')
  }

  const closeEnd = (incarnation: string, peerIncarnation: string): void => {
    const node = nodes.get(incarnation)
    const peer = node?.peers.get(peerIncarnation)
    if (node === undefined || peer === undefined) return
    node.peers.delete(peerIncarnation)
    for (const watch of node.watchers) watch(peer, 'down')
  }

  const openLink = (a: Node, b: Node): void => {
    if (cuts.has(formatPair(a.self.incarnation, b.self.incarnation))) return
    openEnd(a, b)
    openEnd(b, a)
  }

  const closeLink = (a: string, b: string): void => {
    dropMessages(a, b)
    closeEnd(a, b)
    closeEnd(b, a)
  }

  const sendMessage = (node: Node, to: string, message: LinkMessage): boolean => {
    const from = node.self.incarnation
    if (!node.peers.has(to)) return false
    const copy = structuredClone(message)
    const generation = readGeneration(from, to)
    clock.setTimer(delayMs, () => {
      if (cuts.has(formatPair(from, to)) || readGeneration(from, to) !== generation) return
      nodes.get(to)?.receivers.get(copy.type)?.(copy, node.self)
    })
    return true
  }

  const addEntry = (self: Peer): FakePeerMesh => {
    const node: Node = { self, receivers: new Map(), watchers: [], peers: new Map() }
    nodes.set(self.incarnation, node)
    // The links come up after the entry has registered its receivers.
    clock.setTimer(0, () => {
      for (const other of nodes.values()) if (other !== node && nodes.has(self.incarnation)) openLink(node, other)
    })
    return {
      self,
      listPeers: () => [...node.peers.values()],
      sendMessage: (to, message) => sendMessage(node, to, message),
      broadcastMessage: (message) => {
        for (const to of node.peers.keys()) sendMessage(node, to, message)
      },
      onMessage: (type, receive) => { node.receivers.set(type, receive as Receive) },
      onPeerChange: (receive) => { node.watchers.push(receive) },
      dispose: () => {
        if (!nodes.delete(self.incarnation)) return
        for (const peer of node.peers.keys()) {
          dropMessages(self.incarnation, peer)
          closeEnd(peer, self.incarnation)
        }
        node.peers.clear()
      }
    }
  }

  return {
    addEntry,
    setCut: (a, b) => {
      const pair = formatPair(a, b)
      cuts.add(pair)
      clock.setTimer(deadAfterMs, () => { if (cuts.has(pair)) closeLink(a, b) })
    },
    removeCut: (a, b) => {
      cuts.delete(formatPair(a, b))
      const [first, second] = [nodes.get(a), nodes.get(b)]
      if (first !== undefined && second !== undefined) openLink(first, second)
    },
    resetLink: (a, b) => {
      closeLink(a, b)
      const [first, second] = [nodes.get(a), nodes.get(b)]
      if (first !== undefined && second !== undefined) openLink(first, second)
    },
    setDelay: (value) => { delayMs = value }
  }
}
