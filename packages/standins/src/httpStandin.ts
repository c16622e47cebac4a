/** HTTP server of the stand-ins, and the client of their control endpoints. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** An HTTP server on a loopback port. */
export interface Listener {
  /** `127.0.0.1:port`. */
  readonly address: string
  readonly server: Server
  readonly stop: () => Promise<void>
}

/** Handles one request after its body has been read. */
export type RequestHandler = (request: IncomingMessage, body: Buffer, response: ServerResponse) => void | Promise<void>

const KEEP_ALIVE_MS = 30_000
const MAX_BODY_BYTES = 64 * 1024 * 1024

/** Starts an HTTP server on a loopback port; by default a free one. */
export async function startListener (handle: RequestHandler, port = 0): Promise<Listener> {
  const server = createServer((request, response) => {
    request.on('error', () => {})
    response.on('error', () => {})
    readBody(request)
      .then((body) => handle(request, body, response))
      .catch(() => request.socket.destroy())
  })
  server.keepAliveTimeout = KEEP_ALIVE_MS
  await new Promise<void>((resolve, reject) => server.once('error', reject).listen(port, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    server,
    stop: () => new Promise((resolve) => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}

async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of request) {
    size += (chunk as Buffer).length
    if (size > MAX_BODY_BYTES) throw new Error('request body too large')
    chunks.push(chunk as Buffer)
  }
  return Buffer.concat(chunks)
}

/** Sends a response with a JSON body. */
export function sendJson (response: ServerResponse, status: number, value: unknown): void {
  const body = Buffer.from(JSON.stringify(value))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length })
  response.end(body)
}

/** Calls an endpoint of a stand-in: POST with a value, GET without. */
export async function callControl<T> (address: string, path: string, value?: unknown): Promise<T> {
  const init = value === undefined ? {} : { method: 'POST', body: JSON.stringify(value) }
  const response = await fetch(`http://${address}${path}`, init)
  if (!response.ok) throw new Error(`${path} at ${address} returned status ${response.status}: ${await response.text()}`)
  return await response.json() as T
}
