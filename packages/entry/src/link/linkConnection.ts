/** One TCP connection to a peer: hello exchange, framing and size limits. Owns its socket. */
import type { Socket } from 'node:net'
import { type Clock, createResponseTimer, type LinkMessage } from '@fuchsiatally/core'
import type { Peer } from '../ports.js'
import { HELLO_TIMEOUT_MS, MAX_HELLO_BYTES } from './constants.js'
import { createFrameReader, decodeFrame, encodeFrame, isHeartbeatFrame } from './frameCodec.js'
import type { FrameFault } from './frameCodec.js'

/** Why a connection was closed. */
export type CloseReason =
  | { readonly kind: 'frameRefused', readonly fault: FrameFault }
  | { readonly kind: 'helloRefused', readonly message: string }
  | { readonly kind: 'silent' | 'replaced' | 'stopped' | 'closedByPeer' }
  | { readonly kind: 'socketFailed', readonly message: string }

/** Options of a link connection. */
export interface LinkConnectionOptions {
  readonly socket: Socket
  readonly clock: Clock
  readonly self: Peer
  /** Whether this entry opened the connection. */
  readonly dialled: boolean
  readonly maxFrameBytes: number
  readonly maxSendBufferBytes: number
  /** Called once when the peer's hello arrives, before any other message. */
  readonly onHello: (peer: Peer, connection: LinkConnection) => void
  readonly onMessage: (message: LinkMessage, peer: Peer) => void
  /** Whether the contents of heartbeats are used; if not, they are received without being decoded. */
  readonly usesHeartbeats: () => boolean
  /** Called once when the connection is closed, for any reason. */
  readonly onClose: (reason: CloseReason, connection: LinkConnection) => void
}

/** Connection to a peer; after `close` it neither sends nor delivers messages. */
export interface LinkConnection {
  readonly dialled: boolean
  /** Returns the peer, or `null` before its hello. */
  getPeer: () => Peer | null
  /** Queues an encoded frame; returns `false` if the send buffer is full or the connection is closed. */
  sendFrame: (frame: Buffer) => boolean
  /** Returns the monotonic time at which the last byte arrived. */
  readLastReceivedMs: () => number
  readBufferedBytes: () => number
  close: (reason: CloseReason) => void
}

/** Takes ownership of a socket, sends the hello and waits for the peer's. */
export function createLinkConnection (options: LinkConnectionOptions): LinkConnection {
  const { socket, clock, self } = options
  const reader = createFrameReader(MAX_HELLO_BYTES)
  let peer: Peer | null = null
  let lastReceivedMs = clock.nowMs()
  let closed = false

  const close = (reason: CloseReason): void => {
    if (closed) return
    closed = true
    helloTimer.dispose()
    socket.destroy()
    options.onClose(reason, connection)
  }
  const helloTimer = createResponseTimer({
    clock,
    timeoutMs: HELLO_TIMEOUT_MS,
    onTimeout: () => close({ kind: 'helloRefused', message: 'no hello before the timeout' })
  })
  const handleHello = (message: LinkMessage): void => {
    if (message.type !== 'hello') {
      close({ kind: 'helloRefused', message: `expected hello as first message, got ${message.type}` })
      return
    }
    helloTimer.dispose()
    reader.setMaxBytes(options.maxFrameBytes)
    const { entry, incarnation, failureDomain } = message
    peer = { entry, incarnation, failureDomain }
    options.onHello(peer, connection)
  }
  const handleBody = (body: Buffer): boolean => {
    if (peer !== null && !options.usesHeartbeats() && isHeartbeatFrame(body)) return true
    const decoded = decodeFrame(body)
    if (decoded.isErr()) close({ kind: 'frameRefused', fault: decoded.error })
    else if (peer === null) handleHello(decoded.value)
    else options.onMessage(decoded.value, peer)
    return !closed
  }
  const handleData = (chunk: Buffer): void => {
    lastReceivedMs = clock.nowMs()
    const outcome = reader.addChunk(chunk, handleBody)
    if (outcome.isErr()) close({ kind: 'frameRefused', fault: outcome.error })
  }
  const connection: LinkConnection = {
    dialled: options.dialled,
    getPeer: () => peer,
    sendFrame: (frame) => {
      if (closed || socket.writableLength + frame.length > options.maxSendBufferBytes) return false
      socket.write(frame)
      return true
    },
    readLastReceivedMs: () => lastReceivedMs,
    readBufferedBytes: () => socket.writableLength,
    close
  }
  socket.setNoDelay(true)
  socket.on('data', handleData)
  socket.on('error', (error) => close({ kind: 'socketFailed', message: error.message }))
  socket.on('close', () => close({ kind: 'closedByPeer' }))
  socket.write(encodeFrame({ type: 'hello', ...self }))
  return connection
}
