/** Workers that are listed at another address, or for another service, under their id. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPartitionCluster, type ClusterEntry, type PartitionCluster, type PartitionClusterOptions } from '../../testing/partitionCluster.js'
import { checkNoConcurrentRuns, readState, startEntries, submitJob } from '../../testing/partitionClusterSteps.js'
import type { PartitionWorkerModel } from '../../testing/partitionWorkerModel.js'

const JOB = '0000000000000001'

async function startCluster (options: PartitionClusterOptions = {}): Promise<{ cluster: PartitionCluster, worker: PartitionWorkerModel, entry: ClusterEntry }> {
  const cluster = createPartitionCluster(options)
  const worker = cluster.addWorker('w1')
  const [entry] = await startEntries(cluster, ['a'])
  return { cluster, worker, entry: entry! }
}

function setAddress (cluster: PartitionCluster, worker: PartitionWorkerModel, address: string): void {
  cluster.table.writeRow('servers', worker.listing.id, { ...worker.listing, address })
}

// Guards against tasks that stay assigned for good, because what became of their order is forgotten with the former address.
test('an order in doubt is settled after its worker has restarted at another address', async () => {
  for (const downMs of [300, 1200, 4000]) {
    const { cluster, worker, entry } = await startCluster()
    worker.faults.delayCall = () => ({ afterMs: 60_000 })
    await submitJob(cluster, entry, JOB, 4)
    await cluster.clock.runFor(100)
    worker.crash()
    await cluster.clock.runFor(downMs)
    worker.faults.delayCall = () => null
    worker.faults.refuses = false
    worker.restart()
    setAddress(cluster, worker, 'w1:2')
    await cluster.clock.runFor(14_000)
    assert.is(await readState(cluster, entry, JOB), 'completed', `down for ${downMs} ms`)
    checkNoConcurrentRuns(cluster)
  }
})

// Guards against starting runs again that go on at a worker of which only the address has changed.
test('runs go on while their worker changes its address', async () => {
  const { cluster, worker, entry } = await startCluster({ planRun: () => ({ durationMs: 6000, how: 'done' }) })
  await submitJob(cluster, entry, JOB, 4)
  for (let change = 2; change < 6; change++) {
    await cluster.clock.runFor(700)
    setAddress(cluster, worker, `w1:${change}`)
  }
  await cluster.clock.runFor(6000)
  assert.is(await readState(cluster, entry, JOB), 'completed')
  assert.is(cluster.started.length, 4)
  assert.is(entry.events.listFields('FT812').length, 0)
})

// Guards against a run that is ordered to stop at the former address only.
test('a cancelled run is stopped although its worker changes its address meanwhile', async () => {
  const { cluster, worker, entry } = await startCluster({ planRun: () => ({ durationMs: 60_000, how: 'done' }) })
  await submitJob(cluster, entry, JOB, 4)
  await cluster.clock.runFor(500)
  worker.faults.delayCall = () => ({ afterMs: 60_000 })
  const { queues } = entry.entry.readConfig()!
  const cancelled = entry.entry.jobs.cancelJob(JOB, queues[0]!, cluster.clock.nowMs() + 3000)
  await cluster.clock.runFor(300)
  assert.is(await cancelled, 'done')
  worker.faults.delayCall = () => null
  setAddress(cluster, worker, 'w1:2')
  await cluster.clock.runFor(1500)
  assert.equal(cluster.started.map(({ how }) => how), ['stopped', 'stopped', 'stopped', 'stopped'])
})

// Guards against starts at a worker that serves another service under the id that it had.
test('a worker that is listed for another service gets no new runs, and those that it has go on', async () => {
  const { cluster, worker, entry } = await startCluster({ planRun: () => ({ durationMs: 3000, how: 'done' }) })
  await submitJob(cluster, entry, JOB, 4)
  await cluster.clock.runFor(500)
  cluster.table.writeRow('servers', 'w1', { ...worker.listing, service: 'covers' })
  await cluster.clock.runFor(500)
  await submitJob(cluster, entry, '0000000000000002', 1)
  await cluster.clock.runFor(6000)
  assert.is(await readState(cluster, entry, JOB), 'completed')
  assert.is(cluster.started.length, 4)
  cluster.table.writeRow('servers', 'w1', worker.listing)
  await cluster.clock.runFor(6000)
  assert.is(await readState(cluster, entry, '0000000000000002'), 'completed')
})

test.run()
