/** Full mesh of TCP links between entries: one connection per pair, used in both directions. */
import { connect as connectSocket, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { createDisposableStore, startInterval } from '@fuchsiatally/core'
import type { Clock, Disposable, EventLog, Heartbeat, LinkMessage, Random } from '@fuchsiatally/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Peer, PeerMesh, SessionView } from '../ports.js'
import { handleListenerErrors } from '../process/listenerErrors.js'
import {
  DIAL_CHECK_INTERVAL_MS, HEARTBEAT_INTERVAL_MS, HEARTBEAT_JITTER, LINK_CHECK_INTERVAL_MS, LINK_TIMEOUT_MS, MAX_FRAME_BYTES,
  MAX_PENDING_CONNECTIONS, MAX_SEND_BUFFER_BYTES
} from './constants.js'
import { createDialPlan } from './dialPlan.js'
import {
  linkBufferFull, linkDialFailed, linkDown, linkFrameRefused, linkHelloRefused, linkListenFailed, linkUp
} from './events.js'
import { encodeFrame } from './frameCodec.js'
import { createLinkConnection } from './linkConnection.js'
import type { CloseReason, LinkConnection } from './linkConnection.js'

/** Heartbeat fields that are supplied by the rest of the entry. */
export type HeartbeatContents = Omit<Heartbeat, 'type' | 'sequence'>

/** Options of the peer mesh. */
export interface PeerMeshOptions {
  /** Identity that this entry announces to its peers. */
  readonly self: Peer
  /** IP address that the listener binds to. */
  readonly host: string
  /** Port of the listener; default 0, which picks a free port. */
  readonly port?: number
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  /** Entries to keep links with. Includes expired sessions, because such a peer may merely have lost its connection to the platform. */
  readonly listSessions: () => readonly SessionView[]
  /** Builds the contents of the next heartbeat; default: not leaving, all else empty. */
  readonly buildHeartbeat?: () => HeartbeatContents
  /** Maximum frame size, in bytes; default `MAX_FRAME_BYTES`. */
  readonly maxFrameBytes?: number
  /** Maximum number of bytes buffered for one peer; default `MAX_SEND_BUFFER_BYTES`. */
  readonly maxSendBufferBytes?: number
}

/** Failure to open the listener. */
export interface ListenFailure {
  readonly kind: 'listenFailed'
  readonly message: string
}

/** Peer mesh with its life cycle. */
export interface LinkMesh extends PeerMesh {
  /** Opens the listener and starts dialling peers; returns the `host:port` that it listens on. */
  start: () => Promise<Result<string, ListenFailure>>
  /** Closes all links and the listener. */
  stop: () => Promise<void>
  /** Adds a listener for heartbeats; several may be registered. */
  onHeartbeat: (listener: (heartbeat: Heartbeat, from: Peer) => void) => Disposable
}

type MessageHandler = (message: LinkMessage, from: Peer) => void

const EMPTY_HEARTBEAT: HeartbeatContents = {
  leaving: false, slots: [], configVersion: 0, deniedKeyIds: [], allotmentDemand: []
}

/** Creates the mesh; no socket is opened before `start`. */
export function createPeerMesh (options: PeerMeshOptions): LinkMesh {
  const { self, clock, random, log } = options
  const maxFrameBytes = options.maxFrameBytes ?? MAX_FRAME_BYTES
  const maxSendBufferBytes = options.maxSendBufferBytes ?? MAX_SEND_BUFFER_BYTES
  const disposables = createDisposableStore()
  const links = new Map<string, LinkConnection>()
  const connections = new Set<LinkConnection>()
  const suspectedConnections = new Set<LinkConnection>()
  const congestedConnections = new Set<LinkConnection>()
  const messageHandlers = new Map<string, MessageHandler>()
  const heartbeatListeners = new Set<(heartbeat: Heartbeat, from: Peer) => void>()
  const peerListeners: Array<(peer: Peer, change: 'up' | 'down') => void> = []
  const dialPlan = createDialPlan({ self, clock, random })
  let server: Server | null = null
  let sequence = 0
  let stopped = false

  const handleMessage = (message: LinkMessage, from: Peer): void => {
    messageHandlers.get(message.type)?.(message, from)
    if (message.type !== 'heartbeat') return
    for (const listener of heartbeatListeners) listener(message, from)
  }
  const notifyChange = (peer: Peer, change: 'up' | 'down'): void => {
    for (const listener of peerListeners) listener(peer, change)
  }
  const isPreferred = (connection: LinkConnection, peer: Peer): boolean =>
    connection.dialled === (self.incarnation < peer.incarnation)
  const handleHello = (peer: Peer, connection: LinkConnection): void => {
    if (peer.incarnation === self.incarnation) {
      connection.close({ kind: 'helloRefused', message: 'peer has the incarnation of this entry' })
      return
    }
    const current = links.get(peer.incarnation)
    // Of two simultaneous connections, both sides keep the one dialled by the lower incarnation.
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
    suspectedConnections.delete(connection)
    congestedConnections.delete(connection)
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
      usesHeartbeats: () => heartbeatListeners.size > 0 || messageHandlers.has('heartbeat'),
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
    log.record(linkHelloRefused, { message: 'too many connections waiting for hello', dialled: false })
  }
  const dialMissing = (): void => {
    for (const target of dialPlan.listDue(options.listSessions(), links)) {
      const socket = connectSocket({ host: target.host, port: target.port })
      const connection = addConnection(socket, true)
      dialPlan.recordDial(target.incarnation, () => connections.has(connection) && connection.getPeer() === null)
    }
  }
  const closeTimedOut = (): void => {
    const nowMs = clock.nowMs()
    for (const connection of [...connections]) {
      const isTimedOut = nowMs - connection.readLastReceivedMs() >= LINK_TIMEOUT_MS
      // Closes only at the second check in a row: after a pause of this process, timers fire before pending input is read.
      if (isTimedOut && suspectedConnections.has(connection)) connection.close({ kind: 'silent' })
      else if (isTimedOut) suspectedConnections.add(connection)
      else suspectedConnections.delete(connection)
    }
  }
  const sendFrame = (connection: LinkConnection, frame: Buffer): boolean => {
    const sent = connection.sendFrame(frame)
    if (sent) congestedConnections.delete(connection)
    else if (!congestedConnections.has(connection) && connections.has(connection)) {
      congestedConnections.add(connection)
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
  /** Encodes a message; returns `null` if it exceeds the frame size that peers accept. */
  const encodeBounded = (message: LinkMessage): Buffer | null => {
    const frame = encodeFrame(message)
    if (frame.length <= maxFrameBytes) return frame
    log.record(linkFrameRefused, { type: message.type, bytes: frame.length, fault: 'oversized' })
    return null
  }
  const startTimers = (): void => {
    disposables.add(startInterval(clock, random, HEARTBEAT_INTERVAL_MS, HEARTBEAT_JITTER, () => sendHeartbeat(links.values())))
    disposables.add(startInterval(clock, random, LINK_CHECK_INTERVAL_MS, 0, closeTimedOut))
    disposables.add(startInterval(clock, random, DIAL_CHECK_INTERVAL_MS, HEARTBEAT_JITTER, dialMissing))
  }
  return {
    start: () => new Promise((resolve) => {
      const listener = createServer(acceptSocket)
      server = listener
      const failListening = (error: Error): void => {
        log.record(linkListenFailed, { message: error.message })
        resolve(err({ kind: 'listenFailed', message: error.message }))
      }
      listener.once('error', failListening)
      listener.listen({ host: options.host, port: options.port ?? 0 }, () => {
        const address = formatAddress(listener.address() as AddressInfo)
        listener.removeListener('error', failListening)
        handleListenerErrors(listener, log, address)
        startTimers()
        resolve(ok(address))
      })
    }),
    stop: async () => {
      stopped = true
      disposables.dispose()
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
    onMessage: (type, handler) => {
      messageHandlers.set(type, handler as MessageHandler)
    },
    onPeerChange: (listener) => {
      peerListeners.push(listener)
    },
    onHeartbeat: (listener) => {
      heartbeatListeners.add(listener)
      return { dispose: () => { heartbeatListeners.delete(listener) } }
    }
  }
}

function formatAddress ({ address, port, family }: AddressInfo): string {
  return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`
}
