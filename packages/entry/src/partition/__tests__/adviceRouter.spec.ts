/** Advice under load: requests of several holders share servers that serve one call at a time. */
import { createFakeClock, type FakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { ok } from 'neverthrow'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createFakeMesh } from '../../testing/fakeMesh.js'
import { createAdviceRouter, type AdviceRouter } from '../adviceRouter.js'

const SHORT_MS = 20
const LONG_MS = 800

interface Entry {
  readonly router: AdviceRouter
  /** Calls that the service served for this entry. */
  readonly calls: string[]
  /** Factor by which the service takes longer than its expected duration for this entry. */
  slowness: number
}

/** Creates entries whose advice service takes the expected duration of each request. */
function createEntries (clock: FakeClock, count: number): Entry[] {
  const mesh = createFakeMesh({ clock })
  return Array.from({ length: count }, (_, index) => {
    const links = mesh.addEntry({ entry: `e${index}`, incarnation: `e${index}.1`, failureDomain: 'a' })
    const entry: { router?: AdviceRouter, calls: string[], slowness: number } = { calls: [], slowness: 1 }
    entry.router = createAdviceRouter({
      self: links.self,
      client: {
        requestAdvice: (step) => new Promise((resolve) => {
          entry.calls.push(step)
          const costMs = step.startsWith('long') ? LONG_MS : SHORT_MS
          clock.setTimer(costMs * entry.slowness, () => resolve(ok(new Map([['w1', 'ticket']]))))
        })
      },
      mesh: links,
      clock,
      random: createSeededRandom(index),
      events: createMemoryEventLog()
    })
    return entry as Entry
  })
}

interface WaitStats {
  answered: number
  failed: number
  longestMs: number
  /** Answers that took longer than three short calls. */
  slow: number
}

function submitRequest (clock: FakeClock, entry: Entry, step: string, waits: WaitStats): void {
  const startedAtMs = clock.nowMs()
  entry.router.trySubmit({ step, workers: ['w1'], costMs: step.startsWith('long') ? LONG_MS : SHORT_MS }, (tickets) => {
    if (tickets === null) {
      waits.failed++
      return
    }
    waits.answered++
    waits.longestMs = Math.max(waits.longestMs, clock.nowMs() - startedAtMs)
    if (clock.nowMs() - startedAtMs > 3 * SHORT_MS) waits.slow++
  })
}

test('short requests of one holder are not delayed by long requests of another', async () => {
  const clock = createFakeClock()
  const entries = createEntries(clock, 7)
  await clock.runFor(100)
  const short: WaitStats = { answered: 0, failed: 0, longestMs: 0, slow: 0 }
  const long: WaitStats = { answered: 0, failed: 0, longestMs: 0, slow: 0 }
  for (let round = 0; round < 100; round++) {
    // Two long calls a second keep less than half of the servers busy; 50 short ones a second take one of them.
    if (round % 25 === 0) submitRequest(clock, entries[0]!, `long${round}`, long)
    if (round % 25 === 10) submitRequest(clock, entries[3]!, `long${round}`, long)
    submitRequest(clock, entries[3]!, `short${round}`, short)
    await clock.runFor(20)
  }
  await clock.runFor(2000)
  assert.is(short.answered, 100)
  assert.ok(short.longestMs <= 100, `${short.longestMs} ms`)
  assert.is(long.answered, 8)
})

test('short requests of several holders find free servers while the preferred ones do not respond', async () => {
  const clock = createFakeClock()
  const entries = createEntries(clock, 7)
  await clock.runFor(100)
  // The service no longer responds to the two entries reserved for short requests.
  for (const entry of entries.slice(0, 2)) entry.slowness = Infinity
  const short: WaitStats = { answered: 0, failed: 0, longestMs: 0, slow: 0 }
  const long: WaitStats = { answered: 0, failed: 0, longestMs: 0, slow: 0 }
  for (let round = 0; round < 200; round++) {
    // Long calls of another holder keep half of the other servers busy.
    if (round % 16 === 0) submitRequest(clock, entries[4]!, `long${round}`, long)
    submitRequest(clock, entries[2 + round % 5]!, `short${round}`, short)
    await clock.runFor(20)
  }
  await clock.runFor(2000)
  assert.ok(short.answered >= 180, `${short.answered} answered, ${short.failed} failed`)
  assert.ok(short.slow <= 10, `${short.slow} slow, at most ${short.longestMs} ms`)
})

// Guards against urgent steps that start late because their advice requests queue at one server while others are idle.
test('short requests of one moment go to idle servers instead of queueing at the preferred one', async () => {
  const clock = createFakeClock()
  const entries = createEntries(clock, 20)
  await clock.runFor(100)
  const short: WaitStats = { answered: 0, failed: 0, longestMs: 0, slow: 0 }
  for (let index = 0; index < 15; index++) submitRequest(clock, entries[7]!, `short${index}`, short)
  await clock.runFor(1000)
  assert.is(short.answered, 15)
  assert.ok(short.longestMs < 2 * SHORT_MS, `${short.longestMs} ms, the service takes ${SHORT_MS}`)
})

// Guards against a new holder that ranks all entries for each of its requests, by which its planning rounds become too long (SHORT).
test('requests of one moment rank the servers once', async () => {
  const clock = createFakeClock()
  const links = createFakeMesh({ clock })
  const entries = Array.from({ length: 97 }, (_, index) => links.addEntry({ entry: `e${index}`, incarnation: `e${index}.1`, failureDomain: 'a' }))
  await clock.runFor(100)
  let listings = 0
  const own = entries[3]!
  const router = createAdviceRouter({
    self: own.self,
    client: { requestAdvice: () => new Promise(() => {}) },
    mesh: {
      ...own,
      listPeers: () => {
        listings++
        return own.listPeers()
      }
    },
    clock,
    random: createSeededRandom(1),
    events: createMemoryEventLog()
  })
  for (let request = 0; request < 50; request++) assert.ok(router.trySubmit({ step: `s${request}`, workers: ['w1'], costMs: SHORT_MS }, () => {}))
  assert.is(listings, 1)
  entries[5]!.dispose()
  for (let request = 0; request < 50; request++) assert.ok(router.trySubmit({ step: `t${request}`, workers: ['w1'], costMs: SHORT_MS }, () => {}))
  assert.is(listings, 2)
  router.dispose()
})

test('a server that declines or fails is asked again later, and none is asked beyond the longest queue', async () => {
  const clock = createFakeClock()
  const entries = createEntries(clock, 3)
  await clock.runFor(100)
  const waits: WaitStats = { answered: 0, failed: 0, longestMs: 0, slow: 0 }
  const [first] = entries
  for (const entry of entries) entry.slowness = Infinity
  let accepted = 0
  while (first!.router.canSubmit(SHORT_MS) && accepted < 1000) {
    submitRequest(clock, first!, `short${accepted}`, waits)
    accepted++
  }
  assert.ok(accepted > 0 && accepted < 1000, `${accepted} requests`)
  assert.not.ok(first!.router.trySubmit({ step: 'short', workers: ['w1'], costMs: SHORT_MS }, () => {}))
  await clock.runFor(10_000)
  assert.is(waits.failed, accepted)
  for (const entry of entries) entry.slowness = 1
  assert.ok(first!.router.canSubmit(SHORT_MS))
})

test('a request that has timed out at its requester is not sent to the service', async () => {
  const clock = createFakeClock()
  const [entry] = createEntries(clock, 1)
  entry!.slowness = 100
  const waits: WaitStats = { answered: 0, failed: 0, longestMs: 0, slow: 0 }
  submitRequest(clock, entry!, 'short1', waits)
  submitRequest(clock, entry!, 'short2', waits)
  await clock.runFor(5000)
  assert.is(waits.failed, 2)
  assert.equal(entry!.calls, ['short1'])
})

// Guards against a late holder that discards tickets which have arrived, and avoids the server that sent them.
test('tickets that wait for a late event loop are delivered', async () => {
  const clock = createFakeClock()
  const links = createFakeMesh({ clock }).addEntry({ entry: 'e0', incarnation: 'e0.1', failureDomain: 'a' })
  let resolveAdvice = (): void => { throw new Error('the service was not called') }
  const router = createAdviceRouter({
    self: links.self,
    client: { requestAdvice: () => new Promise((resolve) => { resolveAdvice = () => resolve(ok(new Map([['w1', 'ticket']]))) }) },
    mesh: links,
    clock,
    random: createSeededRandom(1),
    events: createMemoryEventLog()
  })
  const received: Array<ReadonlyMap<string, string> | null> = []
  const submit = (): boolean => router.trySubmit({ step: 'short', workers: ['w1'], costMs: SHORT_MS }, (tickets) => { received.push(tickets) })
  assert.ok(submit())
  await clock.runFor(0)
  clock.block(5000)
  // Read in the poll phase, after the timers that are due.
  clock.setTimer(0, () => resolveAdvice())
  await clock.runFor(1000)
  assert.equal(received, [new Map([['w1', 'ticket']])])
  assert.ok(submit())
  router.dispose()
})

test.run()
