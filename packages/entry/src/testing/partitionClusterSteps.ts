/** Steps shared by tests of partitions. */
import * as assert from 'uvu/assert'
import { CLUSTER_CONFIG, createPartitionCluster, createTestJob, type PartitionCluster, type PartitionClusterOptions, type ClusterEntry } from './partitionCluster.js'
import type { PartitionWorkerModel, StartedRun } from './partitionWorkerModel.js'

const [QUEUE] = CLUSTER_CONFIG.queues

/** Submits a job of identical tasks and asserts that it is accepted. */
export async function submitJob (cluster: PartitionCluster, entry: ClusterEntry, id: string, tasks: number): Promise<void> {
  const outcome = entry.entry.jobs.submitJob(id, createTestJob(cluster.clock, tasks), cluster.clock.nowMs() + 3000)
  await cluster.clock.runFor(50)
  assert.is(await outcome, 'done')
}

/** Reads a job's state at an entry. */
export async function readState (cluster: PartitionCluster, entry: ClusterEntry, id: string): Promise<string> {
  const state = entry.entry.jobs.readPhase(id, QUEUE!)
  await cluster.clock.runFor(20)
  return await state
}

function describeRun ({ run, worker, startedAtMs, endedAtMs, how }: StartedRun): string {
  return `run ${run} at ${worker} from ${startedAtMs} to ${endedAtMs} (${how})`
}

/** Asserts that no task ever had two concurrent runs. */
export function checkNoConcurrentRuns (cluster: PartitionCluster): void {
  for (const [index, run] of cluster.started.entries()) {
    for (const other of cluster.started.slice(index + 1)) {
      if (other.job !== run.job || other.index !== run.index || other.step !== run.step || other.occurrence !== run.occurrence) continue
      assert.ok(run.endedAtMs !== null && run.endedAtMs <= other.startedAtMs, `${run.job}.${run.index} had two concurrent runs: ${describeRun(run)} and ${describeRun(other)}`)
    }
  }
}

/** Asserts that no task was started after a run of it had ended `done` and that end was acknowledged. */
export function checkNoStartAfterEnd (cluster: PartitionCluster): void {
  for (const done of cluster.started) {
    if (done.how !== 'done' || !done.isAcknowledged) continue
    const later = cluster.started.find((run) => run !== done && run.job === done.job && run.index === done.index && run.step === done.step && run.occurrence === done.occurrence && run.startedAtMs > done.endedAtMs!)
    assert.ok(later === undefined, `${done.job}.${done.index}: ${later === undefined ? '' : describeRun(later)} after ${describeRun(done)}`)
  }
}

/** Starts entries and waits until one holds the partition. */
export async function startEntries (cluster: PartitionCluster, names: readonly string[]): Promise<ClusterEntry[]> {
  const entries = names.map((name) => cluster.addEntry(name))
  await cluster.clock.runFor(3000)
  return entries
}

/** Returns the holder of the partition and another entry. */
export function splitByHolder (cluster: PartitionCluster, entries: readonly ClusterEntry[]): { holder: ClusterEntry, other: ClusterEntry } {
  const holder = entries.find((entry) => entry.name === cluster.findHolder())
  const other = entries.find((entry) => entry !== holder)
  if (holder === undefined || other === undefined) throw new Error('no entry holds the partition')
  return { holder, other }
}

/** Waits until the worker gets its next call, which it executes late and never answers. */
export async function waitForLateCall (cluster: PartitionCluster, worker: PartitionWorkerModel, afterMs: number): Promise<void> {
  const delayed: number[] = []
  worker.faults.delayCall = () => {
    delayed.push(afterMs)
    return { afterMs }
  }
  while (delayed.length === 0) await cluster.clock.runFor(10)
  worker.faults.delayCall = () => null
}

/** Starts two tasks whose first runs hang on the only worker; their second runs end after half a second. */
export async function startStuckRuns (options: PartitionClusterOptions = {}): Promise<{ cluster: PartitionCluster, worker: PartitionWorkerModel, entry: ClusterEntry }> {
  const cluster = createPartitionCluster({ ...options, planRun: (order) => ({ durationMs: order.run === 1 ? 60_000 : 500, how: 'done' }) })
  const worker = cluster.addWorker('w1')
  const [entry] = await startEntries(cluster, ['a'])
  if (entry === undefined) throw new Error('no entry was started')
  await submitJob(cluster, entry, '0000000000000001', 2)
  await cluster.clock.runFor(500)
  return { cluster, worker, entry }
}
