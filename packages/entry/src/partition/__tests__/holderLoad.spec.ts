/** Load of a holder in the log: time by part of the work, delay of the event loop, backlog. */
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createHolderLoad } from '../holderLoad.js'

const createLoad = () => {
  const clock = createFakeClock()
  const events = createMemoryEventLog()
  const load = createHolderLoad({ partition: 'pages', epoch: 3, clock, events, readBacklog: () => ({ steps: 2, tasks: 7 }) })
  return { clock, events, load }
}

test('one line a second states the time of each part, its longest call and the backlog', async () => {
  const { clock, events, load } = createLoad()
  load.measurePart('plan', () => clock.block(30))
  load.measurePart('plan', () => clock.block(50))
  load.measurePart('report', () => clock.block(4))
  await clock.runFor(1000)
  const [fields] = events.listFields('FT859')
  assert.is(events.listFields('FT859').length, 1)
  assert.is(fields?.['planCount'], 2)
  assert.is(fields?.['planMs'], 80)
  assert.is(fields?.['planMaxMs'], 50)
  assert.is(fields?.['reportMs'], 4)
  assert.is(fields?.['encodeCount'], 0)
  assert.is(fields?.['waitingSteps'], 2)
  assert.is(fields?.['waitingTasks'], 7)
  await clock.runFor(1000)
  assert.is(events.listFields('FT859')[1]?.['planMs'], 0)
})

test('the line states how long starts waited for their order, and how many had an expired ticket', async () => {
  const { clock, events, load } = createLoad()
  load.recordStartSent(12)
  load.recordStartSent(1730)
  load.recordTicketRefused()
  load.recordStartExpired()
  await clock.runFor(2000)
  const [first, second] = events.listFields('FT859')
  assert.is(first?.['startCount'], 2)
  assert.is(first?.['startWaitMaxMs'], 1730)
  assert.is(first?.['ticketRefusals'], 1)
  assert.is(first?.['expiredStarts'], 1)
  assert.is(second?.['startCount'], 0)
  assert.is(second?.['startWaitMaxMs'], 0)
})

test('a blocked event loop shows as the longest delay of a timer', async () => {
  const { clock, events } = createLoad()
  // A callback that runs for 400 ms delays the probe that becomes due meanwhile.
  clock.setTimer(50, () => clock.block(400))
  await clock.runFor(1200)
  const delayMs = Number(events.listFields('FT859')[0]?.['loopDelayMs'])
  assert.ok(delayMs >= 300, `delay ${delayMs}`)
})

test('a disposed measurement logs nothing', async () => {
  const { clock, events, load } = createLoad()
  load.dispose()
  await clock.runFor(3000)
  assert.is(events.recorded.length, 0)
})

test.run()
