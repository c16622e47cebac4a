/** Calls at entries that the platform's table does not serve, such as while it turns a third of the entries away for seconds. */
import { createFakeClock, type FakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog, type MemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createFakeMesh } from '../../testing/fakeMesh.js'
import { createCallRelay, type CallRelay, type RelayedCall, type RelayOutcome } from '../callRelay.js'
import { MAX_RELAY_TRIES, MAX_RELAYED_CALLS, RELAY_AVOID_MS, RELAY_TIMEOUT_MS } from '../constants.js'

const CALL: RelayedCall = { method: 'POST', path: '/proof/00', headers: { host: 'cell.example', authorization: 'Bearer k' }, body: Buffer.from('{}') }

interface Entry {
  readonly relay: CallRelay
  readonly events: MemoryEventLog
  /** Calls that this entry served for others. */
  readonly served: RelayedCall[]
  /** Status of its responses; 0 for none. */
  status: number
  kill: () => void
}

function createEntries (clock: FakeClock, domains: readonly string[]): Entry[] {
  const mesh = createFakeMesh({ clock })
  return domains.map((failureDomain, index) => {
    const links = mesh.addEntry({ entry: `e${index}`, incarnation: `e${index}.1`, failureDomain })
    const events = createMemoryEventLog()
    const relay = createCallRelay({ self: links.self, mesh: links, clock, random: createSeededRandom(index), events })
    const entry: Entry = { relay, events, served: [], status: 200, kill: () => links.dispose() }
    relay.setHandler(async (call) => {
      entry.served.push(call)
      if (entry.status === 0) await new Promise(() => {})
      return { status: entry.status, headers: { 'content-type': 'application/json' }, body: Buffer.from(`"e${index}"`) }
    })
    return entry
  })
}

async function relayFrom (clock: FakeClock, entry: Entry, deadlineMs = 3000): Promise<RelayOutcome> {
  const outcome = entry.relay.relayCall(CALL, clock.nowMs() + deadlineMs)
  await clock.runFor(deadlineMs)
  return await outcome
}

test('a call is answered by a peer, of the same failure domain if one can', async () => {
  const clock = createFakeClock()
  const entries = createEntries(clock, ['a', 'b', 'a', 'b'])
  await clock.runFor(100)
  const outcome = await relayFrom(clock, entries[0]!)
  if (outcome.kind !== 'answered') throw new Error(outcome.kind)
  assert.equal([outcome.response.status, Buffer.from(outcome.response.body).toString()], [200, '"e2"'])
  const [served] = entries[2]!.served
  assert.equal([served?.method, served?.path, served?.headers, Buffer.from(served!.body).toString()], [CALL.method, CALL.path, CALL.headers, '{}'])
  assert.is(entries[0]!.events.listFields('FT834').length, 1)
})

// Guards against calls that wait for peers which cannot serve them either.
test('peers that cannot serve a call are passed over, and not asked again for a second', async () => {
  const clock = createFakeClock()
  const entries = createEntries(clock, ['a', 'a', 'a', 'b'])
  await clock.runFor(100)
  for (const entry of entries.slice(1, 3)) entry.status = 503
  assert.is((await relayFrom(clock, entries[0]!, 500)).kind, 'answered')
  assert.is((await relayFrom(clock, entries[0]!, 300)).kind, 'answered')
  assert.equal(entries.map(({ served }) => served.length), [0, 1, 1, 2])
  await clock.runFor(RELAY_AVOID_MS)
  assert.is((await relayFrom(clock, entries[0]!, 500)).kind, 'answered')
  assert.equal(entries.map(({ served }) => served.length), [0, 2, 2, 3])
})

test('without a peer that can serve it, a call is certainly not executed', async () => {
  const clock = createFakeClock()
  const entries = createEntries(clock, ['a', 'a', 'a', 'a', 'a', 'a'])
  await clock.runFor(100)
  for (const entry of entries) entry.status = 503
  assert.is((await relayFrom(clock, entries[0]!)).kind, 'notExecuted')
  assert.is(entries.reduce((sum, { served }) => sum + served.length, 0), MAX_RELAY_TRIES)
  assert.is((await relayFrom(clock, createEntries(clock, ['a'])[0]!)).kind, 'notExecuted')
})

// Guards against a caller that is told 'not executed' although a peer that did not respond may have executed its call.
test('a call that a silent or dying peer may have executed is unknown unless another one answers', async () => {
  const clock = createFakeClock()
  const entries = createEntries(clock, ['a', 'a', 'b'])
  await clock.runFor(100)
  entries[1]!.status = 0
  entries[2]!.status = 503
  assert.is((await relayFrom(clock, entries[0]!)).kind, 'unknown')
  entries[2]!.status = 200
  const outcome = entries[0]!.relay.relayCall(CALL, clock.nowMs() + 3000)
  await clock.runFor(5)
  entries[1]!.kill()
  await clock.runFor(20)
  assert.is((await outcome).kind, 'answered')
  assert.ok(RELAY_TIMEOUT_MS < 3000)
})

test('an entry serves a bounded number of calls for its peers at a time', async () => {
  const clock = createFakeClock()
  const entries = createEntries(clock, ['a', 'a'])
  await clock.runFor(100)
  entries[1]!.status = 0
  const outcomes = Array.from({ length: MAX_RELAYED_CALLS + 3 }, () => entries[0]!.relay.relayCall(CALL, clock.nowMs() + 3000))
  await clock.runFor(3000)
  const kinds = (await Promise.all(outcomes)).map(({ kind }) => kind)
  assert.is(entries[1]!.served.length, MAX_RELAYED_CALLS)
  assert.is(kinds.filter((kind) => kind === 'notExecuted').length, 3)
})

test.run()
