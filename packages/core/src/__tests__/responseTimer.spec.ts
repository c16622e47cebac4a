/** Timeouts of responses with an event loop that is on time, late once, and late always. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createResponseTimer, type ResponseTimer } from '../responseTimer.js'
import { createFakeClock, type FakeClock } from '../testing/fakeClock.js'

const TIMEOUT_MS = 200
/** Time beyond the timeout, and beyond delays of the event loop, within which a silent server must be given up. */
const EXTENSION_BOUND_MS = 150

interface Run {
  readonly clock: FakeClock
  readonly timer: ResponseTimer
  readonly timeouts: Array<{ readonly atMs: number, readonly isOwnDelay: boolean }>
}

function startTimer (): Run {
  const clock = createFakeClock({ startMs: 0 })
  const timeouts: Run['timeouts'] = []
  const timer = createResponseTimer({ clock, timeoutMs: TIMEOUT_MS, onTimeout: (isOwnDelay) => { timeouts.push({ atMs: clock.nowMs(), isOwnDelay }) } })
  return { clock, timer, timeouts }
}

test('a server that is silent while the event loop is on time is given up at the timeout', () => {
  const { clock, timeouts } = startTimer()
  clock.advance(1000)
  assert.equal(timeouts, [{ atMs: TIMEOUT_MS, isOwnDelay: false }])
})

test('a server that stays silent after the event loop was late once is given up for its own silence', () => {
  const { clock, timeouts } = startTimer()
  clock.block(500)
  clock.advance(1000)
  assert.is(timeouts.length, 1)
  assert.not(timeouts[0]!.isOwnDelay)
  assert.ok(timeouts[0]!.atMs > 500 && timeouts[0]!.atMs <= 500 + EXTENSION_BOUND_MS)
})

test('an event loop that is always late extends the timeout a bounded number of times', () => {
  const { clock, timeouts } = startTimer()
  let delays = 0
  while (timeouts.length === 0) {
    clock.block(500)
    clock.advance(0)
    delays++
  }
  assert.ok(delays <= 4)
  assert.equal(timeouts, [{ atMs: 500 * delays, isOwnDelay: true }])
})

test('a response that is read after the late timer ran is in time', () => {
  const { clock, timer, timeouts } = startTimer()
  clock.block(500)
  // Runs in the poll phase, between the late timer and the check after it.
  clock.setTimer(0, () => timer.dispose())
  clock.advance(1000)
  assert.equal(timeouts, [])
})

test('a response that is partly read when the timeout expires gets time for its remainder', () => {
  const { clock, timer, timeouts } = startTimer()
  clock.setTimer(TIMEOUT_MS, () => timer.recordProgress())
  clock.setTimer(TIMEOUT_MS + 20, () => timer.dispose())
  clock.advance(1000)
  assert.equal(timeouts, [])
})

test('a response that trickles in does not extend the timeout without bound', () => {
  const { clock, timer, timeouts } = startTimer()
  for (let atMs = 0; atMs < 1000; atMs++) clock.setTimer(atMs, () => timer.recordProgress())
  clock.advance(1000)
  assert.is(timeouts.length, 1)
  assert.ok(timeouts[0]!.atMs <= TIMEOUT_MS + EXTENSION_BOUND_MS)
})

test.run()
