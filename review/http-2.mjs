/** HTTP server and client of the stand-ins, on loopback. */
import { createServer, request } from 'node:http'

const MAX_BODY_BYTES = 2_000_000

/**
 * Starts a server. `handle` receives `{ method, path, query, headers, body }` and returns `{ status, body }`, `'silent'` (no response) or
 * `'reset'` (the connection is closed).
 */
export async function startServer (handle, host = '127.0.0.1', port = 0) {
  const sockets = new Set()
  /** Sockets of a life before: a host that has started again knows none of its connections, and resets them at the next byte. */
  const forgotten = new WeakSet()
  const server = createServer({ keepAliveTimeout: 15_000 }, (incoming, outgoing) => {
    if (forgotten.has(incoming.socket)) {
      incoming.socket.destroy()
      return
    }
    const chunks = []
    let size = 0
    incoming.on('data', (chunk) => {
      size += chunk.length
      if (size <= MAX_BODY_BYTES) chunks.push(chunk)
    })
    incoming.on('error', () => {})
    incoming.on('end', async () => {
      const url = new URL(incoming.url, 'http://standin')
      const text = Buffer.concat(chunks).toString()
      const body = text === '' ? null : JSON.parse(text)
      const response = await handle({ method: incoming.method, path: url.pathname, query: url.searchParams, headers: incoming.headers, body })
      if (response === 'silent') return
      if (response === 'reset') {
        incoming.socket.destroy()
        return
      }
      outgoing.writeHead(response.status, { 'content-type': 'application/json' })
      outgoing.end(response.body === undefined ? '' : JSON.stringify(response.body))
    })
  })
  server.on('connection', (socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return {
    address: `${host}:${server.address().port}`,
    forgetConnections: () => { for (const socket of sockets) forgotten.add(socket) },
    stop: () => {
      for (const socket of sockets) socket.destroy()
      return new Promise((resolve) => { server.close(resolve) })
    }
  }
}

/** Sends one call on a connection of its own; resolves with `{ status, body }`, or `null` if there is no complete response in time. */
export function call (address, method, path, headers = {}, body = undefined, timeoutMs = 3000) {
  return new Promise((resolve) => {
    const outgoing = request(`http://${address}${path}`, { method, agent: false, headers: { 'content-type': 'application/json', ...headers } }, (incoming) => {
      const chunks = []
      incoming.on('data', (chunk) => { chunks.push(chunk) })
      incoming.on('error', () => resolve(null))
      incoming.on('end', () => {
        const text = Buffer.concat(chunks).toString()
        resolve({ status: incoming.statusCode, body: text.startsWith('{') ? JSON.parse(text) : null })
      })
    })
    const timer = setTimeout(() => outgoing.destroy(), timeoutMs)
    outgoing.on('close', () => {
      clearTimeout(timer)
      resolve(null)
    })
    outgoing.on('error', () => resolve(null))
    outgoing.end(body === undefined ? undefined : JSON.stringify(body))
  })
}

export function wait (ms) {
  return new Promise((resolve) => { setTimeout(resolve, Math.max(0, ms)) })
}
