/** Next lives of workers that no call and no registration shows before a worker is cut off. KNOWN-RED.txt has the tests that fail. */
import { test } from 'uvu'
import { createPartitionCluster, type ClusterEntry, type PartitionCluster } from '../../testing/partitionCluster.js'
import { checkNoConcurrentRuns, splitByHolder, startEntries, submitJob, waitForLateCall } from '../../testing/partitionClusterSteps.js'
import type { PartitionWorkerModel } from '../../testing/partitionWorkerModel.js'

const JOB = '0000000000000001'
const TASKS = 6
const MAX_LEASE_MS = 10_000
/** Longer than any lease after any late call. */
const ALL_OVER_MS = 30_000

async function createLongRuns (names: readonly string[]): Promise<{ cluster: PartitionCluster, worker: PartitionWorkerModel, entries: ClusterEntry[] }> {
  const cluster = createPartitionCluster({ maxLeaseMs: MAX_LEASE_MS, planRun: () => ({ durationMs: 2 * ALL_OVER_MS, how: 'done' }) })
  const worker = cluster.addWorker('w1')
  const entries = await startEntries(cluster, names)
  await cluster.clock.runFor(20_000)
  return { cluster, worker, entries }
}

async function checkRunsAfterCut (cluster: PartitionCluster, worker: PartitionWorkerModel): Promise<void> {
  worker.faults.cut = true
  cluster.addWorker('w2')
  await cluster.clock.runFor(ALL_OVER_MS)
  checkNoConcurrentRuns(cluster)
}

// Guards against TWICE: a lease call by the clock of a worker's former life is executed seconds after the next life was noticed.
test('a late lease call by the clock of the former life of a worker does not extend a lease unnoticed', async () => {
  const { cluster, worker, entries } = await createLongRuns(['a'])
  await waitForLateCall(cluster, worker, 4500)
  worker.restart(true)
  await cluster.clock.runFor(2500)
  await submitJob(cluster, entries[0]!, JOB, TASKS)
  await cluster.clock.runFor(1500)
  await checkRunsAfterCut(cluster, worker)
})

// Guards against TWICE: a successor takes a worker that has not registered its next life, and that it never reaches, for the former life.
test('runs in the next life of a worker that has not registered it before it is cut off from a new holder are not started elsewhere while they may run', async () => {
  const { cluster, worker, entries } = await createLongRuns(['a', 'b'])
  const { holder, other } = splitByHolder(cluster, entries)
  worker.restart(true)
  await submitJob(cluster, other, JOB, TASKS)
  await cluster.clock.runFor(300)
  holder.kill()
  await checkRunsAfterCut(cluster, worker)
})

test.run()
