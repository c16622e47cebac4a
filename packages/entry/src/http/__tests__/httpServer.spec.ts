/** Tests the HTTP server over real sockets: invalid input, limits, disconnecting callers, graceful shutdown. */
import { request } from 'node:http'
import { connect } from 'node:net'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import fc from 'fast-check'
import { resolveFuzzOptions } from '@fuchsiatally/core/testing/fuzzOptions'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createHttpServer, type HttpServer } from '../httpServer.js'
import { createJsonResponse, type Route } from '../route.js'

const MAX_BODY = 1000
let release: () => void = () => {}

const routes: Route[] = [
  { method: 'POST', pattern: '/echo/:name', maxBodyBytes: MAX_BODY, handle: async (message, { name }) => createJsonResponse(200, { name, size: message.body.length }) },
  { method: 'GET', pattern: '/wait', maxBodyBytes: 0, handle: () => new Promise((resolve) => { release = () => resolve(createJsonResponse(200, {})) }) },
  { method: 'GET', pattern: '/cookies', maxBodyBytes: 0, handle: async () => ({ status: 200, headers: { 'set-cookie': 'a=1; expires=Mon, 1 Jan\nb=2' }, body: Buffer.alloc(0) }) },
  { method: 'GET', pattern: '/broken', maxBodyBytes: 0, handle: async () => { throw new Error('broken invariant') } }
]

async function startServer (): Promise<HttpServer> {
  return await createHttpServer({ host: '127.0.0.1', port: 0, routes, log: createMemoryEventLog(), maxConnections: 100 })
}

interface TestResponse { readonly status: number, readonly text: string }

function sendRequest (server: HttpServer, method: string, path: string, body = ''): Promise<TestResponse> {
  const [host, port] = server.address.split(':')
  return new Promise((resolve, reject) => {
    const outgoing = request({ host, port, method, path, agent: false }, (response) => {
      let text = ''
      response.on('data', (chunk) => { text += chunk })
      response.on('end', () => { resolve({ status: response.statusCode ?? 0, text }) })
      response.on('error', reject)
    })
    outgoing.on('error', reject)
    outgoing.end(body)
  })
}

/** Sends raw bytes and resolves with the received data when the connection closes. */
function sendRaw (server: HttpServer, bytes: Uint8Array): Promise<string> {
  const [host, port] = server.address.split(':')
  return new Promise((resolve) => {
    const socket = connect(Number(port), host)
    let text = ''
    socket.on('data', (chunk) => { text += chunk })
    socket.on('error', () => {})
    socket.on('close', () => { resolve(text) })
    socket.end(bytes)
  })
}

test('answers invalid requests with problem responses and keeps serving', async () => {
  const server = await startServer()
  assert.is((await sendRequest(server, 'GET', '/nothing')).status, 404)
  assert.is((await sendRequest(server, 'GET', '/echo/a')).status, 405)
  assert.is((await sendRequest(server, 'POST', '/echo/%E0%A4%A', 'x')).status, 404)
  assert.is((await sendRequest(server, 'POST', '/echo/a', 'x'.repeat(MAX_BODY + 1))).status, 413)
  const broken = await sendRequest(server, 'GET', '/broken')
  assert.is(JSON.parse(broken.text).code, 'internal')
  assert.equal(JSON.parse((await sendRequest(server, 'POST', '/echo/a%2Fb', 'xyz')).text), { name: 'a/b', size: 3 })
  await server.stop()
})

test('several cookies stay separate headers', async () => {
  const server = await startServer()
  const answer = await fetch(`http://${server.address}/cookies`)
  assert.equal(answer.headers.getSetCookie(), ['a=1; expires=Mon, 1 Jan', 'b=2'])
  await server.stop()
})

test('arbitrary bytes never stop the server', async () => {
  const server = await startServer()
  const start = fc.constantFrom('', 'GET ', 'POST /echo/a HTTP/1.1\r\n', 'POST /echo/a HTTP/1.1\r\nhost: e\r\ncontent-length: 10\r\n\r\n')
  await fc.assert(fc.asyncProperty(start, fc.uint8Array({ maxLength: 200 }), async (text, bytes) => {
    await sendRaw(server, Buffer.concat([Buffer.from(text), bytes]))
  }), resolveFuzzOptions(7, 100))
  assert.is((await sendRequest(server, 'POST', '/echo/a', 'ok')).status, 200)
  assert.is(server.countInFlight(), 0)
  await server.stop()
})

// Guards against requests that are reset because they were sent on a kept connection just as a graceful shutdown closed it.
test('each response of a server that is closing ends its connection, and new connections are still served', async () => {
  const server = await startServer()
  const readConnection = async (): Promise<string | null> => (await fetch(`http://${server.address}/cookies`)).headers.get('connection')
  assert.is(await readConnection(), 'keep-alive')
  server.beginClosing()
  assert.is(await readConnection(), 'close')
  assert.is(await readConnection(), 'close')
  await server.stop()
})

test('a graceful shutdown completes requests in flight and refuses new connections', async () => {
  const server = await startServer()
  const answer = sendRequest(server, 'GET', '/wait')
  while (server.countInFlight() === 0) await new Promise((resolve) => setTimeout(resolve, 5))
  const stopped = server.stop()
  const refused = await sendRequest(server, 'GET', '/nothing').catch((error: NodeJS.ErrnoException) => error.code)
  assert.is(refused, 'ECONNREFUSED')
  release()
  assert.is((await answer).status, 200)
  await stopped
})

test.run()
