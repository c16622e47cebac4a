/** Workers that restart under the same id, which a holder notices with the next report only. */
import { ACCEPTED_STATE, createPartitionPlanner } from '@fuchsiatally/core'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { err, ok } from 'neverthrow'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createHolderLoad } from '../holderLoad.js'
import { createPartitionWorkerController } from '../partitionWorkerController.js'
import { createStartWindow } from '../startWindow.js'
import { createPartitionCluster, createTestJob, type ClusterEntry, type PartitionCluster } from '../../testing/partitionCluster.js'
import { checkNoConcurrentRuns, checkNoStartAfterEnd, readState, splitByHolder, startEntries, submitJob, waitForLateCall } from '../../testing/partitionClusterSteps.js'
import type { PartitionWorkerModel } from '../../testing/partitionWorkerModel.js'

const JOB = '0000000000000001'
const OTHER_JOB = '0000000000000002'
const TASKS = 6

// Guards against TWICE: a run that had started in the next life of its worker was started again elsewhere once the restart was noticed.
test('runs that start in the next life of a worker before its first report are not started again', async () => {
  const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 3000, how: 'done' }) })
  for (const id of ['w1', 'w2']) cluster.addWorker(id)
  const [entry] = await startEntries(cluster, ['a'])
  for (const worker of cluster.workers.values()) worker.restart()
  await submitJob(cluster, entry!, JOB, TASKS)
  await cluster.clock.runFor(12_000)
  checkNoConcurrentRuns(cluster)
  assert.is(cluster.started.length, TASKS)
  assert.is(await readState(cluster, entry!, JOB), 'completed')
})

// Guards against TWICE: the next life of a worker had taken a lease that ends on the clock of the life before, and was cut off.
test('runs of a worker that is cut off right after its restart are not started elsewhere while its lease lasts', async () => {
  const cluster = createPartitionCluster({ maxLeaseMs: 10_000, planRun: () => ({ durationMs: 30_000, how: 'done' }) })
  const worker = cluster.addWorker('w1')
  const [entry] = await startEntries(cluster, ['a'])
  await cluster.clock.runFor(10_000)
  worker.restart()
  await submitJob(cluster, entry!, JOB, TASKS)
  await cluster.clock.runFor(1500)
  assert.is(cluster.started.length, TASKS)
  worker.faults.cut = true
  cluster.addWorker('w2')
  await cluster.clock.runFor(30_000)
  assert.ok(cluster.started.length > TASKS, 'the tasks run again')
  checkNoConcurrentRuns(cluster)
})

const HOLD_MAX_MS = 10_000
const LONG_RUN_MS = 30_000

/** Creates a cluster in which tasks run long, and whose first worker has been up for 10 s. */
async function createLongRuns (names: readonly string[], maxLeaseMs = HOLD_MAX_MS): Promise<{ cluster: PartitionCluster, worker: PartitionWorkerModel, entries: ClusterEntry[] }> {
  const cluster = createPartitionCluster({ maxLeaseMs, planRun: () => ({ durationMs: LONG_RUN_MS, how: 'done' }) })
  const worker = cluster.addWorker('w1')
  const entries = await startEntries(cluster, names)
  await cluster.clock.runFor(10_000)
  return { cluster, worker, entries }
}

/** Cuts the worker off, adds another one, and checks that the tasks run again there once they have ended, and within a bounded time. */
async function checkRunsAfterCut (cluster: PartitionCluster, worker: PartitionWorkerModel, maxWaitMs: number): Promise<void> {
  worker.faults.cut = true
  cluster.addWorker('w2')
  await cluster.clock.runFor(maxWaitMs)
  checkNoConcurrentRuns(cluster)
  assert.ok(cluster.started.filter(({ worker: id }) => id === 'w2').length >= TASKS, 'the tasks run again')
}

// Guards against TWICE: starts by the clock of a worker's former life are leased for the longest time by its next one, whose first report never came.
test('runs that were confirmed by the next life of a worker, which is cut off before its first report, are not started elsewhere while they may run', async () => {
  const { cluster, worker, entries } = await createLongRuns(['a'])
  worker.restart(true)
  await submitJob(cluster, entries[0]!, JOB, TASKS)
  await cluster.clock.runFor(300)
  assert.is(cluster.started.length, TASKS)
  await checkRunsAfterCut(cluster, worker, HOLD_MAX_MS + 4000)
})

for (const reachesSuccessor of [true, false]) {
  // Guards against TWICE: a successor takes for granted that its predecessor granted leases by the clock of the worker's life.
  test(`runs in the next life of a worker, which is cut off ${reachesSuccessor ? 'after' : 'before'} the first report to a new holder, are not started elsewhere while they may run`, async () => {
    const { cluster, worker, entries } = await createLongRuns(['a', 'b'], 2 * HOLD_MAX_MS)
    const { holder, other } = splitByHolder(cluster, entries)
    worker.restart(true)
    cluster.table.writeRow('servers', 'w1', { ...worker.listing, bornAtMs: cluster.clock.wallMs() })
    await submitJob(cluster, other, JOB, TASKS)
    await cluster.clock.runFor(300)
    assert.is(cluster.started.length, TASKS)
    holder.kill()
    if (reachesSuccessor) await cluster.clock.runFor(3000)
    await checkRunsAfterCut(cluster, worker, 2 * HOLD_MAX_MS + 12_000)
  })
}

// Guards against TWICE: a start that carries a deadline by the clock of the former life is executed seconds after the next one was noticed.
test('a late start by the clock of the former life of a worker does not extend a lease unnoticed', async () => {
  const { cluster, worker, entries } = await createLongRuns(['a'])
  await cluster.clock.runFor(10_000)
  worker.restart(true)
  worker.faults.delayCall = () => ({ afterMs: 6000 })
  await submitJob(cluster, entries[0]!, OTHER_JOB, 1)
  worker.faults.delayCall = () => null
  await submitJob(cluster, entries[0]!, JOB, TASKS)
  await cluster.clock.runFor(6500)
  await checkRunsAfterCut(cluster, worker, HOLD_MAX_MS + 10_000)
})

// Guards against TWICE: an order without a response is forgotten with a worker that is no longer listed, while another life of it runs the task.
test('runs that the next life of a worker started without a response are not started elsewhere while they may run, although it is no longer listed', async () => {
  const { cluster, worker, entries } = await createLongRuns(['a'])
  worker.restart(true)
  worker.faults.delayCall = () => ({ afterMs: 5 })
  await submitJob(cluster, entries[0]!, JOB, TASKS)
  await cluster.clock.runFor(100)
  assert.is(cluster.started.length, TASKS)
  worker.faults.cut = true
  await cluster.clock.runFor(4500)
  cluster.table.deleteRow('servers', 'w1')
  await checkRunsAfterCut(cluster, worker, HOLD_MAX_MS + 2000)
})

for (const isConfirmed of [true, false]) {
  // Guards against TWICE: the first lease call to the next life acknowledged its ends by the numbers of the former one, unseen, and their tasks ran again.
  test(`tasks that ended in the next life of a worker before its first report, after a start ${isConfirmed ? 'with' : 'without'} a response, are not started again`, async () => {
    const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 100, how: 'done' }) })
    const worker = cluster.addWorker('w1')
    const [entry] = await startEntries(cluster, ['a'])
    await submitJob(cluster, entry!, OTHER_JOB, 40)
    await cluster.clock.runFor(3000)
    worker.restart(true)
    if (!isConfirmed) worker.faults.delayCall = () => ({ afterMs: 5 })
    await submitJob(cluster, entry!, JOB, TASKS)
    worker.faults.delayCall = () => null
    await cluster.clock.runFor(10_000)
    assert.is(await readState(cluster, entry!, JOB), 'completed')
    assert.is(cluster.started.filter(({ job }) => job === JOB).length, TASKS)
  })
}

// Guards against TWICE: the next life of a worker knows of no run that the former one has ended or been told to stop, and starts it on a late order.
test('orders without a response that a worker executes late, after a restart that its holder has noticed, start nothing', async () => {
  const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 100, how: 'done' }) })
  const worker = cluster.addWorker('w1')
  const [entry] = await startEntries(cluster, ['a'])
  await cluster.clock.runFor(3000)
  worker.faults.delayCall = () => ({ afterMs: 4000 })
  await submitJob(cluster, entry!, JOB, TASKS)
  worker.faults.delayCall = () => null
  await cluster.clock.runFor(1500)
  assert.is(await readState(cluster, entry!, JOB), 'completed')
  worker.restart()
  await cluster.clock.runFor(10_000)
  assert.is(cluster.started.length, TASKS)
  checkNoStartAfterEnd(cluster)
})

// Guards against TWICE: a lease call that the next life of a worker executed late acknowledged ends that no one had seen, and their tasks ran again.
test('a lease call that the next life of a worker executes late acknowledges no ends of its own', async () => {
  const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 100, how: 'done' }) })
  const worker = cluster.addWorker('w1')
  const [entry] = await startEntries(cluster, ['a'])
  await submitJob(cluster, entry!, OTHER_JOB, 40)
  await cluster.clock.runFor(3000)
  await waitForLateCall(cluster, worker, 2000)
  worker.restart(true)
  await submitJob(cluster, entry!, JOB, TASKS)
  await cluster.clock.runFor(150)
  worker.faults.cut = true
  await cluster.clock.runFor(2500)
  worker.faults.cut = false
  await cluster.clock.runFor(10_000)
  assert.is(await readState(cluster, entry!, JOB), 'completed')
  assert.is(cluster.started.filter(({ job }) => job === JOB).length, TASKS)
})

// Guards against LOST: tasks wait for the longest lease of an unknown life, and for the last moment at which an order may be executed, but for no longer.
test('tasks of a worker that is lost for good right after a restart with unanswered starts run again within 24 s', async () => {
  const { cluster, worker, entries } = await createLongRuns(['a'])
  worker.faults.delayCall = () => ({ afterMs: 5 })
  await submitJob(cluster, entries[0]!, JOB, TASKS)
  await cluster.clock.runFor(100)
  worker.faults.delayCall = () => null
  worker.restart()
  await cluster.clock.runFor(500)
  await checkRunsAfterCut(cluster, worker, 24_000)
})

// A start shows the next life by its clock, also where the holder was between two lease calls.
for (const gapMs of [1, 5, 20, 100]) {
  test(`tasks that ended in the next life of a worker that was back within ${gapMs} ms between two lease calls are not started again`, async () => {
    const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 20, how: 'done' }) })
    const worker = cluster.addWorker('w1')
    const [entry] = await startEntries(cluster, ['a'])
    await submitJob(cluster, entry!, OTHER_JOB, 40)
    await cluster.clock.runFor(3000 + gapMs)
    await submitJob(cluster, entry!, 'ffff000000000003', 1)
    await cluster.clock.runFor(gapMs)
    worker.restart()
    await submitJob(cluster, entry!, JOB, TASKS)
    await cluster.clock.runFor(10_000)
    assert.is(await readState(cluster, entry!, JOB), 'completed')
    assert.is(cluster.started.filter(({ job }) => job === JOB).length, TASKS)
  })
}

// Guards against LOST: the lease of a worker that restarted while a start was being tried seemed to last for minutes, by the clock of its former life.
test('a start is not tried again with a deadline by the clock of the worker\'s former life', async () => {
  const clock = createFakeClock()
  const events = createMemoryEventLog()
  const planner = createPartitionPlanner()
  const worker = { bornAtMs: 1, offsetMs: 500_000 }
  const readClock = (): number => clock.nowMs() + worker.offsetMs
  const deadlines: number[] = []
  planner.setWorker({ id: 'w1', failureDomain: 'a', labels: [], capacity: { processors: 8, memoryMb: 16_384, accelerators: 0 }, draining: false })
  const controller = createPartitionWorkerController({
    worker: 'w1',
    address: 'w1:1',
    client: {
      renewLease: async () => {
        await new Promise<void>((resolve) => { clock.setTimer(20, resolve) })
        return ok({ kind: 'held', clockMs: readClock(), bornAtMs: worker.bornAtMs, running: [], ended: [], hasMoreEnds: false })
      },
      startRun: async (_order, _epoch, untilMs, timeoutMs) => {
        deadlines.push(untilMs - readClock())
        await new Promise<void>((resolve) => { clock.setTimer(timeoutMs, resolve) })
        return err({ kind: 'unknown', message: 'no response' })
      },
      stopRun: async () => ok({ kind: 'answered' }),
      dispose: () => {}
    },
    epoch: 1,
    termStartedAtMs: 0,
    maxLeaseMs: HOLD_MAX_MS,
    planner,
    clock,
    events,
    load: createHolderLoad({ partition: 'pages', epoch: 1, clock, events, readBacklog: () => ({ steps: 0, tasks: 0 }) }),
    startWindow: createStartWindow({ limit: 8, slowResponseMs: 100, clock, maxWaitMs: 500, onQueueEmpty: () => {} }),
    computeGrantMs: () => 3000,
    readListedBirthMs: () => null,
    onChange: () => {},
    isDraining: () => false,
    onReplaced: () => {},
    isReplaced: () => false,
    onDeposed: () => {}
  })
  await clock.runFor(100)
  planner.addJob(JOB, createTestJob(clock, 1), ACCEPTED_STATE, clock.nowMs())
  const [start] = planner.decide(clock.nowMs(), clock.wallMs(), () => true).starts
  controller.startRun(start!, 10)
  await clock.runFor(50)
  worker.bornAtMs = 2
  worker.offsetMs = -100
  await clock.runFor(5000)
  controller.dispose()
  assert.ok(deadlines.length > 0)
  assert.ok(Math.max(...deadlines) <= 3000, `deadlines in ${deadlines.join(', ')} ms`)
})

test.run()
