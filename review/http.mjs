/** HTTP helpers of the stand-ins: a JSON server and a JSON client, on loopback. */
import { createServer, request } from 'node:http'

export const SILENT = Symbol('silent')

/** Starts a JSON server; `handle` returns `{ status, body }`, or `SILENT` to leave the request without a response. */
export async function startServer (host, handle, port = 0) {
  const server = createServer((incoming, outgoing) => {
    const chunks = []
    incoming.on('error', () => {})
    outgoing.on('error', () => {})
    incoming.on('data', (chunk) => chunks.push(chunk))
    incoming.on('end', () => {
      const url = new URL(incoming.url, 'http://stand-in')
      const text = Buffer.concat(chunks).toString()
      const call = { method: incoming.method, path: url.pathname, query: url.searchParams, headers: incoming.headers, body: text === '' ? null : JSON.parse(text) }
      Promise.resolve(handle(call)).then((response) => {
        if (response === SILENT || outgoing.destroyed) return
        outgoing.writeHead(response.status, { 'content-type': 'application/json' })
        outgoing.end(response.body === undefined ? '' : JSON.stringify(response.body))
      }, (error) => {
        process.stderr.write(`stand-in: ${error.stack}\n`)
        outgoing.destroy()
      })
    })
  })
  server.keepAliveTimeout = 60_000
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return {
    address: `${host}:${server.address().port}`,
    stop: () => new Promise((resolve) => {
      server.closeAllConnections()
      server.close(resolve)
    })
  }
}

/** Sends one request; resolves with `{ status, body }`, or `null` without a response. */
export function callServer (address, method, path, headers, body, timeoutMs = 3000) {
  return new Promise((resolve) => {
    const outgoing = request(`http://${address}${path}`, { method, headers: { 'content-type': 'application/json', ...headers }, agent: false }, (incoming) => {
      const chunks = []
      incoming.on('data', (chunk) => chunks.push(chunk))
      incoming.on('error', () => resolve(null))
      incoming.on('end', () => {
        const text = Buffer.concat(chunks).toString()
        resolve({ status: incoming.statusCode, body: text.startsWith('{') ? JSON.parse(text) : null })
      })
    })
    const timer = setTimeout(() => outgoing.destroy(new Error('timeout')), timeoutMs)
    outgoing.on('close', () => {
      clearTimeout(timer)
      resolve(null)
    })
    outgoing.on('error', () => resolve(null))
    outgoing.end(body === undefined ? undefined : JSON.stringify(body))
  })
}

/** Finds a free port of an address. */
export async function findFreePort (host) {
  const server = await startServer(host, () => ({ status: 404 }))
  await server.stop()
  return Number(server.address.split(':')[1])
}

export const sleep = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

/** Waits until `isMet` holds; returns whether it did in time. */
export async function waitUntil (isMet, timeoutMs, pauseMs = 50) {
  const until = performance.now() + timeoutMs
  while (performance.now() < until) {
    if (await isMet()) return true
    await sleep(pauseMs)
  }
  return false
}
