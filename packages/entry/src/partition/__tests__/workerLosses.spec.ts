/** When a worker that is lost failed, as far as its holder knows. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPartitionCluster } from '../../testing/partitionCluster.js'
import { readState, startEntries, submitJob } from '../../testing/partitionClusterSteps.js'

const EARLY_JOB = '0000000000000001'
const LATE_JOB = '0000000000000002'
const TASKS = 2

// Guards against LOST: all tasks that had started since the last lease call passed for those that had just started at the crash (review/10).
test('the response to a start shows that the tasks before it had not just started when the worker fell silent', async () => {
  const cluster = createPartitionCluster({ maxLeaseMs: 3000, planRun: () => ({ durationMs: 5000, how: 'done' }) })
  const worker = cluster.addWorker('w1')
  const [entry] = await startEntries(cluster, ['a'])
  await cluster.clock.runFor(1500)
  await submitJob(cluster, entry!, EARLY_JOB, TASKS)
  await cluster.clock.runFor(250)
  await submitJob(cluster, entry!, LATE_JOB, TASKS)
  assert.is(cluster.started.length, 2 * TASKS)
  worker.restart(true)
  await cluster.clock.runFor(3000)
  assert.equal(entry!.events.listFields('FT812').map(({ suspected }) => suspected), [[`${LATE_JOB}.0.0.0#1`, `${LATE_JOB}.0.0.1#1`]])
  await cluster.clock.runFor(20_000)
  for (const job of [EARLY_JOB, LATE_JOB]) assert.is(await readState(cluster, entry!, job), 'completed')
})

test.run()
