/** Tests the endpoint client over real sockets against misbehaving endpoints. */
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { setTimeout as waitMs } from 'node:timers/promises'
import type { ServiceRequest } from '@fuchsiatally/core'
import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { resolveFuzzOptions } from '@fuchsiatally/core/testing/fuzzOptions'
import { startThreadServer } from '@fuchsiatally/core/testing/threadServer'
import type { EndpointClient, ExchangeResult } from '../../ports.js'
import { createHeldClock } from '@fuchsiatally/core/testing/heldClock'
import { createSystemClock } from '../../process/systemClock.js'
import { createHttpEndpointClient } from '../httpEndpointClient.js'

/** Writes the response to one request; `index` counts requests over all connections. */
type Answer = (socket: Socket, body: string, index: number) => void

interface Endpoint {
  readonly address: string
  readonly client: EndpointClient
  countConnections: () => number
  countOpen: () => number
  close: () => void
}

function createRequest (change: Partial<ServiceRequest> = {}): ServiceRequest {
  return {
    id: 'r1', team: 'a', service: 's', method: 'POST', path: '/proof', headers: {}, body: Buffer.from('hello'), idempotent: false, remainingMs: 5000, ...change
  }
}

/** Starts a server that parses whole requests and calls `answer` for each. */
async function createEndpoint (answer: Answer): Promise<Endpoint> {
  const open = new Set<Socket>()
  let connections = 0
  let requests = 0
  const server: Server = createServer((socket) => {
    connections += 1
    open.add(socket)
    let text = ''
    socket.on('error', () => {})
    socket.on('close', () => open.delete(socket))
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1')
      const match = /content-length: (\d+)\r\n[^]*?\r\n\r\n/i.exec(text)
      const end = match === null ? Infinity : match.index + match[0].length + Number(match[1])
      if (text.length < end) return
      const body = text.slice(end - Number(match![1]), end)
      text = text.slice(end)
      answer(socket, body, requests++)
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const client = createHttpEndpointClient({ clock: createSystemClock() })
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    client,
    countConnections: () => connections,
    countOpen: () => open.size,
    close: () => {
      client.dispose()
      server.close()
      for (const socket of open) socket.destroy()
    }
  }
}

function formatResponse (body: string, headers = ''): string {
  return `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n${headers}\r\n${body}`
}

async function sendOne (endpoint: Endpoint, change: Partial<ServiceRequest> = {}, timeoutMs = 5000): Promise<ExchangeResult> {
  return await endpoint.client.sendExchange(endpoint.address, createRequest(change), timeoutMs, 100_000, 64)
}

function readBody (result: ExchangeResult): string {
  return result.kind === 'answered' ? Buffer.from(result.outcome.body).toString('latin1') : `${result.kind}: ${result.reason}`
}

test('sequential exchanges share a connection, concurrent ones do not', async () => {
  const endpoint = await createEndpoint((socket, body) => setTimeout(() => socket.write(formatResponse(`echo:${body}`)), 20))
  for (let round = 0; round < 3; round += 1) assert.is(readBody(await sendOne(endpoint)), 'echo:hello')
  assert.is(endpoint.countConnections(), 1)
  const bodies = ['a', 'b', 'c', 'd']
  const results = await Promise.all(bodies.map((body) => sendOne(endpoint, { body: Buffer.from(body) })))
  assert.equal(results.map(readBody), bodies.map((body) => `echo:${body}`))
  assert.is(endpoint.countConnections(), 4)
  endpoint.close()
})

test('an exchange counts as refused only if the request certainly did not run', async () => {
  const endpoint = await createEndpoint((socket, _, index) => {
    if (index === 0) socket.write('HTTP/1.1 503 Busy\r\nfuchsiatally-refused: 1\r\ncontent-length: 0\r\n\r\n')
    else socket.destroy()
  })
  assert.is((await sendOne(endpoint)).kind, 'refused')
  // The endpoint closes the connection after the request was written.
  assert.is((await sendOne(endpoint)).kind, 'broken')
  assert.is((await sendOne(endpoint, { path: '/bad path\n' })).kind, 'refused')
  const full = await endpoint.client.sendExchange(endpoint.address, createRequest(), 1000, 1000, 0)
  assert.is(full.kind, 'refused')
  endpoint.close()
  await waitMs(10)
  assert.is((await sendOne(endpoint)).kind, 'refused')
})

test('responses that are truncated, without framing, too large or for another request are broken', async () => {
  const answers: [string, boolean][] = [
    ['HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf', true],
    ['HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n', true],
    ['HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nno end mark', true],
    [formatResponse('x'.repeat(100_001)), false],
    [formatResponse('other', 'fuchsiatally-request: r2\r\n'), false],
    ['nonsense\r\n\r\n', false],
    ['HTTP/1.1 200 OK\r\ncontent-length: 4\r\n', true]
  ]
  for (const [text, close] of answers) {
    const endpoint = await createEndpoint((socket) => {
      if (close) socket.end(text)
      else socket.write(text)
    })
    const result = await sendOne(endpoint)
    assert.is(result.kind, 'broken', text.slice(0, 60))
    if (text.length > 100_000) assert.ok(result.kind === 'broken' && result.final)
    endpoint.close()
  }
})

test('a connection that timed out is destroyed and the next exchange opens a new one', async () => {
  const endpoint = await createEndpoint((socket, body, index) => {
    if (index === 0) socket.write('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf')
    if (index === 2) socket.write(formatResponse(body))
  })
  assert.is(readBody(await sendOne(endpoint, {}, 150)), 'broken: the exchange with the endpoint timed out')
  assert.is(readBody(await sendOne(endpoint, {}, 150)), 'broken: the exchange with the endpoint timed out')
  assert.is(readBody(await sendOne(endpoint)), 'hello')
  assert.is(endpoint.countConnections(), 3)
  assert.is(endpoint.countOpen(), 1)
  endpoint.close()
})

test('a timeout also closes the idle connections to the same address', async () => {
  const endpoint = await createEndpoint((socket, body, index) => { if (index !== 2) socket.write(formatResponse(body)) })
  await Promise.all([sendOne(endpoint), sendOne(endpoint)])
  assert.is((await sendOne(endpoint, {}, 100)).kind, 'broken')
  assert.is(readBody(await sendOne(endpoint)), 'hello')
  assert.is(endpoint.countConnections(), 3)
  endpoint.close()
})

// Guards against a late owner that takes its own delay for the silence of an endpoint: a request that may have run counts as unanswered.
test('a response that arrives in time is relayed although the event loop is blocked past the timeout', async () => {
  const server = await startThreadServer('hello')
  const clock = createHeldClock()
  const client = createHttpEndpointClient({ clock })
  const exchange = client.sendExchange(`127.0.0.1:${server.port}`, createRequest(), 200, 100_000, 64)
  await server.waitForRequests(1)
  clock.release()
  server.releaseAndBlock(400)
  const result = await exchange
  client.dispose()
  await server.close()
  assert.is(readBody(result), 'hello')
})

// Guards against a late owner that refuses requests because it has not yet read that its connection was opened.
test('a connection that is opened in time counts as opened although the event loop is blocked past the timeout', async () => {
  const server = await startThreadServer('hello')
  const client = createHttpEndpointClient({ clock: createSystemClock(), connectTimeoutMs: 100 })
  const exchange = client.sendExchange(`127.0.0.1:${server.port}`, createRequest(), 60_000, 100_000, 64)
  // The connection is requested in the next tick.
  await new Promise((resolve) => { process.nextTick(resolve) })
  server.acceptAndBlock(1, 300)
  server.release()
  const result = await exchange
  client.dispose()
  await server.close()
  assert.is(readBody(result), 'hello')
})

test('data after a response is never taken for the response to the next request', async () => {
  const endpoint = await createEndpoint((socket, body, index) => {
    socket.write(formatResponse(`${index}:${body}`))
    if (index === 0) setTimeout(() => socket.write(formatResponse('crossed')), 20)
  })
  assert.is(readBody(await sendOne(endpoint)), '0:hello')
  await waitMs(60)
  assert.is(readBody(await sendOne(endpoint)), '1:hello')
  assert.is(endpoint.countConnections(), 2)
  endpoint.close()
})

test('idle connections that were closed by the endpoint or are too old are not reused', async () => {
  const endpoint = await createEndpoint((socket, body, index) => {
    socket.write(formatResponse(body))
    if (index === 0) setTimeout(() => socket.end(), 10)
  })
  for (const pauseMs of [60, 1100, 0]) {
    assert.is(readBody(await sendOne(endpoint)), 'hello')
    await waitMs(pauseMs)
  }
  assert.is(endpoint.countConnections(), 3)
  endpoint.close()
})

test('slow and large bodies in both directions arrive completely', async () => {
  const large = 'y'.repeat(90_000)
  const endpoint = await createEndpoint((socket, body) => {
    const text = formatResponse(body)
    for (let part = 0; part < 6; part += 1) {
      setTimeout(() => socket.write(text.slice(part * 16_000, (part + 1) * 16_000)), part * 30)
    }
  })
  const results = await Promise.all([1, 2, 3].map(() => sendOne(endpoint, { body: Buffer.from(large) })))
  for (const result of results) assert.is(readBody(result), large)
  endpoint.close()
})

test('a response truncated at any offset and split into any chunks is relayed only if it is complete', async () => {
  const chunked = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nwhol\r\n1\r\ne\r\n0\r\n\r\n'
  await fc.assert(fc.asyncProperty(
    fc.constantFrom(formatResponse('whole'), chunked), fc.nat({ max: 100 }), fc.nat({ max: 100 }), async (text, cut, split) => {
      const sent = text.slice(0, cut)
      const endpoint = await createEndpoint((socket) => {
        socket.write(sent.slice(0, split))
        setTimeout(() => socket.end(sent.slice(split)), 1)
      })
      const result = await sendOne(endpoint)
      endpoint.close()
      if (sent.length === text.length) assert.is(readBody(result), 'whole')
      else assert.is(result.kind, 'broken')
    }), resolveFuzzOptions(550, 120))
})

test.run()
