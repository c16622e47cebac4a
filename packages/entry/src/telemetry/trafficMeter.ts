/** Bytes that the process sends and receives, by the kind of peer, over all its sockets. */
import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'
import type { Disposable } from '@fuchsiatally/core'

/** Kinds of peers. */
export type TrafficKind = 'platform' | 'worker' | 'endpoint' | 'link' | 'caller' | 'other'

/** Bytes of one kind since the start. */
export interface Traffic {
  readonly kind: TrafficKind
  readonly sentBytes: number
  readonly receivedBytes: number
}

/** Options of the meter. */
export interface TrafficMeterOptions {
  /** Kind of a peer that this process connected to, by `host:port`. */
  readonly findClientKind: (address: string) => TrafficKind
  /** Kind of a connection that was accepted on a local port. */
  readonly findServerKind: (localPort: number) => TrafficKind
}

/** Counts bytes of all sockets. */
export interface TrafficMeter extends Disposable {
  listTraffic: () => Traffic[]
}

const CLIENT_CHANNEL = 'net.client.socket'
const SERVER_CHANNEL = 'net.server.socket'

interface SocketMessage { readonly socket: Socket }

/** Starts counting; sockets opened before are not seen. */
export function createTrafficMeter (options: TrafficMeterOptions): TrafficMeter {
  const ended = new Map<TrafficKind, { sentBytes: number, receivedBytes: number }>()
  const open = new Map<Socket, TrafficKind>()

  const addBytes = (totals: Map<TrafficKind, { sentBytes: number, receivedBytes: number }>, kind: TrafficKind, socket: Socket): void => {
    const total = totals.get(kind) ?? { sentBytes: 0, receivedBytes: 0 }
    total.sentBytes += socket.bytesWritten ?? 0
    total.receivedBytes += socket.bytesRead ?? 0
    totals.set(kind, total)
  }

  const addSocket = (socket: Socket, kind: TrafficKind): void => {
    open.set(socket, kind)
    socket.once('close', () => {
      addBytes(ended, open.get(socket) ?? 'other', socket)
      open.delete(socket)
    })
  }

  const addClient = (message: unknown): void => {
    const { socket } = message as SocketMessage
    addSocket(socket, 'other')
    // The channel speaks before the connection is begun, so the peer is not known yet.
    socket.once('connect', () => {
      open.set(socket, options.findClientKind(`${socket.remoteAddress}:${socket.remotePort}`))
    })
  }
  const addServer = (message: unknown): void => {
    const { socket } = message as SocketMessage
    addSocket(socket, options.findServerKind(socket.localPort ?? 0))
  }
  subscribe(CLIENT_CHANNEL, addClient)
  subscribe(SERVER_CHANNEL, addServer)

  return {
    listTraffic: () => {
      const totals = new Map([...ended].map(([kind, total]) => [kind, { ...total }]))
      for (const [socket, kind] of open) addBytes(totals, kind, socket)
      return [...totals].map(([kind, total]) => ({ kind, ...total }))
    },
    dispose: () => {
      unsubscribe(CLIENT_CHANNEL, addClient)
      unsubscribe(SERVER_CHANNEL, addServer)
    }
  }
}
