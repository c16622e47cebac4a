/** Relay of TCP connections that can lose them in the ways a network does. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

/**
 * `open`: passes everything on; `cut`: connections break and new ones are closed at once;
 * `silent`: nothing passes on any connection, none is closed.
 */
export type RelayMode = 'open' | 'cut' | 'silent'

export interface Relay {
  /** `host:port` to connect to instead of the target. */
  readonly address: string
  readonly setMode: (mode: RelayMode) => void
  /** Lets every connection of this moment go silent for good; new ones work. */
  readonly silenceOpen: () => number
  readonly stop: () => Promise<void>
}

interface Pair {
  readonly near: Socket
  readonly far: Socket
}

/** Starts a relay to a `host:port`. */
export async function startRelay (target: string): Promise<Relay> {
  const { hostname, port } = new URL(`http://${target}`)
  const pairs = new Set<Pair>()
  let mode: RelayMode = 'open'

  const closePair = (pair: Pair): void => {
    pair.near.destroy()
    pair.far.destroy()
    pairs.delete(pair)
  }

  const silencePair = ({ near, far }: Pair): void => {
    for (const socket of [near, far]) {
      socket.unpipe()
      socket.pause()
    }
  }

  const resumePair = ({ near, far }: Pair): void => {
    near.pipe(far)
    far.pipe(near)
  }

  const server = createServer((near) => {
    near.on('error', () => {})
    if (mode === 'cut') return near.destroy()
    const far = connect(Number(port), hostname)
    const pair = { near, far }
    pairs.add(pair)
    far.on('error', () => {})
    near.on('close', () => closePair(pair))
    far.on('close', () => closePair(pair))
    if (mode === 'open') resumePair(pair)
    return undefined
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setMode: (newMode) => {
      const wasSilent = mode === 'silent'
      mode = newMode
      for (const pair of [...pairs]) {
        if (newMode === 'cut') closePair(pair)
        if (newMode === 'silent') silencePair(pair)
        if (newMode === 'open' && wasSilent) resumePair(pair)
      }
    },
    silenceOpen: () => {
      for (const pair of pairs) silencePair(pair)
      return pairs.size
    },
    stop: () => new Promise((resolve) => {
      server.close(() => resolve())
      for (const pair of [...pairs]) closePair(pair)
    })
  }
}
