/** Links to all other entries over TCP: one connection for each pair, used in both directions. */
import { connect as connectSocket, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { createDisposableStore, startInterval } from '@fuchsiatally/core'
import type { Clock, Disposable, EventLog, Heartbeat, LinkMessage, Random } from '@fuchsiatally/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Peer, PeerMesh, SessionView } from '../ports.js'
import {
  DIAL_CHECK_MS, HEARTBEAT_JITTER, HEARTBEAT_MS, LINK_SILENCE_MS, MAX_FRAME_BYTES, MAX_PENDING_CONNECTIONS,
  MAX_SEND_BUFFER_BYTES, SILENCE_CHECK_MS
} from './constants.js'
import { createDialPlan } from './dialPlan.js'
import {
  linkBufferFull, linkDialFailed, linkDown, linkFrameRefused, linkHelloRefused, linkListenFailed, linkUp
} from './events.js'
import { encodeFrame } from './frameCodec.js'
import { createLinkConnection } from './linkConnection.js'
import type { CloseReason, LinkConnection } from './linkConnection.js'

/** Contents of a heartbeat that the rest of the entry knows. */
export type HeartbeatContents = Omit<Heartbeat, 'type' | 'sequence'>

/** Options of the mesh. */
export interface PeerMeshOptions {
  /** This entry as its peers shall know it. */
  readonly self: Peer
  /** IP number that the listener binds to. */
  readonly host: string
  /** Port of the listener; default 0, any free one. */
  readonly port?: number
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  /** Entries to keep links with: all rows of sessions, expired ones too, since only the platform may be cut off. */
  readonly listSessions: () => readonly SessionView[]
  /** Contents of the next heartbeat; default: not leaving, nothing else. */
  readonly buildHeartbeat?: () => HeartbeatContents
  /** Largest frame, in bytes; default `MAX_FRAME_BYTES`. */
  readonly maxFrameBytes?: number
  /** Most bytes waiting for one peer; default `MAX_SEND_BUFFER_BYTES`. */
  readonly maxSendBufferBytes?: number
}

/** The listener could not be opened. */
export interface ListenFailure {
  readonly kind: 'listenFailed'
  readonly message: string
}

/** A mesh with its life cycle. */
export interface LinkMesh extends PeerMesh {
  /** Opens the listener and begins to connect; gives the `host:port` that it listens on. */
  start: () => Promise<Result<string, ListenFailure>>
  /** Closes all links and the listener. */
  stop: () => Promise<void>
  /** Registers one more receiver of heartbeats. */
  onHeartbeat: (receive: (heartbeat: Heartbeat, from: Peer) => void) => Disposable
}

type Receiver = (message: LinkMessage, from: Peer) => void

const EMPTY_HEARTBEAT: HeartbeatContents = {
  leaving: false, slots: [], configVersion: 0, deniedKeyIds: [], allotmentDemand: []
}

/** Creates the mesh; nothing is opened before `start`. */
export function createPeerMesh (options: PeerMeshOptions): LinkMesh {
  const { self, clock, random, log } = options
  const maxFrameBytes = options.maxFrameBytes ?? MAX_FRAME_BYTES
  const maxSendBufferBytes = options.maxSendBufferBytes ?? MAX_SEND_BUFFER_BYTES
  const store = createDisposableStore()
  const links = new Map<string, LinkConnection>()
  const connections = new Set<LinkConnection>()
  const suspects = new Set<LinkConnection>()
  const fullLinks = new Set<LinkConnection>()
  const receivers = new Map<string, Receiver>()
  const heartbeatReceivers = new Set<(heartbeat: Heartbeat, from: Peer) => void>()
  const changeReceivers: Array<(peer: Peer, change: 'up' | 'down') => void> = []
  const dialPlan = createDialPlan({ self, clock, random })
  let server: Server | null = null
  let sequence = 0
  let stopped = false

  const handleMessage = (message: LinkMessage, from: Peer): void => {
    receivers.get(message.type)?.(message, from)
    if (message.type !== 'heartbeat') return
    for (const receive of heartbeatReceivers) receive(message, from)
  }
  const notifyChange = (peer: Peer, change: 'up' | 'down'): void => {
    for (const receive of changeReceivers) receive(peer, change)
  }
  const isPreferred = (connection: LinkConnection, peer: Peer): boolean =>
    connection.dialled === (self.incarnation < peer.incarnation)
  const handleHello = (peer: Peer, connection: LinkConnection): void => {
    if (peer.incarnation === self.incarnation) {
      connection.close({ kind: 'helloRefused', message: 'connected to itself' })
      return
    }
    const current = links.get(peer.incarnation)
    // Both sides keep the same one of two connections that cross: that of the lower incarnation.
    if (current !== undefined && isPreferred(current, peer) && !isPreferred(connection, peer)) {
      connection.close({ kind: 'replaced' })
      return
    }
    current?.close({ kind: 'replaced' })
    links.set(peer.incarnation, connection)
    dialPlan.recordUp(peer.incarnation)
    log.record(linkUp, { peer: peer.entry, incarnation: peer.incarnation, dialled: connection.dialled })
    notifyChange(peer, 'up')
    sendHeartbeat([connection])
  }
  const recordClose = (reason: CloseReason, peer: Peer | null, dialled: boolean): void => {
    const fields = { peer: peer?.entry ?? null, incarnation: peer?.incarnation ?? null, reason: reason.kind }
    if (reason.kind === 'frameRefused') log.record(linkFrameRefused, { ...fields, fault: reason.fault.kind })
    else if (reason.kind === 'helloRefused') log.record(linkHelloRefused, { message: reason.message, dialled })
    if (peer !== null) log.record(linkDown, fields)
    else if (dialled) log.record(linkDialFailed, fields)
  }
  const handleClose = (reason: CloseReason, connection: LinkConnection): void => {
    connections.delete(connection)
    suspects.delete(connection)
    fullLinks.delete(connection)
    const peer = connection.getPeer()
    if (peer === null || links.get(peer.incarnation) !== connection) {
      if (!stopped) recordClose(reason, null, connection.dialled)
      return
    }
    links.delete(peer.incarnation)
    dialPlan.recordDown(peer.incarnation)
    if (!stopped) recordClose(reason, peer, connection.dialled)
    notifyChange(peer, 'down')
  }
  const addConnection = (socket: Socket, dialled: boolean): LinkConnection => {
    const connection = createLinkConnection({
      socket,
      clock,
      self,
      dialled,
      maxFrameBytes,
      maxSendBufferBytes,
      onHello: handleHello,
      onMessage: handleMessage,
      onClose: handleClose
    })
    connections.add(connection)
    return connection
  }
  const acceptSocket = (socket: Socket): void => {
    let pending = 0
    for (const connection of connections) if (connection.getPeer() === null) pending += 1
    if (pending < MAX_PENDING_CONNECTIONS && !stopped) {
      addConnection(socket, false)
      return
    }
    socket.on('error', () => {})
    socket.destroy()
    log.record(linkHelloRefused, { message: 'too many connections without hello', dialled: false })
  }
  const dialMissing = (): void => {
    for (const target of dialPlan.listDue(options.listSessions(), links)) {
      const socket = connectSocket({ host: target.host, port: target.port })
      const connection = addConnection(socket, true)
      dialPlan.recordDial(target.incarnation, () => connections.has(connection) && connection.getPeer() === null)
    }
  }
  const dropSilent = (): void => {
    const nowMs = clock.nowMs()
    for (const connection of [...connections]) {
      const isSilent = nowMs - connection.readLastReceivedMs() >= LINK_SILENCE_MS
      // After a pause of this process its timers run before what has arrived meanwhile is read.
      if (isSilent && suspects.has(connection)) connection.close({ kind: 'silent' })
      else if (isSilent) suspects.add(connection)
      else suspects.delete(connection)
    }
  }
  const sendFrame = (connection: LinkConnection, frame: Buffer): boolean => {
    const sent = connection.sendFrame(frame)
    if (sent) fullLinks.delete(connection)
    else if (!fullLinks.has(connection) && connections.has(connection)) {
      fullLinks.add(connection)
      log.record(linkBufferFull, { peer: connection.getPeer()?.entry ?? null, bytes: connection.readBufferedBytes() })
    }
    return sent
  }
  const sendHeartbeat = (targets: Iterable<LinkConnection>): void => {
    sequence += 1
    const contents = options.buildHeartbeat?.() ?? EMPTY_HEARTBEAT
    const frame = encodeFrame({ type: 'heartbeat', sequence, ...contents })
    for (const connection of targets) sendFrame(connection, frame)
  }
  /** Encodes a message, or `null` if every peer would refuse it for its size. */
  const encodeBounded = (message: LinkMessage): Buffer | null => {
    const frame = encodeFrame(message)
    if (frame.length <= maxFrameBytes) return frame
    log.record(linkFrameRefused, { type: message.type, bytes: frame.length, fault: 'oversized' })
    return null
  }
  const startTimers = (): void => {
    store.add(startInterval(clock, random, HEARTBEAT_MS, HEARTBEAT_JITTER, () => sendHeartbeat(links.values())))
    store.add(startInterval(clock, random, SILENCE_CHECK_MS, 0, dropSilent))
    store.add(startInterval(clock, random, DIAL_CHECK_MS, HEARTBEAT_JITTER, dialMissing))
  }
  return {
    start: () => new Promise((resolve) => {
      const listener = createServer(acceptSocket)
      server = listener
      listener.once('error', (error) => {
        log.record(linkListenFailed, { message: error.message })
        resolve(err({ kind: 'listenFailed', message: error.message }))
      })
      listener.listen({ host: options.host, port: options.port ?? 0 }, () => {
        startTimers()
        resolve(ok(formatAddress(listener.address() as AddressInfo)))
      })
    }),
    stop: async () => {
      stopped = true
      store.dispose()
      for (const connection of [...connections]) connection.close({ kind: 'stopped' })
      const listener = server
      if (listener === null || !listener.listening) return
      await new Promise<void>((resolve) => { listener.close(() => resolve()) })
    },
    listPeers: () => [...links.values()].flatMap((connection) => connection.getPeer() ?? []),
    sendMessage: (incarnation, message) => {
      const connection = links.get(incarnation)
      if (connection === undefined) return false
      const frame = encodeBounded(message)
      return frame !== null && sendFrame(connection, frame)
    },
    broadcastMessage: (message) => {
      const frame = encodeBounded(message)
      if (frame === null) return
      for (const connection of links.values()) sendFrame(connection, frame)
    },
    onMessage: (type, receive) => {
      receivers.set(type, receive as Receiver)
    },
    onPeerChange: (receive) => {
      changeReceivers.push(receive)
    },
    onHeartbeat: (receive) => {
      heartbeatReceivers.add(receive)
      return { dispose: () => { heartbeatReceivers.delete(receive) } }
    }
  }
}

function formatAddress ({ address, port, family }: AddressInfo): string {
  return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`
}
