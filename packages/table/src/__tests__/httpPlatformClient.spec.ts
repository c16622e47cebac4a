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

/** How the server treats one call. */
const BEHAVIOURS = ['answer', 'lost', 'silent', 'late', 'refused', 'limited', 'garbage', 'foreign', 'cut', 'huge'] as const
type Behaviour = typeof BEHAVIOURS[number]

const LATE_MS = 120
const MAX_BYTES = 4096

interface Platform {
  readonly model: TableModel
  readonly client: PlatformClient
  readonly events: MemoryEventLog
  /** Treatment of the next calls, the first first; afterwards calls are answered. */
  readonly script: Behaviour[]
  /** Every connection that was opened. */
  readonly sockets: Set<unknown>
  /** Connections whose calls are not heard any longer. */
  readonly silentSockets: Set<unknown>
  readonly close: () => Promise<void>
}

async function readBody (request: IncomingMessage): Promise<string> {
  let body = ''
  for await (const chunk of request) body += String(chunk)
  return body
}

function answerCall (model: TableModel, path: string, body: string): { status: number, body: string } {
  if (path === '/table/transact') {
    const report = model.transact(JSON.parse(body) as Transaction)
    return { status: report.outcome === 'applied' ? 200 : 409, body: JSON.stringify(report) }
  }
  return { status: 200, body: JSON.stringify(model.read(JSON.parse(body))) }
}

const opened: Platform[] = []

async function startPlatform (): Promise<Platform> {
  const model = createTableModel()
  const script: Behaviour[] = []
  const sockets = new Set<unknown>()
  const silentSockets = new Set<unknown>()
  const server = createServer(async (request, response) => {
    const behaviour = script.shift() ?? 'answer'
    const path = request.url ?? ''
    const body = await readBody(request)
    if (behaviour === 'silent' || silentSockets.has(request.socket)) return
    if (behaviour === 'refused') return response.writeHead(503).end()
    if (behaviour === 'limited') return response.writeHead(429).end()
    if (behaviour === 'late') return setTimeout(() => answerCall(model, path, body), LATE_MS)
    const answer = answerCall(model, path, body)
    if (behaviour === 'lost') return request.socket.destroy()
    if (behaviour === 'garbage') return response.writeHead(200).end('{"outcome":')
    if (behaviour === 'foreign') return response.writeHead(200).end('{"outcome":"applied"}')
    if (behaviour === 'huge') return response.writeHead(200).end('x'.repeat(MAX_BYTES + 1))
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
    tryTimeoutMs: 60,
    callTimeoutMs: 600,
    maxTries: 2,
    maxAnswerBytes: MAX_BYTES
  })
  const platform = {
    model,
    client,
    events,
    script,
    sockets,
    silentSockets,
    close: async () => {
      client.dispose()
      server.closeAllConnections()
      await new Promise<void>((resolve) => server.close(() => resolve()))
    }
  }
  opened.push(platform)
  return platform
}

test.after.each(async () => {
  for (const platform of opened.splice(0)) await platform.close()
})

async function settle (client: PlatformClient, transaction: Transaction): Promise<TransactionOutcome> {
  for (;;) {
    const outcome = await client.transact(transaction)
    if (outcome.isOk()) return outcome.value
  }
}

test('however a call breaks, a settled transaction took effect exactly as often as told', async () => {
  const platform = await startPlatform()
  let writes = 0
  await fc.assert(fc.asyncProperty(fc.array(fc.constantFrom(...BEHAVIOURS), { maxLength: 5 }), async (behaviours) => {
    writes += 1
    const version = platform.model.findRow('counter')?.version ?? 0
    platform.script.push(...behaviours)
    const transaction = { writeId: `w${writes}`, checks: [{ key: 'counter', version }], writes: [{ key: 'counter', value: writes }] }
    const outcome = await settle(platform.client, transaction)
    platform.script.length = 0
    await wait(LATE_MS)
    assert.is(outcome.kind, 'applied')
    assert.is(platform.model.findRow('counter')?.version, version + 1)
    assert.is(platform.model.findRow('counter')?.writeId, `w${writes}`)
  }), resolveFuzzOptions(11, 40))
})

test('a try that lands after another writer took the row is told as a conflict, with the rows as they stand', async () => {
  const platform = await startPlatform()
  const transaction = { writeId: 'mine', checks: [{ key: 'row', version: 0 }], writes: [{ key: 'row', value: 'mine' }] }
  platform.script.push('late', 'late')
  const first = await platform.client.transact(transaction)
  assert.is(first.isErr() && first.error.kind, 'timeout')
  platform.model.transact({ writeId: 'other', checks: [], writes: [{ key: 'row', value: 'other' }] })
  const outcome = await settle(platform.client, transaction)
  await wait(LATE_MS)
  assert.is(outcome.kind, 'conflict')
  assert.equal(outcome.rows.map((row) => row.value), ['other'])
  assert.is(platform.model.findRow('row')?.value, 'other')
})

test('failures are typed, bounded and tell an operator once', async () => {
  const platform = await startPlatform()
  const expected: ReadonlyArray<readonly [Behaviour, string]> = [
    ['silent', 'timeout'], ['refused', 'unavailable'], ['limited', 'rateLimited'], ['garbage', 'malformed'],
    ['foreign', 'malformed'], ['huge', 'malformed'], ['cut', 'unavailable']
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

test('connections that went silent are left for a new one, the idle ones beside them too', async () => {
  const platform = await startPlatform()
  const read = (): ReturnType<PlatformClient['read']> => platform.client.read({ keys: [], prefixes: [] })
  await Promise.all([read(), read(), read()])
  assert.is(platform.sockets.size, 3)
  for (const socket of platform.sockets) platform.silentSockets.add(socket)
  assert.ok((await read()).isOk())
  assert.is(platform.sockets.size, 4)
})

test.run()
