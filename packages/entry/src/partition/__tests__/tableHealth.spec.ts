/** Health checks and adaptive timeouts of table calls. */
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { err } from 'neverthrow'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPartitionTableModel } from '../../testing/partitionTableModel.js'
import { TABLE_TIMEOUT_MS } from '../constants.js'
import type { TableTransaction } from '../ports.js'
import { createAdaptiveTimeout, createMonitoredTable } from '../tableHealth.js'

const WRITE: TableTransaction = { part: 'p', checks: [], writes: [{ table: 't', key: 'k', value: '1' }], deletes: [] }

test('a table that becomes slow and fast again is logged once each', async () => {
  const clock = createFakeClock()
  const events = createMemoryEventLog()
  const fast = createPartitionTableModel({ clock, callMs: 13 }).createClient().table
  const slow = createPartitionTableModel({ clock, callMs: 360 }).createClient().table
  let current = fast
  const table = createMonitoredTable({ ...fast, commit: (transaction, timeoutMs) => current.commit(transaction, timeoutMs) }, clock, events)
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

test('a table is suspect while a call is overdue, and after a failure until the next response', async () => {
  const clock = createFakeClock()
  const { table: raw, faults } = createPartitionTableModel({ clock }).createClient()
  const table = createMonitoredTable(raw, clock, createMemoryEventLog())
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

// Guards against an entry that refuses its callers for seconds, and tells the load balancer nothing, because its table refuses it by a rate limit.
test('a table that refuses all calls by a rate limit is suspect, one that lets some through is not', async () => {
  const clock = createFakeClock()
  const { table: raw, faults } = createPartitionTableModel({ clock }).createClient()
  const table = createMonitoredTable(raw, clock, createMemoryEventLog())
  const read = async (outage: typeof faults.outage): Promise<void> => {
    faults.outage = outage
    const done = table.readRange({ table: 't', part: 'p' })
    await clock.runFor(50)
    await done
  }
  for (const outage of ['limited', 'limited', null, 'limited', 'limited', 'limited', null] as const) {
    await read(outage)
    assert.not(table.isSuspect())
  }
  for (let call = 0; call < 5; call++) await read('limited')
  assert.ok(table.isSuspect())
  await read(null)
  assert.not(table.isSuspect())
})

test('unanswered commits time out earlier than other calls, and later after each timeout', async () => {
  const clock = createFakeClock()
  const { table: raw, faults } = createPartitionTableModel({ clock }).createClient()
  const table = createMonitoredTable(raw, clock, createMemoryEventLog())
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

// Guards against a late entry that counts its own delay against the table: it would refuse submissions and wait longer for commits.
test('a commit that was given up because the event loop was late says nothing about the table', async () => {
  const clock = createFakeClock()
  const { table: raw } = createPartitionTableModel({ clock }).createClient()
  const limits: Array<number | undefined> = []
  const table = createMonitoredTable({
    ...raw,
    commit: async (_, timeoutMs) => {
      limits.push(timeoutMs)
      clock.block(500)
      return err({ kind: 'unknown', message: 'timeout', isOwnDelay: true })
    }
  }, clock, createMemoryEventLog())
  await table.commit(WRITE)
  await table.commit(WRITE)
  assert.equal(limits, [250, 250])
  assert.not(table.isSuspect())
})

// Guards against a late entry that refuses submissions because it has not yet read the table's responses.
test('a table is not suspect while its responses wait for a late event loop', async () => {
  const clock = createFakeClock()
  const { table: raw, faults } = createPartitionTableModel({ clock }).createClient()
  const table = createMonitoredTable(raw, clock, createMemoryEventLog())
  const answered = table.readRange({ table: 't', part: 'p' })
  await clock.settle()
  clock.block(2000)
  assert.not(table.isSuspect())
  await clock.runFor(20)
  assert.ok((await answered).isOk())
  assert.not(table.isSuspect())
  faults.outage = 'silent'
  const lost = table.readRange({ table: 't', part: 'p' })
  await clock.settle()
  clock.block(600)
  assert.not(table.isSuspect())
  await clock.runFor(200)
  assert.ok(table.isSuspect())
  await clock.runFor(2000)
  assert.ok((await lost).isErr())
})

// Guards against a late entry that calls a fast table slow, and waits longer for its commits.
test('a blocked event loop does not count towards the duration of commits', async () => {
  const clock = createFakeClock()
  const events = createMemoryEventLog()
  const { table: raw, faults } = createPartitionTableModel({ clock, callMs: 13 }).createClient()
  const table = createMonitoredTable(raw, clock, events)
  for (let count = 0; count < 20; count++) {
    const done = table.commit(WRITE)
    await clock.runFor(5)
    clock.block(400)
    await clock.runFor(20)
    await done
  }
  assert.equal(events.recorded, [])
  faults.outage = 'silent'
  const sentAtMs = clock.nowMs()
  let elapsedMs = 0
  const lost = table.commit(WRITE).then(() => { elapsedMs = clock.nowMs() - sentAtMs })
  await clock.runFor(2000)
  await lost
  // The shortest timeout of a commit is 250 ms, and the call itself takes 13 ms.
  assert.is(elapsedMs, 263)
})

test('the timeout of commits adapts to their duration and doubles each time it expires', () => {
  const timeout = createAdaptiveTimeout()
  assert.is(timeout.readMs(), 250)
  timeout.recordTimeout()
  assert.is(timeout.readMs(), 500)
  for (let count = 0; count < 20; count++) timeout.recordDuration(360)
  assert.is(timeout.readMs(), TABLE_TIMEOUT_MS)
  for (let count = 0; count < 40; count++) timeout.recordDuration(13)
  assert.is(timeout.readMs(), 250)
})

test.run()
