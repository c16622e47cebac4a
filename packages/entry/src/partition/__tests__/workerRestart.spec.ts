/** Workers that restart under the same id, which a holder notices with the next report only. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPartitionCluster } from '../../testing/partitionCluster.js'
import { checkNoConcurrentRuns, readState, startEntries, submitJob } from '../../testing/partitionClusterSteps.js'

const JOB = '0000000000000001'
const TASKS = 6

// Guards against TWICE: a run that had started in the next life of its worker was started again elsewhere once the restart was noticed.
test('runs that start in the next life of a worker before its first report are not started again', async () => {
  const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 3000, how: 'done' }) })
  for (const id of ['w1', 'w2']) cluster.addWorker(id)
  const [entry] = await startEntries(cluster, ['a'])
  for (const worker of cluster.workers.values()) worker.restart()
  await submitJob(cluster, entry!, JOB, TASKS)
  await cluster.clock.runFor(12_000)
  checkNoConcurrentRuns(cluster)
  assert.is(cluster.started.length, TASKS)
  assert.is(await readState(cluster, entry!, JOB), 'completed')
})

// Guards against TWICE: the next life of a worker had taken a lease that ends on the clock of the life before, and was cut off.
test('runs of a worker that is cut off right after its restart are not started elsewhere while its lease lasts', async () => {
  const cluster = createPartitionCluster({ maxLeaseMs: 10_000, planRun: () => ({ durationMs: 30_000, how: 'done' }) })
  const worker = cluster.addWorker('w1')
  const [entry] = await startEntries(cluster, ['a'])
  await cluster.clock.runFor(10_000)
  worker.restart()
  await submitJob(cluster, entry!, JOB, TASKS)
  await cluster.clock.runFor(1500)
  assert.is(cluster.started.length, TASKS)
  worker.faults.cut = true
  cluster.addWorker('w2')
  await cluster.clock.runFor(30_000)
  assert.ok(cluster.started.length > TASKS, 'the tasks run again')
  checkNoConcurrentRuns(cluster)
})

test.run()
