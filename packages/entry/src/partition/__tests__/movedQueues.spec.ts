/** Queues that a later configuration sends to another service. */
import type { ClusterConfig, QueueConfig } from '@fuchsiatally/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CLUSTER_CONFIG, createPartitionCluster, createTestJob, SERVICE, type ClusterEntry, type PartitionCluster } from '../../testing/partitionCluster.js'
import { checkNoConcurrentRuns, startEntries, submitJob } from '../../testing/partitionClusterSteps.js'
import { computeEarlierJobPart, computeJobPart } from '../partitionRows.js'

const OTHER_SERVICE = 'covers'
const JOB = '0000000000000001'
const [QUEUE] = CLUSTER_CONFIG.queues
const MOVED: QueueConfig = { ...QUEUE!, name: 'proof-2', service: OTHER_SERVICE }
const BEFORE: ClusterConfig = { ...CLUSTER_CONFIG, version: 2, services: [SERVICE, OTHER_SERVICE] }
const AFTER: ClusterConfig = { ...BEFORE, version: 3, queues: [MOVED] }

async function submit (cluster: PartitionCluster, entry: ClusterEntry, service: string, tasks = 2): Promise<string> {
  const outcome = entry.entry.jobs.submitJob(JOB, createTestJob(cluster.clock, tasks, {}, { service }), cluster.clock.nowMs() + 3000)
  await cluster.clock.runFor(50)
  return await outcome
}

async function readMoved (cluster: PartitionCluster, entry: ClusterEntry): Promise<string> {
  const state = entry.entry.jobs.readPhase(JOB, MOVED)
  await cluster.clock.runFor(40)
  return await state
}

/** Runs a job of two tasks at the first service, and sends its queue to the second one meanwhile. */
async function moveQueue (names: readonly string[], runMs: number): Promise<{ cluster: PartitionCluster, entries: ClusterEntry[] }> {
  const cluster = createPartitionCluster({ planRun: () => ({ durationMs: runMs, how: 'done' }) })
  cluster.setConfig(BEFORE)
  cluster.addWorker('w1')
  cluster.addWorker('x1', undefined, undefined, OTHER_SERVICE)
  const entries = await startEntries(cluster, names)
  await submitJob(cluster, entries[0]!, JOB, 2)
  await cluster.clock.runFor(1000)
  assert.is(cluster.started.length, 2)
  cluster.setConfig(AFTER)
  await cluster.clock.runFor(2000)
  return { cluster, entries }
}

// Guards against jobs that nobody knows any more, and that a late duplicate runs twice, because their rows are looked for by the service of their queue.
test('a job is known at each entry after its queue was sent to another service, and a late duplicate runs nothing', async () => {
  const { cluster, entries } = await moveQueue(['a', 'b', 'c'], 20_000)
  for (const entry of entries) assert.is(await readMoved(cluster, entry), 'running')
  for (const entry of entries) assert.is(await submit(cluster, entry, OTHER_SERVICE), 'done')
  await cluster.clock.runFor(18_000)
  for (const entry of entries) assert.is(await readMoved(cluster, entry), 'completed')
  assert.is(cluster.started.length, 2)
  checkNoConcurrentRuns(cluster)
})

// Guards against the same while all entries, which know the new configuration only, start anew.
test('a job is known, and goes on, after all entries were replaced since its queue was sent to another service', async () => {
  const { cluster, entries } = await moveQueue(['a', 'b'], 20_000)
  for (const entry of entries) entry.kill()
  const next = ['c', 'd'].map((name) => cluster.addEntry(name))
  await cluster.clock.runFor(6000)
  for (const entry of next) assert.is(await readMoved(cluster, entry), 'running')
  assert.is(await submit(cluster, next[0]!, OTHER_SERVICE), 'done')
  await cluster.clock.runFor(30_000)
  for (const entry of next) assert.is(await readMoved(cluster, entry), 'completed')
  checkNoConcurrentRuns(cluster)
})

// Guards against cancellations that are answered 'no such job' while the job runs on.
test('a job is cancelled after its queue was sent to another service', async () => {
  const { cluster, entries } = await moveQueue(['a', 'b'], 20_000)
  const cancelled = entries[1]!.entry.jobs.cancelJob(JOB, MOVED, cluster.clock.nowMs() + 3000)
  await cluster.clock.runFor(1000)
  assert.is(await cancelled, 'done')
  for (const entry of entries) assert.is(await readMoved(cluster, entry), 'cancelled')
  assert.equal(cluster.started.map(({ how }) => how), ['stopped', 'stopped'])
})

// Guards against two runs of a job that two entries accept under different configurations at the same moment.
test('one job is stored while entries accept it for two services at the same moment', async () => {
  const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 1000, how: 'done' }) })
  cluster.setConfig(BEFORE)
  cluster.addWorker('w1')
  cluster.addWorker('x1', undefined, undefined, OTHER_SERVICE)
  const entries = await startEntries(cluster, ['a', 'b'])
  const [first, second] = await Promise.all([submit(cluster, entries[0]!, SERVICE), submit(cluster, entries[1]!, OTHER_SERVICE)])
  assert.equal([first, second], ['done', 'done'])
  await cluster.clock.runFor(5000)
  assert.is(cluster.started.length, 2)
  assert.is(new Set(cluster.started.map(({ worker }) => worker)).size, 1)
})

test('jobs that wait at the former service of a queue count as waiting', async () => {
  const cluster = createPartitionCluster()
  cluster.setConfig(BEFORE)
  const [entry] = await startEntries(cluster, ['a'])
  await submitJob(cluster, entry!, JOB, 2)
  cluster.setConfig({ ...AFTER, queues: [{ ...MOVED, name: QUEUE!.name }] })
  await cluster.clock.runFor(2000)
  assert.is(entry!.entry.jobs.countWaiting({ ...MOVED, name: QUEUE!.name }), 1)
})

// Guards against losing, or running again, the jobs of an earlier version that are in the table when an entry of this version starts.
test('a job that an earlier version stored is known, runs once, and its rows are deleted after its retention', async () => {
  const cluster = createPartitionCluster()
  cluster.addWorker('w1')
  const { table } = cluster.table.createClient()
  const part = computeEarlierJobPart(SERVICE, JOB)
  const stored = table.commit({ part, checks: [], writes: [{ table: 'job', key: JOB, value: JSON.stringify(createTestJob(cluster.clock, 2)) }], deletes: [] })
  const [entry] = await startEntries(cluster, ['a'])
  assert.ok((await stored).isOk())
  const state = entry!.entry.jobs.readPhase(JOB, QUEUE!)
  await cluster.clock.runFor(50)
  assert.ok(['running', 'completed'].includes(await state))
  assert.is(await submit(cluster, entry!, SERVICE), 'done')
  await cluster.clock.runFor(130_000)
  assert.is(cluster.started.length, 2)
  for (const name of [part, computeJobPart(JOB)]) assert.is(cluster.table.readRow('job', name, JOB), undefined)
  entry!.kill()
  cluster.addEntry('b')
  await cluster.clock.runFor(10_000)
  assert.is(cluster.started.length, 2)
})

test.run()
