/** Timers of the system clock. */
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createSystemClock } from '../systemClock.js'

// Guards against a timer for a time far ahead, such as one that a worker's clock names, that fires at once and is set again without a pause.
test('a timer with a delay above the limit of the runtime does not fire at once', async () => {
  const clock = createSystemClock()
  const fired: number[] = []
  const timers = [2 ** 31, 2 ** 53, 1e308, Infinity].map((delayMs) => clock.setTimer(delayMs, () => { fired.push(delayMs) }))
  await sleep(20)
  for (const timer of timers) timer.dispose()
  assert.equal(fired, [])
})

test.run()
