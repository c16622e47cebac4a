/** Entries that are suspended for seconds, as with their VM: the monotonic clock stands still, and leases, holders and keys move on. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { checkNoConcurrentRuns, readState, splitByHolder, startEntries, submitJob } from '../../testing/partitionClusterSteps.js'
import { CLUSTER_CONFIG, createPartitionCluster, createTestJob } from '../../testing/partitionCluster.js'

const SUSPENSIONS_MS = [400, 1200, 2000, 3500, 5000, 9000, 14_000]

// Guards against a former holder that acts on its expired term after a suspension: orders that go out twice, or work given up.
test('a holder that is suspended with starts in flight neither starts a task twice nor loses a job', async () => {
  for (const suspendedMs of SUSPENSIONS_MS) {
    const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 1500, how: 'done' }) })
    for (let worker = 0; worker < 6; worker++) cluster.addWorker(`w${worker}`)
    const { holder, other } = splitByHolder(cluster, await startEntries(cluster, ['a', 'b', 'c']))
    // More starts than the window lets out at once, so that committed orders wait in the holder.
    const outcome = other.entry.jobs.submitJob('0000000000000001', createTestJob(cluster.clock, 60, { resources: { processors: 0.5, memoryMb: 64, accelerators: 0 } }), cluster.clock.nowMs() + 3000)
    await cluster.clock.runFor(8)
    holder.suspend(suspendedMs)
    await submitJob(cluster, other, '0000000000000002', 6)
    assert.is(await outcome, 'done')
    await cluster.clock.runFor(30_000)
    for (const id of ['0000000000000001', '0000000000000002']) assert.is(await readState(cluster, other, id), 'completed', `${id} after ${suspendedMs} ms`)
    checkNoConcurrentRuns(cluster)
    const doneTasks = cluster.started.filter(({ how }) => how === 'done').map(({ job, index }) => `${job}.${index}`)
    assert.is(new Set(doneTasks).size, doneTasks.length, `a task was run again after it was done, ${suspendedMs} ms`)
  }
})

// Guards against runs of a sound worker that are given up or started again because its holder was suspended.
test('runs outlive a suspension of their holder', async () => {
  for (const suspendedMs of [400, 1200, 2000]) {
    const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 8000, how: 'done' }) })
    cluster.addWorker('w1')
    const { holder, other } = splitByHolder(cluster, await startEntries(cluster, ['a', 'b']))
    await submitJob(cluster, other, '0000000000000001', 4)
    await cluster.clock.runFor(500)
    holder.suspend(suspendedMs)
    await cluster.clock.runFor(12_000)
    assert.is(await readState(cluster, other, '0000000000000001'), 'completed')
    assert.is(cluster.started.length, 4, `${suspendedMs} ms`)
  }
})

// Guards against a key that was withdrawn during a suspension and is accepted right after it.
test('an entry that was suspended trusts its configuration only after it has read it again', async () => {
  for (const suspendedMs of SUSPENSIONS_MS) {
    const cluster = createPartitionCluster()
    cluster.addWorker('w1')
    const [entry] = await startEntries(cluster, ['a'])
    entry!.suspend(suspendedMs)
    cluster.setConfig({ ...CLUSTER_CONFIG, version: 2, teams: [] })
    await cluster.clock.runFor(suspendedMs - 1)
    let accepted = 0
    for (let step = 0; step < 400; step++) {
      if (entry!.entry.isConfigFresh() && entry!.entry.readConfig()?.version === 1) accepted++
      await cluster.clock.runFor(1)
    }
    if (suspendedMs > 300) assert.is(accepted, 0, `${suspendedMs} ms`)
    assert.ok(entry!.entry.isConfigFresh())
    assert.is(entry!.entry.readConfig()?.version, 2)
  }
})

test.run()
