import { type AttemptId, type StartCommand } from '@fuchsiatally/core'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createFakeMesh } from '../fakeMesh.js'
import { createWorkerModel, type WorkerModel } from '../workerModel.js'

const RESOURCES = { processors: 10, memoryMb: 1024, accelerators: 0 }
const createAttemptId = (attempt: number): AttemptId => ({ job: 'j', task: 0, attempt })
const createStart = (worker: WorkerModel, epoch: number, attempt: number, runMs = 60_000): StartCommand => {
  return { epoch, workerIncarnation: worker.readIncarnation(), id: createAttemptId(attempt), resources: RESOURCES, payload: JSON.stringify({ runMs }) }
}

function createWorker (): { worker: WorkerModel, clock: ReturnType<typeof createFakeClock>, renew: (epoch: number, forMs: number) => ReturnType<WorkerModel['renewLease']> } {
  const clock = createFakeClock()
  const worker = createWorkerModel({ id: 'w', clock, random: createSeededRandom(1) })
  const renew = (epoch: number, forMs: number): ReturnType<WorkerModel['renewLease']> => {
    const notAfterMs = forMs === 0 ? 0 : worker.readClockMs() + forMs
    return worker.renewLease({ owner: 'e', epoch, workerIncarnation: worker.readIncarnation(), notAfterMs, acknowledged: [] })
  }
  return { worker, clock, renew }
}

test('an expired lease stops the tasks and rejects starts until a higher epoch holds a lease', () => {
  const { worker, clock, renew } = createWorker()
  assert.is(worker.startTask(createStart(worker, 0, 1)).result, 'leaseLapsed')
  renew(1, 1000)
  assert.is(worker.startTask(createStart(worker, 1, 1)).result, 'accepted')
  assert.is(worker.startTask(createStart(worker, 1, 2)).result, 'noRoom')
  clock.advance(1001)
  assert.is(worker.listRuns()[0]?.result, 'lapsed')
  renew(1, 5000)
  assert.is(worker.startTask(createStart(worker, 1, 2)).result, 'leaseLapsed')
  renew(2, 0)
  assert.is(worker.startTask(createStart(worker, 2, 2)).result, 'leaseLapsed')
  renew(2, 5000)
  assert.is(worker.startTask(createStart(worker, 2, 1)).result, 'ended')
  assert.is(worker.startTask(createStart(worker, 2, 2)).result, 'accepted')
  assert.is(worker.startTask(createStart(worker, 1, 3)).result, 'staleEpoch')
  assert.equal(renew(1, 9000), { refused: true, epoch: 2 })
})

test('a lease expires without a further call, also when rounding errors put the timer just before its end', () => {
  const firstMs = 29846.33546879627
  const secondMs = 30210.61793472298
  const clock = createFakeClock()
  const worker = createWorkerModel({ id: 'w', clock, random: createSeededRandom(1), clockStartMs: 549682 })
  clock.advance(firstMs - clock.nowMs())
  const readMs = worker.readClockMs()
  clock.advance(secondMs - clock.nowMs())
  const notAfterMs = readMs + (secondMs - firstMs) + 10_000
  worker.renewLease({ owner: 'e', epoch: 1, workerIncarnation: worker.readIncarnation(), notAfterMs, acknowledged: [] })
  worker.startTask(createStart(worker, 1, 1))
  clock.advance(11_000)
  assert.is(worker.listRunning().length, 0)
})

test('a stop rejects a later start of the attempt, and ended attempts are reported until acknowledged', () => {
  const { worker, clock, renew } = createWorker()
  renew(1, 60_000)
  worker.stopTask({ epoch: 1, workerIncarnation: worker.readIncarnation(), id: createAttemptId(1), mode: 'stop' })
  assert.is(worker.startTask(createStart(worker, 1, 1)).result, 'ended')
  worker.startTask(createStart(worker, 1, 2, 100))
  clock.advance(100)
  const response = worker.renewLease({ owner: 'e', epoch: 1, workerIncarnation: '', notAfterMs: 0, acknowledged: [createAttemptId(1)] })
  assert.equal(response.refused ? [] : response.report.ended.map((item) => item.result), ['completed'])
  assert.is(worker.startTask(createStart(worker, 1, 1)).result, 'ended')
})

test('a restarted worker rejects commands and leases for its previous incarnation', () => {
  const { worker, clock, renew } = createWorker()
  renew(1, 60_000)
  const start = createStart(worker, 1, 1)
  const previousIncarnation = worker.readIncarnation()
  worker.restart()
  worker.renewLease({ owner: 'e', epoch: 1, workerIncarnation: previousIncarnation, notAfterMs: worker.readClockMs() + 60_000, acknowledged: [] })
  assert.is(worker.startTask(start).result, 'otherIncarnation')
  assert.is(worker.startTask(createStart(worker, 1, 1)).result, 'leaseLapsed')
  clock.advance(1)
  assert.is(worker.listRunning().length, 0)
})

test('a mesh delivers in order, loses the messages in flight on a reset link, and reports a cut after the link timeout', async () => {
  const clock = createFakeClock()
  const mesh = createFakeMesh({ clock })
  const [a, b] = ['a', 'b'].map((entry) => mesh.addEntry({ entry, incarnation: entry, failureDomain: 'd' }))
  const received: number[] = []
  const changes: string[] = []
  b!.onMessage('configPull', (message) => received.push(message.newerThan))
  a!.onPeerChange((peer, change) => changes.push(`${peer.entry} ${change}`))
  clock.advance(1)
  a!.sendMessage('b', { type: 'configPull', newerThan: 1 })
  a!.sendMessage('b', { type: 'configPull', newerThan: 2 })
  clock.advance(5)
  a!.sendMessage('b', { type: 'configPull', newerThan: 3 })
  mesh.resetLink('a', 'b')
  clock.advance(5)
  mesh.setCut('a', 'b')
  assert.is(a!.sendMessage('b', { type: 'configPull', newerThan: 4 }), true)
  clock.advance(3000)
  assert.is(a!.sendMessage('b', { type: 'configPull', newerThan: 5 }), false)
  assert.equal(received, [1, 2])
  assert.equal(changes, ['b up', 'b down', 'b up', 'b down'])
})

test.run()
