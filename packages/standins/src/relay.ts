/** TCP relay that injects network faults: reset connections, black holes, cuts in one direction and delays. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { Transform } from 'node:stream'

/**
 * `open`: forwards all traffic; `cut`: resets existing connections and every new one; `silent`: forwards nothing and closes nothing,
 * like a black hole; `oneWay`: forwards requests and holds all responses back until the mode changes.
 */
export type RelayMode = 'open' | 'cut' | 'silent' | 'oneWay'

export interface Relay {
  /** `host:port` of the relay, to be used in place of the target's. */
  readonly address: string
  readonly setMode: (mode: RelayMode) => void
  /** Delays each chunk of data, in both directions, by this many milliseconds; 0 ends the delay. */
  readonly setDelay: (delayMs: number) => void
  /** Stops forwarding on all current connections without closing them, and returns how many there are; new ones work. */
  readonly blockOpenConnections: () => number
  readonly stop: () => Promise<void>
}

interface RelayedConnection {
  readonly client: Socket
  readonly upstream: Socket
  /** Streams through which the data of each socket passes. */
  readonly fromClient: Transform
  readonly fromUpstream: Transform
}

/** Starts a relay to the target `host:port` on a free loopback port. */
export async function startRelay (target: string): Promise<Relay> {
  const { hostname, port } = new URL(`http://${target}`)
  const connections = new Set<RelayedConnection>()
  let mode: RelayMode = 'open'
  let delayMs = 0

  const createDelay = (): Transform => new Transform({
    transform: (chunk, _encoding, forward) => {
      if (delayMs === 0) forward(null, chunk)
      else setTimeout(() => forward(null, chunk), delayMs)
    }
  })

  const closeConnection = (connection: RelayedConnection): void => {
    if (mode === 'cut') connection.client.resetAndDestroy()
    connection.client.destroy()
    connection.upstream.destroy()
    connections.delete(connection)
  }

  const stopForwarding = ({ client, upstream }: RelayedConnection): void => {
    for (const socket of [client, upstream]) {
      socket.unpipe()
      socket.pause()
    }
  }

  const startForwarding = ({ client, upstream, fromClient, fromUpstream }: RelayedConnection): void => {
    client.pipe(fromClient)
    if (mode === 'open') upstream.pipe(fromUpstream)
  }

  const server = createServer((client) => {
    client.on('error', () => {})
    if (mode === 'cut') return client.destroy()
    const upstream = connect(Number(port), hostname)
    const connection = { client, upstream, fromClient: createDelay(), fromUpstream: createDelay() }
    connection.fromClient.pipe(upstream)
    connection.fromUpstream.pipe(client)
    connections.add(connection)
    upstream.on('error', () => {})
    client.on('close', () => closeConnection(connection))
    upstream.on('close', () => closeConnection(connection))
    if (mode !== 'silent') startForwarding(connection)
    return undefined
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setMode: (newMode) => {
      if (newMode === mode) return
      mode = newMode
      for (const connection of [...connections]) {
        if (newMode === 'cut') {
          closeConnection(connection)
          continue
        }
        stopForwarding(connection)
        if (newMode !== 'silent') startForwarding(connection)
      }
    },
    setDelay: (newDelayMs) => { delayMs = newDelayMs },
    blockOpenConnections: () => {
      for (const connection of connections) stopForwarding(connection)
      return connections.size
    },
    stop: () => new Promise((resolve) => {
      server.close(() => resolve())
      for (const connection of [...connections]) closeConnection(connection)
    })
  }
}
