/** TCP relay that injects network faults: reset connections and black holes. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

/**
 * `open`: forwards all traffic; `cut`: closes existing connections and every new one;
 * `silent`: forwards nothing and closes nothing, like a black hole.
 */
export type RelayMode = 'open' | 'cut' | 'silent'

export interface Relay {
  /** `host:port` of the relay, to be used in place of the target's. */
  readonly address: string
  readonly setMode: (mode: RelayMode) => void
  /** Stops forwarding on all current connections without closing them, and returns how many there are; new ones work. */
  readonly blockOpenConnections: () => number
  readonly stop: () => Promise<void>
}

interface RelayedConnection {
  readonly client: Socket
  readonly upstream: Socket
}

/** Starts a relay to the target `host:port` on a free loopback port. */
export async function startRelay (target: string): Promise<Relay> {
  const { hostname, port } = new URL(`http://${target}`)
  const connections = new Set<RelayedConnection>()
  let mode: RelayMode = 'open'

  const closeConnection = (connection: RelayedConnection): void => {
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

  const startForwarding = ({ client, upstream }: RelayedConnection): void => {
    client.pipe(upstream)
    upstream.pipe(client)
  }

  const server = createServer((client) => {
    client.on('error', () => {})
    if (mode === 'cut') return client.destroy()
    const upstream = connect(Number(port), hostname)
    const connection = { client, upstream }
    connections.add(connection)
    upstream.on('error', () => {})
    client.on('close', () => closeConnection(connection))
    upstream.on('close', () => closeConnection(connection))
    if (mode === 'open') startForwarding(connection)
    return undefined
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setMode: (newMode) => {
      const wasSilent = mode === 'silent'
      mode = newMode
      for (const connection of [...connections]) {
        if (newMode === 'cut') closeConnection(connection)
        if (newMode === 'silent') stopForwarding(connection)
        if (newMode === 'open' && wasSilent) startForwarding(connection)
      }
    },
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
