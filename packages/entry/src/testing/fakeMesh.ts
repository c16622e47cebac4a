/** In-memory links between entries, with cuts, delays and link resets. */
import { type Clock, type Disposable, type LinkMessage } from '@fuchsiatally/core'
import type { Peer, PeerMesh } from '../ports.js'

export interface FakeMeshOptions {
  readonly clock: Clock
  /** One-way delay of a message, in milliseconds; default 1. */
  readonly delayMs?: number
  /** Time after which both ends of a cut link report it as down; default 3000. */
  readonly linkTimeoutMs?: number
}

/** Mesh of one entry; disposing it closes all its links at once, as the exit of the process would. */
export interface FakePeerMesh extends PeerMesh, Disposable {
  readonly self: Peer
}

/** Network between entries. */
export interface FakeMesh {
  /** Adds an entry and links it to all others. */
  addEntry: (self: Peer) => FakePeerMesh
  /** Drops all messages between two incarnations, those in flight included; both see the link down after the link timeout. */
  setCut: (a: string, b: string) => void
  /** Removes a cut and reopens the link. */
  removeCut: (a: string, b: string) => void
  /** Closes a link: messages in flight are lost; both ends see it down and don't reopen it. */
  closeLink: (a: string, b: string) => void
  /** Resets a link: messages in flight are lost; both ends see it down and immediately up again. */
  resetLink: (a: string, b: string) => void
  /** Changes the delay of messages sent from now on. */
  setDelay: (delayMs: number) => void
}

type Receive = (message: LinkMessage, from: Peer) => void

interface MeshNode {
  readonly self: Peer
  readonly receivers: Map<string, Receive>
  readonly watchers: Array<(peer: Peer, change: 'up' | 'down') => void>
  readonly peers: Map<string, Peer>
}

/** Creates a network without entries. */
export function createFakeMesh (options: FakeMeshOptions): FakeMesh {
  const { clock } = options
  const linkTimeoutMs = options.linkTimeoutMs ?? 3000
  const nodes = new Map<string, MeshNode>()
  const cuts = new Set<string>()
  /** Incremented by pair to drop the messages in flight: a message is delivered only in the generation in which it was sent. */
  const generations = new Map<string, number>()
  let delayMs = options.delayMs ?? 1

  const formatPair = (a: string, b: string): string => a < b ? `${a}|${b}` : `${b}|${a}`
  const readGeneration = (a: string, b: string): number => generations.get(formatPair(a, b)) ?? 0
  const dropMessages = (a: string, b: string): void => {
    generations.set(formatPair(a, b), readGeneration(a, b) + 1)
  }

  const addPeer = (node: MeshNode, peer: MeshNode): void => {
    if (node.peers.has(peer.self.incarnation)) return
    node.peers.set(peer.self.incarnation, peer.self)
    for (const watch of node.watchers) watch(peer.self, 'up')
  }

  const removePeer = (incarnation: string, peerIncarnation: string): void => {
    const node = nodes.get(incarnation)
    const peer = node?.peers.get(peerIncarnation)
    if (node === undefined || peer === undefined) return
    node.peers.delete(peerIncarnation)
    for (const watch of node.watchers) watch(peer, 'down')
  }

  const openLink = (a: MeshNode, b: MeshNode): void => {
    if (cuts.has(formatPair(a.self.incarnation, b.self.incarnation))) return
    addPeer(a, b)
    addPeer(b, a)
  }

  const closeLink = (a: string, b: string): void => {
    dropMessages(a, b)
    removePeer(a, b)
    removePeer(b, a)
  }

  const sendMessage = (node: MeshNode, to: string, message: LinkMessage): boolean => {
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
    const node: MeshNode = { self, receivers: new Map(), watchers: [], peers: new Map() }
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
          removePeer(peer, self.incarnation)
        }
        node.peers.clear()
      }
    }
  }

  return {
    addEntry,
    closeLink,
    setCut: (a, b) => {
      const pair = formatPair(a, b)
      cuts.add(pair)
      clock.setTimer(linkTimeoutMs, () => { if (cuts.has(pair)) closeLink(a, b) })
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
