/** Long-running tasks: until their job is cancelled they are started again, whatever becomes known of earlier runs. */
import type { JobStateRecord } from '@fuchsiatally/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CLUSTER_CONFIG, createPartitionCluster, createTestJob, SERVICE, type ClusterEntry, type PartitionCluster, type PartitionClusterOptions } from '../../testing/partitionCluster.js'
import { checkNoConcurrentRuns, readState, splitByHolder, startEntries } from '../../testing/partitionClusterSteps.js'

const JOB = '0000000000000001'
const RUN_MS = 5000
/** Duration of a cut; the lease of the worker expires and its tasks run elsewhere, in milliseconds. */
const CUT_MS = 5400

async function submitLasting (cluster: PartitionCluster, entry: ClusterEntry): Promise<void> {
  const job = createTestJob(cluster.clock, 2, { longRunning: true })
  const outcome = entry.entry.jobs.submitJob(JOB, job, cluster.clock.nowMs() + 3000)
  await cluster.clock.runFor(50)
  assert.is(await outcome, 'done')
}

/** Starts a job of two long-running tasks at two workers; its runs end by themselves. */
async function startLasting (how: 'done' | 'failed', options: PartitionClusterOptions = {}): Promise<{ cluster: PartitionCluster, holder: ClusterEntry, other: ClusterEntry }> {
  const cluster = createPartitionCluster({ ...options, planRun: () => ({ durationMs: RUN_MS, how }) })
  for (const id of ['w1', 'w2']) cluster.addWorker(id)
  const { holder, other } = splitByHolder(cluster, await startEntries(cluster, ['a', 'b']))
  await submitLasting(cluster, holder)
  await cluster.clock.runFor(1000)
  assert.is(cluster.started.length, 2)
  return { cluster, holder, other }
}

/** Cuts off all workers that run a task, shortly before the runs end; returns how to end the cut. */
async function cutBeforeRunsEnd (cluster: PartitionCluster): Promise<() => void> {
  await cluster.clock.runFor(RUN_MS - 2000)
  const cut = [...new Set(cluster.started.map(({ worker }) => cluster.workers.get(worker)!))]
  for (const worker of cut) worker.faults.cut = true
  return () => { for (const worker of cut) worker.faults.cut = false }
}

async function checkRunsOn (cluster: PartitionCluster, entry: ClusterEntry): Promise<void> {
  for (let second = 0; second < 20; second++) {
    await cluster.clock.runFor(1000)
    assert.is(await readState(cluster, entry, JOB), 'running')
    for (const index of [0, 1]) {
      const runs = cluster.started.filter((run) => run.index === index)
      const last = Math.max(...runs.map(({ endedAtMs }) => endedAtMs ?? Infinity))
      assert.ok(last >= cluster.clock.nowMs() - 3000, `task ${index} has not run since ${last} ms`)
    }
  }
  checkNoConcurrentRuns(cluster)
}

// Guards against taking the end of a run that its worker reports late, after a cut, for the result of a task that has none.
test('long-running tasks run on after a late end of an earlier run', async () => {
  for (const how of ['done', 'failed'] as const) {
    const { cluster, holder } = await startLasting(how)
    const endCut = await cutBeforeRunsEnd(cluster)
    await cluster.clock.runFor(CUT_MS)
    endCut()
    await checkRunsOn(cluster, holder)
  }
})

// Guards against the same end being read by a successor, which knows the later run from the table only.
test('long-running tasks run on after a successor reads a late end of an earlier run', async () => {
  const { cluster, holder, other } = await startLasting('done')
  const endCut = await cutBeforeRunsEnd(cluster)
  holder.kill()
  while (cluster.started.length < 4) await cluster.clock.runFor(100)
  endCut()
  await checkRunsOn(cluster, other)
})

// Guards against tasks that stay done for good because an earlier version stored them so.
test('long-running tasks that are stored as done are started again', async () => {
  const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 60_000, how: 'done' }) })
  const [first] = await startEntries(cluster, ['a'])
  await submitLasting(cluster, first!)
  await cluster.clock.runFor(1000)
  first!.kill()
  const state: JobStateRecord = { phase: 'running', endedAtMs: 0, occurrences: [[0, [[[2, 1, '', 0, ''], [2, 1, '', 0, '']]]]] }
  const { table } = cluster.table.createClient()
  const stored = table.commit({ part: SERVICE, checks: [], writes: [{ table: 'state', key: JOB, value: JSON.stringify(state) }], deletes: [] })
  await cluster.clock.runFor(20)
  assert.ok((await stored).isOk())
  cluster.addWorker('w1')
  const second = cluster.addEntry('b')
  await cluster.clock.runFor(5000)
  assert.is(await readState(cluster, second, JOB), 'running')
  assert.equal(cluster.started.map(({ run }) => run), [2, 2])
})

// Guards against restarts of tasks whose job was cancelled while their worker was cut off.
test('a cancelled long-running job ends, although ends of its runs come late', async () => {
  const { cluster, holder } = await startLasting('done')
  const endCut = await cutBeforeRunsEnd(cluster)
  const cancelled = holder.entry.jobs.cancelJob(JOB, CLUSTER_CONFIG.queues[0]!, cluster.clock.nowMs() + 3000)
  await cluster.clock.runFor(CUT_MS)
  assert.is(await cancelled, 'done')
  endCut()
  await cluster.clock.runFor(10_000)
  assert.is(await readState(cluster, holder, JOB), 'cancelled')
  assert.is(cluster.started.length, 2)
})

test.run()
