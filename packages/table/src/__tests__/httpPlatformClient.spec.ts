import { createServer, type IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import type { Transaction } from '@fuchsiatally/core'
import { createMemoryEventLog, type MemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { createSystemClock } from '@fuchsiatally/core/testing/systemClock'
import fc from 'fast-check'
import { resolveFuzzOptions } from '@fuchsiatally/core/testing/fuzzOptions'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createHttpPlatformClient } from '../httpPlatformClient.js'
import type { PlatformClient, TransactionOutcome } from '../platformClient.js'
import { createTableModel, type TableModel } from '../testing/tableModel.js'

/**
 * How the server handles one request. `lost` applies it and closes the connection without a response; `late` applies it
 * after `LATE_EFFECT_MS` and never responds; `cut` applies it and closes the connection within the response body.
 */
const SERVER_BEHAVIOURS = ['answer', 'lost', 'silent', 'late', 'refused', 'limited', 'invalidJson', 'invalidShape', 'cut', 'oversized'] as const
type ServerBehaviour = typeof SERVER_BEHAVIOURS[number]

const LATE_EFFECT_MS = 120
const MAX_BYTES = 4096

interface Platform {
  readonly model: TableModel
  readonly client: PlatformClient
  readonly events: MemoryEventLog
  /** Behaviours of the next requests in order; requests after the last one are answered normally. */
  readonly script: ServerBehaviour[]
  /** Every connection that was opened. */
  readonly sockets: Set<unknown>
  /** Connections on which the server no longer responds. */
  readonly unresponsiveSockets: Set<unknown>
  readonly close: () => Promise<void>
}

async function readBody (request: IncomingMessage): Promise<string> {
  let body = ''
  for await (const chunk of request) body += String(chunk)
  return body
}

function answerRequest (model: TableModel, path: string, body: string): { status: number, body: string } {
  if (path === '/table/transact') {
    const report = model.transact(JSON.parse(body) as Transaction)
    return { status: report.outcome === 'applied' ? 200 : 409, body: JSON.stringify(report) }
  }
  return { status: 200, body: JSON.stringify(model.read(JSON.parse(body))) }
}

const openPlatforms: Platform[] = []

async function startPlatform (): Promise<Platform> {
  const model = createTableModel()
  const script: ServerBehaviour[] = []
  const sockets = new Set<unknown>()
  const unresponsiveSockets = new Set<unknown>()
  const server = createServer(async (request, response) => {
    const behaviour = script.shift() ?? 'answer'
    const path = request.url ?? ''
    const body = await readBody(request)
    if (behaviour === 'silent' || unresponsiveSockets.has(request.socket)) return
    if (behaviour === 'refused') return response.writeHead(503).end()
    if (behaviour === 'limited') return response.writeHead(429).end()
    if (behaviour === 'late') return setTimeout(() => answerRequest(model, path, body), LATE_EFFECT_MS)
    const answer = answerRequest(model, path, body)
    if (behaviour === 'lost') return request.socket.destroy()
    if (behaviour === 'invalidJson') return response.writeHead(200).end('{"outcome":')
    if (behaviour === 'invalidShape') return response.writeHead(200).end('{"outcome":"applied"}')
    if (behaviour === 'oversized') return response.writeHead(200).end('x'.repeat(MAX_BYTES + 1))
    response.writeHead(answer.status, { 'content-length': Buffer.byteLength(answer.body) })
    if (behaviour === 'cut') {
      response.write(answer.body.slice(0, 5))
      setTimeout(() => request.socket.destroy(), 5)
      return
    }
    response.end(answer.body)
  })
  server.on('connection', (socket) => sockets.add(socket))
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const events = createMemoryEventLog()
  const client = createHttpPlatformClient({
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    clock: createSystemClock(),
    random: createSeededRandom(3),
    events,
    attemptTimeoutMs: 60,
    callTimeoutMs: 600,
    maxAttempts: 2,
    maxAnswerBytes: MAX_BYTES
  })
  const platform = {
    model,
    client,
    events,
    script,
    sockets,
    unresponsiveSockets,
    close: async () => {
      client.dispose()
      server.closeAllConnections()
      await new Promise<void>((resolve) => server.close(() => resolve()))
    }
  }
  openPlatforms.push(platform)
  return platform
}

test.after.each(async () => {
  for (const platform of openPlatforms.splice(0)) await platform.close()
})

async function transactUntilOutcomeKnown (client: PlatformClient, transaction: Transaction): Promise<TransactionOutcome> {
  for (;;) {
    const outcome = await client.transact(transaction)
    if (outcome.isOk()) return outcome.value
  }
}

test('a transaction reported as applied is applied exactly once under any sequence of failures', async () => {
  const platform = await startPlatform()
  let writes = 0
  await fc.assert(fc.asyncProperty(fc.array(fc.constantFrom(...SERVER_BEHAVIOURS), { maxLength: 5 }), async (behaviours) => {
    writes += 1
    const version = platform.model.findRow('counter')?.version ?? 0
    platform.script.push(...behaviours)
    const transaction = { writeId: `w${writes}`, checks: [{ key: 'counter', version }], writes: [{ key: 'counter', value: writes }] }
    const outcome = await transactUntilOutcomeKnown(platform.client, transaction)
    platform.script.length = 0
    await wait(LATE_EFFECT_MS)
    assert.is(outcome.kind, 'applied')
    assert.is(platform.model.findRow('counter')?.version, version + 1)
    assert.is(platform.model.findRow('counter')?.writeId, `w${writes}`)
  }), resolveFuzzOptions(11, 40))
})

test('an attempt that arrives after another writer changed the row is reported as a conflict, with the current rows', async () => {
  const platform = await startPlatform()
  const transaction = { writeId: 'mine', checks: [{ key: 'row', version: 0 }], writes: [{ key: 'row', value: 'mine' }] }
  platform.script.push('late', 'late')
  const first = await platform.client.transact(transaction)
  assert.is(first.isErr() && first.error.kind, 'timeout')
  platform.model.transact({ writeId: 'other', checks: [], writes: [{ key: 'row', value: 'other' }] })
  const outcome = await transactUntilOutcomeKnown(platform.client, transaction)
  await wait(LATE_EFFECT_MS)
  assert.is(outcome.kind, 'conflict')
  assert.equal(outcome.rows.map((row) => row.value), ['other'])
  assert.is(platform.model.findRow('row')?.value, 'other')
})

test('failures are typed and bounded, and are reported to the operator once', async () => {
  const platform = await startPlatform()
  const expected: ReadonlyArray<readonly [ServerBehaviour, string]> = [
    ['silent', 'timeout'], ['refused', 'unavailable'], ['limited', 'rateLimited'], ['invalidJson', 'malformed'],
    ['invalidShape', 'malformed'], ['oversized', 'malformed'], ['cut', 'unavailable']
  ]
  for (const [behaviour, kind] of expected) {
    platform.script.push(behaviour, behaviour)
    const result = await platform.client.read({ keys: ['a'], prefixes: [] })
    assert.is(result.isErr() && result.error.kind, kind, behaviour)
  }
  assert.is(platform.events.listFields('FT701').length, 1)
  assert.ok((await platform.client.read({ keys: [], prefixes: [] })).isOk())
  assert.is(platform.events.listFields('FT702').length, 1)
})

test('a timeout closes the unresponsive connection and all idle ones, and the retry opens a new one', async () => {
  const platform = await startPlatform()
  const read = (): ReturnType<PlatformClient['read']> => platform.client.read({ keys: [], prefixes: [] })
  await Promise.all([read(), read(), read()])
  assert.is(platform.sockets.size, 3)
  for (const socket of platform.sockets) platform.unresponsiveSockets.add(socket)
  assert.ok((await read()).isOk())
  assert.is(platform.sockets.size, 4)
})

test.run()
