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

test.run()
