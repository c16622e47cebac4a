/** Worker manager of one owner: which desired sets are accepted, and the effects of lease expiry, worker restart and worker loss. */
import type { Vm, WorkerDesired, WorkerObserved } from '@fuchsiatally/core'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Sessions } from '../../ports.js'
import { createFakeMesh } from '../../testing/fakeMesh.js'
import { createFakeWorkerClient, createWorkerLinkFaults } from '../../testing/fakeWorkerClient.js'
import { createWorkerModel } from '../../testing/workerModel.js'
import type { Ownership } from '../ownership.js'
import { createWorkerManager } from '../workerManager.js'

const RESOURCES = { processors: 1, memoryMb: 1, accelerators: 0 }
const VM: Vm = {
  id: 'w', state: 'live', failureDomain: 'a', rack: 'r', pool: 'p', address: 'w', resources: RESOURCES, runners: []
}
const TOLERANCE_MS = 20_000

function createOwner () {
  const clock = createFakeClock()
  const random = createSeededRandom(3)
  const log = createMemoryEventLog()
  const model = createWorkerModel({ id: 'w', clock, random: createSeededRandom(4) })
  const faults = createWorkerLinkFaults()
  const observed: WorkerObserved[] = []
  const requestedEpochs: number[] = []
  const state = { valid: true, cellEpoch: 0, confirmedMs: null as number | null }
  const ownership = {
    readConfirmedMs: () => state.confirmedMs ?? clock.nowMs(),
    requestEpoch: (_: string, epoch: number) => { requestedEpochs.push(epoch) },
    recordContact: () => {}
  } as unknown as Ownership
  const manager = createWorkerManager({
    sessions: { incarnation: 'o', isValid: () => state.valid } as Sessions,
    clock,
    random,
    log,
    mesh: createFakeMesh({ clock }).addEntry({ entry: 'o', incarnation: 'o', failureDomain: 'a' }),
    ownership,
    createClient: () => createFakeWorkerClient({ model, clock, random, faults }),
    outageToleranceMs: TOLERANCE_MS,
    readCellEpoch: () => state.cellEpoch,
    findScheduler: () => 'o',
    onObserved: (message) => { observed.push(message) }
  })
  const sendDesired = (change: Partial<WorkerDesired>): void => {
    const task = { id: { job: 'j', task: change.sequence ?? 1, attempt: 1 }, resources: RESOURCES, payload: '{"runMs":1000000000}' }
    const base = { type: 'workerDesired' as const, worker: 'w', cellEpoch: 1, sequence: 1, workerEpoch: 1, run: [task], end: [], acknowledged: [] }
    manager.handleDesired({ ...base, ...change }, 's')
  }
  const listRunning = (): number[] => model.listRunning().map(({ id }) => id.task)
  return { clock, log, model, faults, observed, requestedEpochs, state, manager, sendDesired, listRunning }
}

async function createConnectedOwner (): Promise<ReturnType<typeof createOwner>> {
  const owner = createOwner()
  owner.manager.handleAcquired({ vm: VM, epoch: 1, continuous: false })
  await owner.clock.runFor(100)
  return owner
}

test('a desired set is accepted only for the worker epoch that it was computed for', async () => {
  const owner = await createConnectedOwner()
  owner.sendDesired({ workerEpoch: 2 })
  await owner.clock.runFor(2_000)
  assert.equal(owner.listRunning(), [])
  owner.sendDesired({})
  await owner.clock.runFor(2_000)
  assert.equal(owner.listRunning(), [1])
  owner.manager.handleAcquired({ vm: VM, epoch: 2, continuous: true })
  owner.sendDesired({ sequence: 2 })
  await owner.clock.runFor(2_000)
  assert.equal(owner.listRunning(), [1])
  assert.is(owner.observed.at(-1)!.desiredSequence, 0)
})

test('a set with held tasks starts nothing and is confirmed only after a later response of the worker', async () => {
  const owner = await createConnectedOwner()
  const held = { id: { job: 'g', task: 0, attempt: 1 }, resources: RESOURCES, payload: '{"runMs":1000000000}', held: true }
  owner.faults.silent = true
  owner.sendDesired({ sequence: 4, run: [held] })
  await owner.clock.runFor(1_900)
  assert.is(owner.observed.at(-1)!.desiredSequence, 0)
  owner.faults.silent = false
  await owner.clock.runFor(3_000)
  assert.is(owner.observed.at(-1)!.desiredSequence, 4)
  assert.equal(owner.listRunning(), [])
  owner.sendDesired({ sequence: 5, run: [{ ...held, held: false }] })
  await owner.clock.runFor(1_000)
  assert.equal(owner.listRunning(), [0])
})

test('desired sets of a deposed scheduler and late ones are ignored', async () => {
  const owner = await createConnectedOwner()
  owner.state.cellEpoch = 5
  owner.sendDesired({ cellEpoch: 4 })
  await owner.clock.runFor(2_000)
  assert.equal(owner.listRunning(), [])
  owner.sendDesired({ cellEpoch: 6, sequence: 8 })
  await owner.clock.runFor(2_000)
  assert.equal(owner.listRunning(), [8])
  owner.sendDesired({ cellEpoch: 5, sequence: 9 })
  owner.sendDesired({ cellEpoch: 6, sequence: 7 })
  await owner.clock.runFor(2_000)
  assert.equal(owner.listRunning(), [8])
  owner.sendDesired({ cellEpoch: 7, sequence: 2 })
  await owner.clock.runFor(2_000)
  assert.equal(owner.listRunning(), [2])
})

test('a first contact without a valid session starts nothing', async () => {
  const owner = createOwner()
  owner.state.valid = false
  owner.manager.handleAcquired({ vm: VM, epoch: 1, continuous: false })
  owner.sendDesired({})
  await owner.clock.runFor(5_000)
  assert.equal(owner.listRunning(), [])
  assert.not.ok(owner.manager.listOwnedWorkers()[0]!.hasContact)
  owner.state.valid = true
  await owner.clock.runFor(3_000)
  assert.equal(owner.listRunning(), [1])
  owner.state.valid = false
  await owner.clock.runFor(15_000)
  assert.equal(owner.listRunning(), [1])
  assert.ok(owner.manager.listOwnedWorkers()[0]!.hasContact)
})

test('after a worker restart nothing starts until the next epoch', async () => {
  const owner = await createConnectedOwner()
  owner.sendDesired({})
  await owner.clock.runFor(2_000)
  owner.model.restart()
  await owner.clock.runFor(5_000)
  assert.equal(owner.listRunning(), [])
  assert.not.ok(owner.manager.listOwnedWorkers()[0]!.hasContact)
  assert.ok(owner.requestedEpochs.every((epoch) => epoch === 2) && owner.requestedEpochs.length > 0)
  owner.manager.handleAcquired({ vm: VM, epoch: 2, continuous: true })
  owner.sendDesired({ workerEpoch: 2, sequence: 3 })
  await owner.clock.runFor(2_000)
  assert.equal(owner.listRunning(), [3])
})

test('a worker that does not respond becomes unreachable, then lost until the next epoch', async () => {
  const owner = await createConnectedOwner()
  owner.sendDesired({})
  await owner.clock.runFor(2_000)
  owner.faults.silent = true
  await owner.clock.runFor(9_000)
  assert.is(owner.observed.at(-1)!.state, 'unreachable')
  await owner.clock.runFor(6_000)
  assert.is(owner.observed.at(-1)!.state, 'lost')
  owner.faults.silent = false
  await owner.clock.runFor(5_000)
  assert.is(owner.observed.at(-1)!.state, 'lost')
  assert.equal(owner.listRunning(), [])
  assert.ok(owner.requestedEpochs.includes(2))
  owner.manager.handleAcquired({ vm: VM, epoch: 2, continuous: true })
  await owner.clock.runFor(2_000)
  assert.is(owner.observed.at(-1)!.state, 'reachable')
})

test('without confirmed ownership leases expire after the outage tolerance, and no worker is declared lost', async () => {
  const owner = await createConnectedOwner()
  owner.sendDesired({})
  owner.state.confirmedMs = owner.clock.nowMs()
  await owner.clock.runFor(TOLERANCE_MS + 8_000)
  assert.equal(owner.listRunning(), [1])
  await owner.clock.runFor(4_000)
  assert.equal(owner.listRunning(), [])
  owner.faults.silent = true
  await owner.clock.runFor(60_000)
  assert.is(owner.observed.at(-1)!.state, 'unreachable')
  owner.state.confirmedMs = null
  await owner.clock.runFor(2_000)
  assert.is(owner.observed.at(-1)!.state, 'lost')
})

test('a new owner that never reached the worker waits until leases of earlier owners have expired', async () => {
  const owner = createOwner()
  owner.faults.silent = true
  owner.manager.handleAcquired({ vm: VM, epoch: 2, continuous: false })
  await owner.clock.runFor(TOLERANCE_MS + 10_000)
  assert.is(owner.observed.at(-1)!.state, 'unreachable')
  await owner.clock.runFor(4_000)
  assert.is(owner.observed.at(-1)!.state, 'lost')
  owner.manager.handleVmChange({ ...VM, state: 'gone' })
  assert.is(owner.observed.at(-1)!.state, 'lost')
})

test('changes are reported immediately, unchanged state only at the repeat interval', async () => {
  const owner = await createConnectedOwner()
  owner.sendDesired({})
  await owner.clock.runFor(2_000)
  assert.equal(owner.observed.at(-1)!.running.map(({ task }) => task), [1])
  const before = owner.observed.length
  await owner.clock.runFor(30_000)
  const repeats = owner.observed.length - before
  assert.ok(repeats >= 3 && repeats <= 4, String(repeats))
  owner.sendDesired({ sequence: 2 })
  await owner.clock.runFor(100)
  assert.is(owner.observed.at(-1)!.desiredSequence, 2)
  assert.equal(owner.observed.at(-1)!.running.map(({ task }) => task), [2])
  owner.sendDesired({ sequence: 3, run: [] })
  await owner.clock.runFor(100)
  const countBeforeRepeats = owner.observed.length
  await owner.clock.runFor(5_000)
  assert.ok(owner.observed.length - countBeforeRepeats >= 4)
})

test('a worker whose VM is gone is lost immediately', async () => {
  const owner = await createConnectedOwner()
  owner.manager.handleVmChange({ ...VM, state: 'gone' })
  assert.is(owner.observed.at(-1)!.state, 'lost')
})

test('undesired attempts are stopped, and acknowledged ones are forgotten unless a start may still arrive', async () => {
  const owner = await createConnectedOwner()
  owner.sendDesired({})
  await owner.clock.runFor(2_000)
  const id = { job: 'j', task: 1, attempt: 1 }
  owner.sendDesired({ sequence: 2, run: [], end: [{ id, checkpoint: true }] })
  await owner.clock.runFor(2_000)
  assert.equal(owner.observed.at(-1)!.ended.map(({ result }) => result), ['stopped'])
  owner.sendDesired({ sequence: 3, run: [], acknowledged: [id] })
  await owner.clock.runFor(2_000)
  assert.equal(owner.observed.at(-1)!.ended, [])
  owner.faults.lostAnswerRate = 1
  const late = { ...id, task: 4 }
  owner.sendDesired({ sequence: 4, run: [{ id: late, resources: RESOURCES, payload: '{"runMs":1}' }] })
  await owner.clock.runFor(1_500)
  owner.faults.lostAnswerRate = 0
  owner.sendDesired({ sequence: 5, run: [], acknowledged: [late] })
  await owner.clock.runFor(3_000)
  assert.equal(owner.observed.at(-1)!.ended.map((ended) => ended.id), [late])
})

test.run()
