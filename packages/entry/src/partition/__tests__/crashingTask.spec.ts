/** Tasks that crash the workers that run them, among sound ones. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPartitionCluster, createTestJob } from '../../testing/partitionCluster.js'
import { checkNoConcurrentRuns, readState, startEntries } from '../../testing/partitionClusterSteps.js'
import type { ClusterEntry, PartitionCluster, PartitionClusterOptions } from '../../testing/partitionCluster.js'

const BAD_JOB = '00000000000000bb'
/** Index of the task that crashes its workers, among the sound ones of its step. */
const BAD_TASK = 1
/** Starts of a task that crashes each of its workers, by the users' rule: three more after three crashes break it. */
const MAX_CRASHING_STARTS = 5
/** Two workers of eight tasks each: from the third start on, the task runs alone. */
const MAX_LOST_NEIGHBOURS = 14
const RACK_SIZE = 4

function buildId (job: number): string {
  return job.toString(16).padStart(16, '0')
}

/** Creates a cluster in which one task crashes its workers after `crashAfterMs`; all others take half a second. */
function createCluster (crashAfterMs: number, workerCount = 8, options: PartitionClusterOptions = {}): PartitionCluster {
  const cluster = createPartitionCluster({
    maxLeaseMs: 3000,
    ...options,
    planRun: (order) => order.job === BAD_JOB && order.index === BAD_TASK ? { durationMs: crashAfterMs, how: 'crash' } : { durationMs: 500, how: 'done' }
  })
  for (let index = 0; index < workerCount; index++) cluster.addWorker(`w${index}`, undefined, `rack${Math.floor(index / RACK_SIZE)}`)
  return cluster
}

async function submit (cluster: PartitionCluster, entry: ClusterEntry, id: string, tasks: number): Promise<void> {
  const outcome = entry.entry.jobs.submitJob(id, createTestJob(cluster.clock, tasks), cluster.clock.nowMs() + 3000)
  await cluster.clock.runFor(50)
  assert.is(await outcome, 'done')
}

function countBadStarts (cluster: PartitionCluster): number {
  return cluster.started.filter(({ job, index }) => job === BAD_JOB && index === BAD_TASK).length
}

/** Plays a job with a task that crashes its workers, with one holder. */
async function checkGivenUp (cluster: PartitionCluster): Promise<void> {
  const [entry] = await startEntries(cluster, ['a'])
  await submit(cluster, entry!, BAD_JOB, 4)
  await cluster.clock.runFor(60_000)
  assert.ok(countBadStarts(cluster) <= MAX_CRASHING_STARTS, `${countBadStarts(cluster)} starts`)
  assert.is(await readState(cluster, entry!, BAD_JOB), 'failed')
  checkNoConcurrentRuns(cluster)
}

for (const crashAfterMs of [10, 300, 2000]) {
  // Guards against BUDGET: a task that crashed its workers was started without bound.
  test(`a task that crashes each worker ${crashAfterMs} ms after its start is given up, and its job fails`, () => checkGivenUp(createCluster(crashAfterMs)))

  // Guards against BUDGET: the return of a worker under its own id was no proof of its crash.
  test(`a task that crashes workers ${crashAfterMs} ms after its start is given up although they come back under their ids`, () => {
    return checkGivenUp(createCluster(crashAfterMs, 8, { reusesWorkerIds: true }))
  })

  // Guards against BUDGET: a new holder began to count at zero.
  test(`crashes ${crashAfterMs} ms after the start count across changes of the holder`, async () => {
    const cluster = createCluster(crashAfterMs)
    const entries = await startEntries(cluster, ['a', 'b', 'c', 'd'])
    await submit(cluster, entries[0]!, BAD_JOB, 4)
    for (let kill = 0; kill < 3; kill++) {
      await cluster.clock.runFor(6000)
      entries.find(({ name }) => name === cluster.findHolder())?.kill()
    }
    await cluster.clock.runFor(60_000)
    const left = entries.find(({ name }) => name === cluster.findHolder())
    assert.ok(countBadStarts(cluster) <= MAX_CRASHING_STARTS, `${countBadStarts(cluster)} starts`)
    assert.is(await readState(cluster, left!, BAD_JOB), 'failed')
  })
}

// Guards against BUDGET: sound jobs lost their runs again and again beside a task that crashes workers.
test('jobs beside a task that crashes workers are completed, and only its own job fails', async () => {
  const cluster = createCluster(10)
  const [entry] = await startEntries(cluster, ['a'])
  const ids: string[] = []
  for (let job = 1; job <= 40; job++) {
    ids.push(buildId(job))
    await submit(cluster, entry!, buildId(job), 6)
    if (job === 5) await submit(cluster, entry!, BAD_JOB, 4)
    await cluster.clock.runFor(100)
  }
  await cluster.clock.runFor(30_000)
  for (const id of ids) assert.is(await readState(cluster, entry!, id), 'completed', id)
  assert.is(await readState(cluster, entry!, BAD_JOB), 'failed')
  const lost = cluster.started.filter(({ job, how }) => how === 'lost' && job !== BAD_JOB)
  assert.ok(lost.length <= MAX_LOST_NEIGHBOURS, `${lost.length} sound runs were lost`)
})

test.run()
