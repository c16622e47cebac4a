/** Sessions, ownership and worker managers of several entries on fakes, checked by the membership oracle. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createMembershipCell } from '../../testing/membershipCell.js'

const SMALL = {
  seed: 1, entryDomains: ['a', 'a', 'b'], workerDomains: ['a', 'a', 'b', 'b'], taskCount: 6, runMs: 1e9, outageToleranceMs: 20_000
}

test('tasks start once and keep running', async () => {
  const cell = createMembershipCell(SMALL)
  await cell.runFor(10_000)
  assert.equal(cell.oracle.violations, [])
  assert.ok(cell.schedulers[0]!.hasAllTasksRunning())
  assert.is(cell.oracle.countStarts(), SMALL.taskCount)
  await cell.runFor(60_000)
  assert.is(cell.oracle.countStarts(), SMALL.taskCount)
  assert.equal(cell.oracle.violations, [])
})

test('the workers of a killed entry keep their tasks under the next owner', async () => {
  const cell = createMembershipCell(SMALL)
  await cell.runFor(10_000)
  cell.entries[0]!.process.kill()
  await cell.runFor(20_000)
  assert.equal(cell.oracle.violations, [])
  assert.is(cell.oracle.countStarts(), SMALL.taskCount)
  assert.is(cell.entries[1]!.workerManager.listOwnedWorkers().length, 2)
  assert.ok(cell.entries[2]!.ownership.isFenced(cell.entries[0]!.incarnation))
})

test('a worker that does not respond delays no other worker', async () => {
  const cell = createMembershipCell({ ...SMALL, entryDomains: ['a'] })
  const unresponsive = cell.workers[0]!
  cell.entries[0]!.linkFaults.get(unresponsive.id)!.silent = true
  await cell.runFor(4_000)
  for (const worker of cell.workers.slice(1)) assert.ok(cell.clock.nowMs() - cell.oracle.readLastContactMs(worker.id) < 1_500)
  assert.is(cell.oracle.countStarts(), SMALL.taskCount)
  await cell.runFor(30_000)
  for (const worker of cell.workers.slice(1)) assert.ok(cell.clock.nowMs() - cell.oracle.readLastContactMs(worker.id) < 1_500)
  assert.ok(cell.schedulers[0]!.hasAllTasksRunning())
  assert.equal(cell.oracle.violations, [])
})

test.run()
