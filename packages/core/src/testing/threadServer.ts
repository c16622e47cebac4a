/** HTTP server in a thread of its own, which responds while the event loop of the test is blocked. */
import { once } from 'node:events'
import { Worker } from 'node:worker_threads'

/** A server that holds each response back until the test lets it go. */
export interface ThreadServer {
  readonly port: number
  /** Waits until the server has read this number of requests. */
  waitForRequests: (count: number) => Promise<void>
  /** Lets one response go. */
  release: () => void
  /** Lets one response go, blocks the event loop until it is written, and then for `blockMs` more. */
  releaseAndBlock: (blockMs: number) => void
  /** Blocks the event loop until the server has accepted this number of connections, and then for `blockMs` more. */
  acceptAndBlock: (count: number, blockMs: number) => void
  /** Number of connections that were opened. */
  countConnections: () => number
  close: () => Promise<void>
}

/** Indexes of the shared counters. */
const READ = 0
const RELEASED = 1
const WRITTEN = 2
const CONNECTIONS = 3
const PORT = 4
const COUNTERS = 5
/** Time after which a wait for the server fails, in milliseconds: the server has stopped or the client has closed the connection. */
const MAX_WAIT_MS = 30_000

const SERVER_SOURCE = `
const { createServer } = require('node:http')
const { workerData } = require('node:worker_threads')
const { counters, body } = workerData
const add = (index) => { Atomics.add(counters, index, 1); Atomics.notify(counters, index) }
let answered = 0
const server = createServer((request, response) => {
  request.resume()
  request.on('end', () => {
    add(${READ})
    answered += 1
    while (Atomics.load(counters, ${RELEASED}) < answered) Atomics.wait(counters, ${RELEASED}, Atomics.load(counters, ${RELEASED}))
    response.end(body, () => add(${WRITTEN}))
  })
})
server.on('connection', () => add(${CONNECTIONS}))
server.listen(0, '127.0.0.1', () => {
  Atomics.store(counters, ${PORT}, server.address().port)
  require('node:worker_threads').parentPort.postMessage('listening')
})
`

function createWaitError (counters: Int32Array, wanted: string): Error {
  const [read, released, written, connections] = counters
  return new Error(`the server did not get to ${wanted} within ${MAX_WAIT_MS} ms: read ${read}, released ${released}, written ${written}, connections ${connections}`)
}

/** Blocks the event loop until the counter has reached a value, and then for `blockMs` more. */
function blockUntilReached (counters: Int32Array, index: number, value: number, blockMs: number): void {
  const giveUpAtMs = performance.now() + MAX_WAIT_MS
  for (let current = Atomics.load(counters, index); current < value; current = Atomics.load(counters, index)) {
    if (Atomics.wait(counters, index, current, giveUpAtMs - performance.now()) === 'timed-out') throw createWaitError(counters, `${value} of counter ${index}`)
  }
  const untilMs = performance.now() + blockMs
  while (performance.now() < untilMs);
}

/** Starts the server; all its responses have the same body. */
export async function startThreadServer (body: string): Promise<ThreadServer> {
  const counters = new Int32Array(new SharedArrayBuffer(COUNTERS * Int32Array.BYTES_PER_ELEMENT))
  const thread = new Worker(SERVER_SOURCE, { eval: true, workerData: { counters, body } })
  await once(thread, 'message')
  const release = (): void => {
    Atomics.add(counters, RELEASED, 1)
    Atomics.notify(counters, RELEASED)
  }
  return {
    port: Atomics.load(counters, PORT),
    waitForRequests: async (count) => {
      const giveUpAtMs = performance.now() + MAX_WAIT_MS
      while (Atomics.load(counters, READ) < count) {
        if (performance.now() > giveUpAtMs) throw createWaitError(counters, `${count} requests`)
        await new Promise((resolve) => { setImmediate(resolve) })
      }
    },
    release,
    releaseAndBlock: (blockMs) => {
      const written = Atomics.load(counters, WRITTEN)
      release()
      blockUntilReached(counters, WRITTEN, written + 1, blockMs)
    },
    acceptAndBlock: (count, blockMs) => blockUntilReached(counters, CONNECTIONS, count, blockMs),
    countConnections: () => Atomics.load(counters, CONNECTIONS),
    close: async () => {
      Atomics.store(counters, RELEASED, 2 ** 30)
      Atomics.notify(counters, RELEASED)
      await thread.terminate()
    }
  }
}
