/** Worker client over loopback sockets: valid, malformed, truncated and missing responses give typed results. */
import { createServer, type RequestListener, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { LeaseReport } from '@fuchsiatally/core'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { startThreadServer } from '@fuchsiatally/core/testing/threadServer'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createHeldClock } from '@fuchsiatally/core/testing/heldClock'
import { createSystemClock } from '../../process/systemClock.js'
import { createHttpWorkerClient } from '../httpWorkerClient.js'

const LEASE = { owner: 'o', epoch: 1, workerIncarnation: '', notAfterMs: 0, acknowledged: [] }
const REPORT: LeaseReport = {
  workerIncarnation: 'v', epoch: 1, clockMs: 5, leaseNotAfterMs: 0, running: [], ended: [], usage: [], runners: []
}

async function runWithServer (
  handle: RequestListener, run: (client: ReturnType<typeof createHttpWorkerClient>, server: Server) => Promise<void>
): Promise<string[]> {
  const server = createServer(handle)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const log = createMemoryEventLog()
  const { port } = server.address() as AddressInfo
  const client = createHttpWorkerClient(`127.0.0.1:${port}`, { clock: createSystemClock(), log, timeoutMs: 300, maxBytes: 10_000 })
  await run(client, server)
  client.dispose()
  server.closeAllConnections()
  await new Promise((resolve) => server.close(resolve))
  return log.recorded.map(({ event }) => event.id)
}

test('reports and refusals are decoded', async () => {
  let status = 200
  let body: unknown = REPORT
  await runWithServer((request, response) => {
    response.writeHead(status).end(JSON.stringify(body))
  }, async (client) => {
    assert.equal((await client.renewLease(LEASE))._unsafeUnwrap(), REPORT)
    status = 409
    body = { epoch: 7 }
    assert.equal((await client.renewLease(LEASE))._unsafeUnwrapErr(), { kind: 'staleEpoch', epoch: 7 })
    status = 200
    body = { result: 'noRoom' }
    const stop = { epoch: 1, workerIncarnation: 'v', id: { job: 'j', task: 0, attempt: 1 }, mode: 'stop' as const }
    assert.equal((await client.stopTask(stop))._unsafeUnwrap(), { result: 'noRoom' })
  })
})

test('a response without contents is completed from the report whose revision the call named', async () => {
  const running = [{ job: 'j', task: 0, attempt: 1 }]
  const commands: Array<{ knownRevision?: string }> = []
  await runWithServer((request, response) => {
    let text = ''
    request.on('data', (chunk) => { text += chunk })
    request.on('end', () => {
      const command = JSON.parse(text) as { knownRevision?: string }
      commands.push(command)
      const { workerIncarnation, epoch, leaseNotAfterMs } = REPORT
      const unchanged = { unchanged: true, workerIncarnation, epoch, clockMs: 9, leaseNotAfterMs }
      response.end(JSON.stringify(command.knownRevision === 'r' ? unchanged : { ...REPORT, running, revision: 'r' }))
    })
  }, async (client) => {
    assert.equal((await client.renewLease(LEASE))._unsafeUnwrap(), { ...REPORT, running })
    assert.equal((await client.renewLease(LEASE))._unsafeUnwrap(), { ...REPORT, running, clockMs: 9 })
    assert.equal(commands.map((command) => command.knownRevision), [undefined, 'r'])
  })
})

test('responses that violate the protocol are malformed', async () => {
  const answers: ReadonlyArray<(response: Parameters<RequestListener>[1]) => unknown> = [
    (response) => response.end('{'),
    (response) => response.end('null'),
    (response) => response.end(JSON.stringify({ ...REPORT, epoch: 'one' })),
    (response) => response.end('x'.repeat(20_000)),
    (response) => response.writeHead(500).end('{}'),
    (response) => response.writeHead(409).end('{}')
  ]
  for (const answer of answers) {
    await runWithServer((_, response) => { answer(response) }, async (client) => {
      assert.is((await client.renewLease(LEASE))._unsafeUnwrapErr().kind, 'malformed')
    })
  }
})

test('a truncated response counts as unreachable', async () => {
  await runWithServer((_, response) => {
    response.writeHead(200, { 'content-length': 100 })
    response.write('{"a"')
    setTimeout(() => response.destroy(), 20)
  }, async (client) => {
    assert.is((await client.renewLease(LEASE))._unsafeUnwrapErr().kind, 'unreachable')
  })
})

test('all connections are replaced after a timeout', async () => {
  const ports = new Set<number>()
  let silent = false
  const events = await runWithServer((request, response) => {
    if (silent) return
    ports.add(request.socket.remotePort!)
    response.end(JSON.stringify(REPORT))
  }, async (client) => {
    await client.renewLease(LEASE)
    await client.renewLease(LEASE)
    assert.is(ports.size, 1)
    silent = true
    assert.is((await client.renewLease(LEASE))._unsafeUnwrapErr().kind, 'timeout')
    silent = false
    assert.ok((await client.renewLease(LEASE)).isOk())
    assert.is(ports.size, 2)
  })
  assert.equal(events, ['FT335'])
})

// Guards against a late owner that takes its own delay for the silence of a worker.
test('a report that arrives in time is delivered although the event loop is blocked past the timeout', async () => {
  const server = await startThreadServer(JSON.stringify(REPORT))
  const log = createMemoryEventLog()
  const clock = createHeldClock()
  const client = createHttpWorkerClient(`127.0.0.1:${server.port}`, { clock, log, timeoutMs: 200 })
  const call = client.renewLease(LEASE)
  await server.waitForRequests(1)
  clock.release()
  server.releaseAndBlock(400)
  const report = await call
  client.dispose()
  await server.close()
  assert.equal(report.isOk() ? report.value : report.error, REPORT)
  assert.equal(log.recorded, [])
})

// Guards against one unanswered call that aborts the other calls in progress at the same worker.
test('a timeout leaves the other calls in progress to the worker alone', async () => {
  const clock = createFakeClock()
  const responses: Array<Parameters<RequestListener>[1]> = []
  const server = createServer((request, response) => { request.resume().on('end', () => { responses.push(response) }) })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const client = createHttpWorkerClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, { clock, log: createMemoryEventLog(), timeoutMs: 300 })
  const waitForCalls = async (count: number): Promise<void> => {
    while (responses.length < count) await new Promise((resolve) => { setImmediate(resolve) })
  }
  const silent = client.renewLease(LEASE)
  await waitForCalls(1)
  clock.advance(200)
  const answered = client.renewLease(LEASE)
  await waitForCalls(2)
  clock.advance(100)
  assert.is((await silent)._unsafeUnwrapErr().kind, 'timeout')
  responses[1]!.end(JSON.stringify(REPORT))
  const report = await answered
  client.dispose()
  server.closeAllConnections()
  await new Promise((resolve) => server.close(resolve))
  assert.equal(report.isOk() ? report.value : report.error, REPORT)
})

test.run()
