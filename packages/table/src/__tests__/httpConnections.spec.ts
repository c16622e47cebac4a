/** Requests of a process whose event loop is blocked while the server responds. */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createHeldClock, type HeldClock } from '@fuchsiatally/core/testing/heldClock'
import { createSystemClock } from '@fuchsiatally/core/testing/systemClock'
import { startThreadServer, type ThreadServer } from '@fuchsiatally/core/testing/threadServer'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createHttpConnections, type HttpConnections, type HttpRequest } from '../httpConnections.js'

const TIMEOUT_MS = 200
const REQUEST: HttpRequest = { method: 'GET', path: '/', timeoutMs: TIMEOUT_MS, maxAnswerBytes: 1_000_000 }

async function runWithServer (
  body: string, run: (connections: HttpConnections, server: ThreadServer, clock: HeldClock, countTimeouts: () => number) => Promise<void>
): Promise<void> {
  const server = await startThreadServer(body)
  let timeouts = 0
  const clock = createHeldClock()
  const connections = createHttpConnections({
    address: `127.0.0.1:${server.port}`, clock, onUnresponsive: () => { timeouts++ }
  })
  try {
    await run(connections, server, clock, () => timeouts)
  } finally {
    connections.dispose()
    await server.close()
  }
}

// Guards against a late process that takes its own delay for the silence of a server: false timeouts, and idle connections closed for them.
test('a response that arrives in time is delivered although the event loop is blocked past the timeout', async () => {
  await runWithServer('answer', async (connections, server, clock, countTimeouts) => {
    // Two concurrent requests, so that one connection is idle during the third.
    const first = [connections.sendRequest({ ...REQUEST, timeoutMs: 60_000 }), connections.sendRequest({ ...REQUEST, timeoutMs: 60_000 })]
    await server.waitForRequests(1)
    server.releaseAndBlock(0)
    await server.waitForRequests(2)
    server.releaseAndBlock(0)
    for (const result of await Promise.all(first)) assert.ok(result.isOk())
    const opened = server.countConnections()
    const blocked = connections.sendRequest(REQUEST)
    await server.waitForRequests(3)
    clock.release()
    server.releaseAndBlock(2 * TIMEOUT_MS)
    const result = await blocked
    assert.is(result.isOk() ? String(result.value.body) : result.error.message, 'answer')
    assert.is(countTimeouts(), 0)
    const later = [connections.sendRequest({ ...REQUEST, timeoutMs: 60_000 }), connections.sendRequest({ ...REQUEST, timeoutMs: 60_000 })]
    await server.waitForRequests(4)
    server.releaseAndBlock(0)
    await server.waitForRequests(5)
    server.releaseAndBlock(0)
    for (const result of await Promise.all(later)) assert.ok(result.isOk())
    assert.is(server.countConnections(), opened)
  })
})

// Guards against a response that is cut off because only part of it fits into one read after the event loop was blocked.
test('a response of several reads is delivered although the event loop is blocked past the timeout', async () => {
  const body = 'x'.repeat(300_000)
  await runWithServer(body, async (connections, server, clock) => {
    const blocked = connections.sendRequest(REQUEST)
    await server.waitForRequests(1)
    clock.release()
    server.releaseAndBlock(2 * TIMEOUT_MS)
    const result = await blocked
    assert.is(result.isOk() ? result.value.body.length : result.error.message, body.length)
  })
})

test('a request to a silent server times out', async () => {
  const server = createServer(() => {})
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const connections = createHttpConnections({ address: `127.0.0.1:${port}`, clock: createSystemClock(), onUnresponsive: () => {} })
  const result = await connections.sendRequest(REQUEST)
  assert.is(result.isErr() && result.error.kind, 'timeout')
  connections.dispose()
  server.closeAllConnections()
  await new Promise((resolve) => server.close(resolve))
})

test.run()
