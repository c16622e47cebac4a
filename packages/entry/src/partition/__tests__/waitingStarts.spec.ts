/** Workers that change while orders to them wait: their capacity shrinks and grows, or they are lost. */
import { ACCEPTED_STATE, createPartitionPlanner, type Resources, type WorkerInfo } from '@fuchsiatally/core'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { ok } from 'neverthrow'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createHolderLoad } from '../holderLoad.js'
import { createPartitionWorkerController } from '../partitionWorkerController.js'
import { createStartWindow } from '../startWindow.js'
import { createPartitionCluster, createTestJob, type PartitionCluster } from '../../testing/partitionCluster.js'
import { readState, startEntries, submitJob } from '../../testing/partitionClusterSteps.js'

const FULL: Resources = { processors: 8, memoryMb: 16_384, accelerators: 0 }
const SHRUNK: Resources = { ...FULL, processors: 3 }
const INFO: WorkerInfo = { id: 'w1', failureDomain: 'a', labels: ['kind', 'rack'], capacity: FULL, draining: false }
const RUN_MS = 1000
/** Time for which the former capacity still counts, in milliseconds, as the users define it. */
const GRACE_MS = 3000

/** Starts a controller of a worker that answers all calls, with a window of one start that is taken. */
async function startController () {
  const clock = createFakeClock()
  const events = createMemoryEventLog()
  const planner = createPartitionPlanner()
  const startWindow = createStartWindow({ limit: 1, slowResponseMs: 100, clock, maxWaitMs: 500, onQueueEmpty: () => {} })
  const sent: number[] = []
  planner.setWorker(INFO)
  const controller = createPartitionWorkerController({
    worker: INFO.id,
    address: 'w1:1',
    client: {
      renewLease: async () => {
        await new Promise<void>((resolve) => { clock.setTimer(20, resolve) })
        return ok({ kind: 'held', clockMs: clock.nowMs(), bornAtMs: 1, running: [], ended: [], hasMoreEnds: false })
      },
      startRun: async (order) => {
        sent.push(order.index)
        return ok({ kind: 'started', clockMs: clock.nowMs() })
      },
      stopRun: async () => ok({ kind: 'answered' }),
      dispose: () => {}
    },
    epoch: 1,
    termStartedAtMs: 0,
    maxLeaseMs: 3000,
    planner,
    clock,
    events,
    load: createHolderLoad({ partition: 'pages', epoch: 1, clock, events, readBacklog: () => ({ steps: 0, tasks: 0 }) }),
    startWindow,
    computeGrantMs: () => 3000,
    readListedBirthMs: () => null,
    onChange: () => {},
    isDraining: () => false,
    onReplaced: () => {},
    isReplaced: () => false,
    onDeposed: () => {}
  })
  await clock.runFor(100)
  await startWindow.waitForSlot(clock.nowMs(), true)
  planner.addJob('j', createTestJob(clock, 8), ACCEPTED_STATE, clock.nowMs())
  const { starts } = planner.decide(clock.nowMs(), clock.wallMs(), () => true)
  assert.is(starts.length, 8)
  return { clock, planner, controller, startWindow, starts, sent }
}

function buildId (job: number): string {
  return job.toString(16).padStart(16, '0')
}

function setCapacity (cluster: PartitionCluster, id: string, capacity: Resources): void {
  cluster.table.writeRow('servers', id, { ...cluster.workers.get(id)!.listing, capacity })
}

/** Highest number of runs, of one processor each, right after a start at or after `fromMs`. */
function countMostRunning (cluster: PartitionCluster, fromMs: number): number {
  let most = 0
  for (const { startedAtMs } of cluster.started) {
    if (startedAtMs < fromMs) continue
    const running = cluster.started.filter((run) => run.startedAtMs <= startedAtMs && (run.endedAtMs === null || run.endedAtMs > startedAtMs))
    most = Math.max(most, running.length)
  }
  return most
}

// Guards against LIMIT: starts at a worker by the capacity that it had.
test('a worker that shrinks below what runs there takes no start until there is room, and all of its room once it grows', async () => {
  const cluster = createPartitionCluster({ planRun: () => ({ durationMs: RUN_MS, how: 'done' }) })
  cluster.addWorker('w1', FULL)
  const [entry] = await startEntries(cluster, ['a'])
  for (let job = 1; job <= 10; job++) await submitJob(cluster, entry!, buildId(job), 8)
  setCapacity(cluster, 'w1', SHRUNK)
  const shrunkAtMs = cluster.clock.nowMs()
  await cluster.clock.runFor(8000)
  assert.is(countMostRunning(cluster, shrunkAtMs + GRACE_MS), SHRUNK.processors)
  setCapacity(cluster, 'w1', FULL)
  const grownAtMs = cluster.clock.nowMs()
  await cluster.clock.runFor(4000)
  assert.is(countMostRunning(cluster, grownAtMs), FULL.processors)
  await cluster.clock.runFor(20_000)
  for (let job = 1; job <= 10; job++) assert.is(await readState(cluster, entry!, buildId(job)), 'completed')
})

// Guards against LIMIT: an order that waited for its commit or its turn while the worker shrank.
test('a start that waits in the window is not sent to a worker that has shrunk meanwhile', async () => {
  const { clock, planner, controller, startWindow, starts, sent } = await startController()
  for (const order of starts) controller.startRun(order, 0)
  await clock.runFor(100)
  assert.equal(sent, [])
  planner.setWorker({ ...INFO, capacity: SHRUNK })
  startWindow.releaseSlot(null)
  await clock.runFor(100)
  assert.is(sent.length, SHRUNK.processors, `${sent.length} of ${starts.length} starts were sent`)
})

// Guards against TWICE: a start that waited for its commit was sent although its worker was lost meanwhile and the task placed elsewhere.
test('a start whose task was released while it waited for its commit is not sent', async () => {
  const { clock, planner, controller, startWindow, starts, sent } = await startController()
  planner.recordWorkerLost(INFO.id, { kind: 'crashed', failedAtMs: clock.nowMs(), nowMs: clock.nowMs(), wallMs: clock.wallMs() })
  for (const order of starts) controller.startRun(order, 0)
  startWindow.releaseSlot(null)
  await clock.runFor(3000)
  assert.equal(sent, [])
})

test.run()
