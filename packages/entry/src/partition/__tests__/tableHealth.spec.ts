/** What an entry makes of the times and failures of its calls of the table. */
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPartitionTableModel } from '../../testing/partitionTableModel.js'
import { TABLE_CALL_MS } from '../constants.js'
import type { TableTransaction } from '../ports.js'
import { createCallPatience, createWatchedTable } from '../tableHealth.js'

const WRITE: TableTransaction = { part: 'p', checks: [], writes: [{ table: 't', key: 'k', value: '1' }], deletes: [] }

test('a table that turns slow and fast again is told once each', async () => {
  const clock = createFakeClock()
  const events = createMemoryEventLog()
  const fast = createPartitionTableModel({ clock, callMs: 13 }).createClient().table
  const slow = createPartitionTableModel({ clock, callMs: 360 }).createClient().table
  let current = fast
  const table = createWatchedTable({ ...fast, commit: (transaction, timeoutMs) => current.commit(transaction, timeoutMs) }, clock, events)
  const commit = async (times: number): Promise<void> => {
    for (let count = 0; count < times; count++) {
      const done = table.commit(WRITE)
      await clock.runFor(400)
      await done
    }
  }
  await commit(10)
  assert.is(events.recorded.length, 0)
  current = slow
  await commit(10)
  current = fast
  await commit(20)
  assert.equal(events.recorded.map(({ event }) => event.id), ['FT857', 'FT858'])
})

test('a table is suspect while a call waits for long, and after a failure until the next answer', async () => {
  const clock = createFakeClock()
  const { table: raw, faults } = createPartitionTableModel({ clock }).createClient()
  const table = createWatchedTable(raw, clock, createMemoryEventLog())
  faults.outage = 'silent'
  const lost = table.readRange({ table: 't', part: 'p' })
  await clock.runFor(300)
  assert.not(table.isSuspect())
  await clock.runFor(300)
  assert.ok(table.isSuspect())
  await clock.runFor(1000)
  assert.ok((await lost).isErr())
  assert.ok(table.isSuspect())
  faults.outage = null
  const good = table.commit(WRITE)
  await clock.runFor(50)
  assert.ok((await good).isOk())
  assert.not(table.isSuspect())
})

test('commits that go without an answer are given up sooner than other calls, and later once they were slow', async () => {
  const clock = createFakeClock()
  const { table: raw, faults } = createPartitionTableModel({ clock }).createClient()
  const table = createWatchedTable(raw, clock, createMemoryEventLog())
  faults.outage = 'silent'
  const times: number[] = []
  for (let count = 0; count < 4; count++) {
    const sentAtMs = clock.nowMs()
    const lost = table.commit(WRITE).then(() => { times.push(clock.nowMs() - sentAtMs) })
    await clock.runFor(1500)
    await lost
  }
  assert.equal(times, [255, 505, 1005, 1205])
})

test('the time limit of commits follows their times and doubles with each time-out', () => {
  const patience = createCallPatience()
  assert.is(patience.readTimeoutMs(), 250)
  patience.recordTimeout()
  assert.is(patience.readTimeoutMs(), 500)
  for (let count = 0; count < 20; count++) patience.recordAnswer(360)
  assert.is(patience.readTimeoutMs(), TABLE_CALL_MS)
  for (let count = 0; count < 40; count++) patience.recordAnswer(13)
  assert.is(patience.readTimeoutMs(), 250)
})

test.run()
