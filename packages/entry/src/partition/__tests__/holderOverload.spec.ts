/** A holder whose own work exceeds its processor time. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPartitionCluster, createTestJob } from '../../testing/partitionCluster.js'
import { startEntries } from '../../testing/partitionClusterSteps.js'

const WORKERS = 44

// Guards against LOST: lease calls waited behind a whole batch of start orders.
test('a batch of 300 starts delays the event loop by less than a second', async () => {
  const cluster = createPartitionCluster({ holderCosts: { planStepMs: 0, leaseMs: 0, startMs: 4 } })
  for (let worker = 0; worker < WORKERS; worker++) cluster.addWorker(`w${worker}`)
  const [entry] = await startEntries(cluster, ['a'])
  const submitted = entry!.entry.jobs.submitJob('0000000000000001', createTestJob(cluster.clock, 300), cluster.clock.nowMs() + 3000)
  await cluster.clock.runFor(4000)
  assert.is(await submitted, 'done')
  assert.is(cluster.started.length, 300)
  const delayMs = Math.max(...entry!.events.listFields('FT859').map((fields) => Number(fields['loopDelayMs'])))
  assert.ok(delayMs < 1000, `delayed by ${delayMs} ms`)
})

test.run()
