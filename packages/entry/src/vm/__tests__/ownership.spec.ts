/** Ownership on the table model: which rows its transactions check, and when ownership counts as confirmed. */
import type { Row, TableQuery, Transaction, Vm } from '@fuchsiatally/core'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { createFakePlatform } from '@fuchsiatally/table/testing/fakePlatform'
import { createTableModel } from '@fuchsiatally/table/testing/tableModel'
import { ok } from 'neverthrow'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createSessions } from '../../failureDomain/sessions.js'
import { createMembershipCell } from '../../testing/membershipCell.js'
import { createOwnership, type OwnedEpoch } from '../ownership.js'

const VM: Vm = {
  id: 'w', state: 'live', failureDomain: 'a', rack: 'r', pool: 'p', address: 'w', resources: { processors: 1, memoryMb: 1, accelerators: 0 }, runners: []
}
const CELL = { seed: 1, entryDomains: ['a', 'a'], workerDomains: ['a', 'a', 'a'], taskCount: 2, runMs: 1e9, outageToleranceMs: 20_000 }

function createOwner () {
  const clock = createFakeClock()
  const random = createSeededRandom(5)
  const log = createMemoryEventLog()
  const table = createTableModel()
  const client = createFakePlatform({ model: table, clock, random })
  const transactions: Transaction[] = []
  const owned: Array<OwnedEpoch & { cellEpoch: number }> = []
  const state = { frozenSnapshot: null as ReturnType<typeof table.createSnapshot> | null }
  const platform = {
    ...client,
    transact: (transaction: Transaction) => {
      transactions.push(transaction)
      return client.transact(transaction)
    },
    read: async (query: TableQuery) => state.frozenSnapshot === null ? await client.read(query) : ok(state.frozenSnapshot.read(query))
  }
  const sessions = createSessions({
    entry: 'e', incarnation: 'i', failureDomain: 'a', linkAddress: '', httpAddress: '', platform, clock, random, log
  })
  const ownership = createOwnership({ sessions, platform, clock, random, log, cellKey: 'cell/c' })
  const writeRow = (key: string, value: unknown): Row => {
    table.transact({ writeId: random.nextId(), checks: [], writes: [{ key, value }] })
    return table.findRow(key)!
  }
  sessions.start()
  ownership.start({
    handleAcquired: (acquired) => { owned.push({ ...acquired, cellEpoch: ownership.readCellEpoch() }) },
    handleLost: () => {},
    handleVmChange: () => {}
  })
  return { clock, table, transactions, owned, state, sessions, ownership, writeRow }
}

test('each change of an owner row checks the session of this entry and the row itself', async () => {
  const owner = createOwner()
  owner.table.setVm(VM)
  await owner.clock.runFor(3_000)
  owner.ownership.requestEpoch('w', 9)
  await owner.clock.runFor(3_000)
  const changes = owner.transactions.filter(({ writes }) => writes.some(({ key }) => key === 'owner/w'))
  assert.is(changes.length, 2)
  for (const { checks } of changes) assert.equal(checks.map(({ key }) => key).sort(), ['owner/w', 'session/e'])
  assert.equal(owner.owned.map(({ epoch, continuous }) => [epoch, continuous]), [[1, false], [9, true]])
})

test('the listener learns of a worker only from a read newer than its takeover', async () => {
  const owner = createOwner()
  await owner.clock.runFor(3_000)
  owner.state.frozenSnapshot = owner.table.createSnapshot()
  owner.writeRow('cell/c', { incarnation: 's', epoch: 7 })
  owner.table.setVm(VM)
  await owner.clock.runFor(4_000)
  assert.is((owner.table.findRow('owner/w')!.value as { epoch: number }).epoch, 1)
  assert.equal(owner.owned, [])
  owner.state.frozenSnapshot = null
  await owner.clock.runFor(2_000)
  assert.equal(owner.owned.map(({ cellEpoch }) => cellEpoch), [7])
})

test('reads of an old snapshot do not confirm ownership', async () => {
  const owner = createOwner()
  owner.table.setVm(VM)
  await owner.clock.runFor(5_000)
  owner.state.frozenSnapshot = owner.table.createSnapshot()
  const frozenMs = owner.clock.nowMs()
  await owner.clock.runFor(10_000)
  assert.ok(owner.sessions.readLastRenewalMs() > frozenMs)
  assert.ok(owner.ownership.readConfirmedMs() <= frozenMs)
  owner.state.frozenSnapshot = null
  await owner.clock.runFor(3_000)
  assert.ok(owner.ownership.readConfirmedMs() > frozenMs + 9_000)
})

test('ownership that was interrupted between two reads is not continuous', async () => {
  const owner = createOwner()
  owner.table.setVm(VM)
  await owner.clock.runFor(3_000)
  owner.writeRow('owner/w', { incarnation: 'other', epoch: 2, unfenced: ['i'] })
  owner.writeRow('owner/w', { incarnation: 'i', epoch: 3, unfenced: ['other'] })
  await owner.clock.runFor(2_000)
  assert.equal(owner.owned.map(({ epoch, continuous }) => [epoch, continuous]), [[1, false], [3, false]])
})

test('a pause shorter than the session timeout changes no owner row', async () => {
  const cell = createMembershipCell(CELL)
  await cell.runFor(8_000)
  const readEpochs = (): unknown[] => cell.workers.map(({ id }) => cell.table.findRow(`owner/${id}`)!.value)
  const before = readEpochs()
  cell.entries[0]!.process.pause(0)
  await cell.runFor(3_000)
  cell.entries[0]!.process.resume()
  await cell.runFor(10_000)
  assert.equal(readEpochs(), before)
})

test('a replaced incarnation is fenced only after its own view of its session has expired', async () => {
  const cell = createMembershipCell(CELL)
  await cell.runFor(8_000)
  const { incarnation } = cell.entries[0]!
  cell.startEntry(0)
  const isFenced = (): boolean => cell.entries[1]!.ownership.isFenced(incarnation)
  await cell.runFor(5_000)
  assert.not.ok(isFenced())
  await cell.runFor(10_000)
  assert.ok(isFenced())
})

test('graceful shutdown hands over all workers within a few seconds', async () => {
  const cell = createMembershipCell(CELL)
  await cell.runFor(8_000)
  const stopping = cell.stopEntry(0)
  await cell.runFor(4_000)
  await stopping
  assert.equal(cell.entries[1]!.workerManager.listOwnedWorkers().filter(({ hasContact }) => hasContact).length, 3)
  assert.is(cell.table.findRow('session/e0')!.value, null)
  assert.equal(cell.oracle.violations, [])
  assert.is(cell.oracle.countStarts(), CELL.taskCount)
})

test.run()
