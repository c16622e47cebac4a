/** Workers with more ended runs than they list at a time. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPartitionCluster, type ClusterEntry, type PartitionCluster } from '../../testing/partitionCluster.js'
import { checkNoConcurrentRuns, readState, splitByHolder, startEntries, submitJob } from '../../testing/partitionClusterSteps.js'

const ROOMY = { processors: 10_000, memoryMb: 10_000_000, accelerators: 0 }
const JOBS = ['0000000000000001', '0000000000000002', '0000000000000003']
const TASKS_OF_JOB = 400
const RUN_MS = 6000

/** Starts 1,200 tasks at one worker, which end within 300 ms, 6 s later. */
async function startManyRuns (names: readonly string[]): Promise<{ cluster: PartitionCluster, entries: ClusterEntry[] }> {
  const cluster = createPartitionCluster({ planRun: ({ index }) => ({ durationMs: RUN_MS + index % 30 * 10, how: 'done' }) })
  cluster.addWorker('w1', ROOMY)
  const entries = await startEntries(cluster, names)
  for (const id of JOBS) await submitJob(cluster, entries[0]!, id, TASKS_OF_JOB)
  await cluster.clock.runFor(2000)
  assert.is(cluster.started.length, JOBS.length * TASKS_OF_JOB)
  return { cluster, entries }
}

async function checkAllRanOnce (cluster: PartitionCluster, entry: ClusterEntry): Promise<void> {
  for (const id of JOBS) assert.is(await readState(cluster, entry, id), 'completed')
  assert.is(cluster.started.length, JOBS.length * TASKS_OF_JOB, 'tasks were started again')
  checkNoConcurrentRuns(cluster)
}

// Guards against starting tasks again whose ends their worker does not list yet, because earlier ends wait for their commit.
test('no task is started again after an outage of the table during which more runs ended than a worker lists', async () => {
  const { cluster, entries } = await startManyRuns(['a', 'b'])
  await cluster.clock.runFor(3000)
  for (const { faults } of entries) faults.outage = 'busy'
  await cluster.clock.runFor(4400)
  for (const { faults } of entries) faults.outage = null
  await cluster.clock.runFor(5000)
  await checkAllRanOnce(cluster, entries[0]!)
})

// Guards against the same conclusion by a successor, whose first report leaves ends out, and against taking these runs for crashed.
test('a successor starts no task again whose end the first report of its worker leaves out', async () => {
  const { cluster, entries } = await startManyRuns(['a', 'b'])
  const { holder, other } = splitByHolder(cluster, entries)
  await cluster.clock.runFor(3000)
  holder.faults.outage = 'silent'
  await cluster.clock.runFor(1000)
  holder.kill()
  await cluster.clock.runFor(8000)
  await checkAllRanOnce(cluster, other)
  assert.is(other.events.listFields('FT812').length, 0)
})

// Guards against runs that stay allocated for good because a report that left ends out was the last word on them.
test('runs that are lost beside ends which a worker does not list yet are started again', async () => {
  const { cluster, entries } = await startManyRuns(['a'])
  const worker = cluster.workers.get('w1')!
  await cluster.clock.runFor(3000)
  entries[0]!.faults.outage = 'busy'
  await cluster.clock.runFor(2400)
  worker.restart()
  entries[0]!.faults.outage = null
  await cluster.clock.runFor(25_000)
  for (const id of JOBS) assert.is(await readState(cluster, entries[0]!, id), 'completed')
  checkNoConcurrentRuns(cluster)
})

test.run()
