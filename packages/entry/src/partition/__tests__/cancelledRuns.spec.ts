/** Runs of cancelled jobs end at their workers, also while the holder or the list of workers changes. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CLUSTER_CONFIG, createPartitionCluster, type PartitionCluster } from '../../testing/partitionCluster.js'
import { splitByHolder, startEntries, submitJob } from '../../testing/partitionClusterSteps.js'

const [QUEUE] = CLUSTER_CONFIG.queues
const JOB = '0000000000000001'
/** Time within which runs of a cancelled job are stopped, in milliseconds; a stated target. */
const CANCEL_MS = 3000

function createCluster (): PartitionCluster {
  return createPartitionCluster({ planRun: () => ({ durationMs: 60_000, how: 'done' }) })
}

function listRunning (cluster: PartitionCluster): string[] {
  return cluster.started.filter(({ how }) => how === null).map(({ index, worker }) => `${index} at ${worker}`)
}

// Guards against UNASKED: runs of a cancelled job went on because the stop was due before the new holder had read the list of workers.
test('runs of a job that was cancelled before its worker is listed are stopped once it is', async () => {
  const cluster = createCluster()
  const { listing } = cluster.addWorker('w1')
  const { holder, other } = splitByHolder(cluster, await startEntries(cluster, ['a', 'b', 'c']))
  await submitJob(cluster, other, JOB, 2)
  await cluster.clock.runFor(500)
  assert.is(listRunning(cluster).length, 2)
  // The row of a live worker may expire while the table is away.
  cluster.table.deleteRow('servers', 'w1')
  holder.kill()
  const cancelled = other.entry.jobs.cancelJob(JOB, QUEUE!, cluster.clock.nowMs() + 3000)
  await cluster.clock.runFor(1500)
  assert.is(await cancelled, 'done')
  assert.is.not(cluster.findHolder(), holder.name)
  cluster.table.writeRow('servers', 'w1', listing)
  await cluster.clock.runFor(CANCEL_MS)
  assert.equal(listRunning(cluster), [])
  assert.equal(cluster.started.map(({ how }) => how), ['stopped', 'stopped'])
})

// Guards against UNASKED: a stop that had no response yet was forgotten when the worker was listed at another address.
test('runs of a cancelled job are stopped although the address of their worker changes meanwhile', async () => {
  const cluster = createCluster()
  const worker = cluster.addWorker('w1')
  const [entry] = await startEntries(cluster, ['a'])
  await submitJob(cluster, entry!, JOB, 2)
  await cluster.clock.runFor(500)
  worker.faults.cut = true
  const cancelled = entry!.entry.jobs.cancelJob(JOB, QUEUE!, cluster.clock.nowMs() + 3000)
  await cluster.clock.runFor(300)
  assert.is(await cancelled, 'done')
  cluster.table.writeRow('servers', 'w1', { ...worker.listing, address: 'w1:2' })
  worker.faults.cut = false
  await cluster.clock.runFor(CANCEL_MS)
  assert.equal(cluster.started.map(({ how }) => how), ['stopped', 'stopped'])
})

test.run()
