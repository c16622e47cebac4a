/** Window of start orders while responses and the queue of starts become slow, and fast again. */
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createStartWindow } from '../startWindow.js'

const OPTIONS = { limit: 8, slowResponseMs: 100, maxWaitMs: 500, onQueueEmpty: () => {} }

const createWindow = () => {
  const clock = createFakeClock()
  return { clock, window: createStartWindow({ ...OPTIONS, clock }) }
}

/** Sends starts one after the other, each decided `waitMs` before. */
async function sendStarts (count: number, waitMs: number, { clock, window }: ReturnType<typeof createWindow>, responseMs = 5): Promise<void> {
  for (let index = 0; index < count; index++) {
    await window.waitForSlot(clock.nowMs() - waitMs, true)
    await clock.runFor(10)
    window.releaseSlot(responseMs)
  }
}

/** Counts the orders that get a slot at once. */
async function countSlots ({ clock, window }: ReturnType<typeof createWindow>): Promise<number> {
  let granted = 0
  for (let index = 0; index < 20; index++) window.waitForSlot(clock.nowMs(), true).then(() => { granted++ }, (error: unknown) => { throw error })
  await clock.runFor(1)
  return granted
}

test('the room for starts shrinks while they wait for longer than allowed', async () => {
  const world = createWindow()
  const before = world.window.countRoom()
  await sendStarts(200, 800, world)
  assert.ok(world.window.countRoom() < before / 4, `${world.window.countRoom()} of ${before}`)
  assert.ok(world.window.countRoom() > 0)
})

// Guards against SHORT: the room was measured only while many starts waited, and stayed small once few were decided at a time.
test('the room for starts grows again while they wait for less than half of that', async () => {
  const world = createWindow()
  const before = world.window.countRoom()
  await sendStarts(400, 800, world)
  const shrunk = world.window.countRoom()
  await sendStarts(200, 20, world)
  assert.ok(world.window.countRoom() >= Math.min(before, shrunk + 200), `${shrunk}, then ${world.window.countRoom()}`)
})

// Guards against orders that are repeated because the responses to a whole window are read one after the other.
test('fewer orders are in flight while responses are slow, and as many as before afterwards', async () => {
  const slow = createWindow()
  await sendStarts(20, 0, slow, 300)
  assert.is(await countSlots(slow), 4)
  const fast = createWindow()
  await sendStarts(20, 0, fast, 300)
  await sendStarts(20, 0, fast, 5)
  assert.is(await countSlots(fast), 8)
})

// Guards against LOST: starts without tickets left no room for those with tickets, and all waited in one line.
test('starts without tickets take no room from those with tickets, which take turns with them', async () => {
  const { clock, window } = createWindow()
  const room = window.countRoom()
  const granted: string[] = []
  const wait = (name: string, hasTicket: boolean): void => {
    window.waitForSlot(clock.nowMs(), hasTicket).then(() => { granted.push(name) }, (error: unknown) => { throw error })
  }
  for (let index = 0; index < 100; index++) wait('without', false)
  assert.is(window.countRoom(), room)
  for (let index = 0; index < 4; index++) wait('with', true)
  assert.is(window.countRoom(), room - 4)
  await clock.runFor(1)
  for (let index = 0; index < 8; index++) window.releaseSlot(5)
  await clock.runFor(1)
  assert.is(granted.length, 16)
  assert.is(granted.filter((name) => name === 'with').length, 4)
})

test('a start that waited gets the slot that is released, in order', async () => {
  const { clock, window } = createWindow()
  const granted: number[] = []
  for (let index = 0; index < 10; index++) window.waitForSlot(clock.nowMs(), true).then(() => { granted.push(index) }, (error: unknown) => { throw error })
  await clock.runFor(1)
  assert.equal(granted, [0, 1, 2, 3, 4, 5, 6, 7])
  window.releaseSlot(5)
  window.releaseSlot(null)
  await clock.runFor(1)
  assert.equal(granted, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9])
})

test.run()
