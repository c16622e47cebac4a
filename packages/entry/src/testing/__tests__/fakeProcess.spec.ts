/** Pausing and resuming a process under test, in any order in which a property test may do so. */
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createFakeProcess } from '../fakeProcess.js'

test('a process that was paused twice and resumed once keeps running', async () => {
  const clock = createFakeClock()
  const process = createFakeProcess(clock)
  process.pause(100)
  process.pause(200)
  process.resume()
  let fired = false
  process.clock.setTimer(500, () => { fired = true })
  await clock.runFor(1_000)
  assert.ok(process.isRunning())
  assert.ok(fired)
})

test('a paused process fires its due timers after it is resumed', async () => {
  const clock = createFakeClock()
  const process = createFakeProcess(clock)
  let fired = 0
  process.clock.setTimer(500, () => { fired += 1 })
  process.pause(100)
  await clock.runFor(1_000)
  assert.is(fired, 0)
  assert.not(process.isRunning())
  process.resume()
  await clock.runFor(1)
  assert.is(fired, 1)
})

test.run()
