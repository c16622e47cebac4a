/** Counts the bytes that the process sends and receives over all sockets, by kind of peer. */
import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'
import type { Disposable } from '@fuchsiatally/core'

/** Kinds of peers. */
export type TrafficKind = 'platform' | 'worker' | 'endpoint' | 'link' | 'caller' | 'other'

/** Bytes exchanged with one kind of peer since the start. */
export interface Traffic {
  readonly kind: TrafficKind
  readonly sentBytes: number
  readonly receivedBytes: number
}

export interface TrafficMeterOptions {
  /** Classifies a peer to which this process has connected, by its `host:port`. */
  readonly findClientKind: (address: string) => TrafficKind
  /** Classifies an accepted connection by its local port. */
  readonly findServerKind: (localPort: number) => TrafficKind
}

/** Meter of the bytes of all sockets. */
export interface TrafficMeter extends Disposable {
  listTraffic: () => Traffic[]
}

const CLIENT_CHANNEL = 'net.client.socket'
const SERVER_CHANNEL = 'net.server.socket'

interface SocketMessage { readonly socket: Socket }

/** Starts the meter; sockets that are already open are not counted. */
export function createTrafficMeter (options: TrafficMeterOptions): TrafficMeter {
  const closedTotals = new Map<TrafficKind, { sentBytes: number, receivedBytes: number }>()
  const openSockets = new Map<Socket, TrafficKind>()

  const addBytes = (totals: Map<TrafficKind, { sentBytes: number, receivedBytes: number }>, kind: TrafficKind, socket: Socket): void => {
    const total = totals.get(kind) ?? { sentBytes: 0, receivedBytes: 0 }
    total.sentBytes += socket.bytesWritten ?? 0
    total.receivedBytes += socket.bytesRead ?? 0
    totals.set(kind, total)
  }

  const addSocket = (socket: Socket, kind: TrafficKind): void => {
    openSockets.set(socket, kind)
    socket.once('close', () => {
      addBytes(closedTotals, openSockets.get(socket) ?? 'other', socket)
      openSockets.delete(socket)
    })
  }

  const addClient = (message: unknown): void => {
    const { socket } = message as SocketMessage
    addSocket(socket, 'other')
    // The channel publishes the socket before it connects, so that the peer is not known yet.
    socket.once('connect', () => {
      openSockets.set(socket, options.findClientKind(`${socket.remoteAddress}:${socket.remotePort}`))
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
      const totals = new Map([...closedTotals].map(([kind, total]) => [kind, { ...total }]))
      for (const [socket, kind] of openSockets) addBytes(totals, kind, socket)
      return [...totals].map(([kind, total]) => ({ kind, ...total }))
    },
    dispose: () => {
      unsubscribe(CLIENT_CHANNEL, addClient)
      unsubscribe(SERVER_CHANNEL, addServer)
    }
  }
}
