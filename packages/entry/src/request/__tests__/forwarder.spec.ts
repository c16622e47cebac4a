/** Deadline of a forwarded request. */
import type { RequestOutcome } from '@fuchsiatally/core'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Sessions } from '../../ports.js'
import { createFakeMesh } from '../../testing/fakeMesh.js'
import { createForwarder } from '../forwarder.js'

const DEADLINE_MS = 500
const OUTCOME: RequestOutcome = { kind: 'completed', status: 200, headers: {}, body: Uint8Array.from(Buffer.from('hello')), worker: 'w' }

async function startForwarder () {
  const clock = createFakeClock()
  const mesh = createFakeMesh({ clock })
  const links = mesh.addEntry({ entry: 'a', incarnation: 'a.1', failureDomain: 'a' })
  const owner = mesh.addEntry({ entry: 'b', incarnation: 'b.1', failureDomain: 'b' })
  const exchanges: string[] = []
  owner.onMessage('forwardRequest', ({ exchange }) => { exchanges.push(exchange) })
  const sessions = { isGone: () => false } as unknown as Sessions
  const forwarder = createForwarder({ clock, random: createSeededRandom(1), mesh: links, sessions, log: createMemoryEventLog() })
  // Establishes the link.
  await clock.runFor(100)
  const send = async (): Promise<RequestOutcome> => await forwarder.sendRequest({
    incarnation: 'b.1',
    request: { id: 'r1', team: 'a', service: 's', method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0), idempotent: false, remainingMs: DEADLINE_MS },
    deadlineMs: clock.nowMs() + DEADLINE_MS
  })
  return { clock, owner, exchanges, forwarder, send }
}

// Guards against a late ingress that reports a request as unknown although its outcome has arrived.
test('an outcome that waits for a late event loop is delivered', async () => {
  const { clock, owner, exchanges, forwarder, send } = await startForwarder()
  const sent = send()
  await clock.runFor(10)
  assert.is(exchanges.length, 1)
  clock.block(2000)
  // Read in the poll phase, after the timers that are due.
  clock.setTimer(0, () => { owner.sendMessage('a.1', { type: 'forwardReply', exchange: exchanges[0]!, outcome: OUTCOME }) })
  await clock.runFor(200)
  assert.equal(await sent, OUTCOME)
  forwarder.dispose()
})

test('a request without an outcome ends as unknown at its deadline', async () => {
  const { clock, forwarder, send } = await startForwarder()
  let outcome: RequestOutcome | null = null
  const sent = send().then((received) => { outcome = received })
  await clock.runFor(DEADLINE_MS - 1)
  assert.is(outcome, null)
  await clock.runFor(1)
  await sent
  assert.is((outcome as unknown as RequestOutcome).kind, 'unknown')
  forwarder.dispose()
})

test.run()
