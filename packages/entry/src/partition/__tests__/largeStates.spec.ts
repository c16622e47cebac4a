/** Jobs whose state exceeds a row of the table. */
import { buildStepJob, type RunName, type StepJob } from '@fuchsiatally/core'
import { createTestStep } from '@fuchsiatally/core/testing/stepJobs'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CLUSTER_CONFIG, createPartitionCluster, createTestJob, SERVICE, type ClusterEntry, type PartitionCluster } from '../../testing/partitionCluster.js'
import { checkNoConcurrentRuns, readState, splitByHolder, startEntries, submitJob } from '../../testing/partitionClusterSteps.js'

const RECURRING = '0000000000000001'
const SMALL = '0000000000000002'
const ROOMY = { processors: 10_000, memoryMb: 10_000_000, accelerators: 0 }
const CHECKPOINT = '00000bb87a21d94b'
const MAX_ROW_BYTES = 65_536

async function submitRecurring (cluster: PartitionCluster, entry: ClusterEntry, taskCount: number, timing: Pick<StepJob, 'runCount' | 'intervalMs'>): Promise<void> {
  const job = { ...createTestJob(cluster.clock, taskCount, { savesWork: true }), firstRunMs: cluster.clock.wallMs(), ...timing }
  const outcome = entry.entry.jobs.submitJob(RECURRING, job, cluster.clock.nowMs() + 3000)
  await cluster.clock.runFor(50)
  assert.is(await outcome, 'done')
}

// Guards against a partition that commits nothing any more, because each commit holds a state that grows with every occurrence.
test('other jobs are completed beside a recurring job with many completed occurrences', async () => {
  const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 1500, how: 'done', saved: CHECKPOINT }) })
  cluster.addWorker('w1', ROOMY)
  const [entry] = await startEntries(cluster, ['a'])
  await submitRecurring(cluster, entry!, 20, { runCount: 200, intervalMs: 250 })
  await cluster.clock.runFor(40_000)
  assert.ok(cluster.table.readRow('state', SERVICE, RECURRING)!.value.length < MAX_ROW_BYTES / 2, 'the state grows with completed occurrences')
  await submitJob(cluster, entry!, SMALL, 1)
  await cluster.clock.runFor(15_000)
  assert.is(await readState(cluster, entry!, SMALL), 'completed')
  assert.is(await readState(cluster, entry!, RECURRING), 'completed')
  assert.is(cluster.started.filter(({ job }) => job === RECURRING).length, 4000)
  checkNoConcurrentRuns(cluster)
})

// Guards against the same standstill while the occurrences that have not ended alone exceed a row, also across a change of the holder.
test('a state that exceeds a row survives a change of the holder, and its overflow rows are deleted when it shrinks', async () => {
  const cluster = createPartitionCluster({ planRun: ({ job }) => ({ durationMs: job === RECURRING ? 12_000 : 500, how: 'done', saved: CHECKPOINT }) })
  cluster.addWorker('w1', ROOMY)
  const { holder, other } = splitByHolder(cluster, await startEntries(cluster, ['a', 'b']))
  await submitRecurring(cluster, other, 20, { runCount: 200, intervalMs: 20 })
  await cluster.clock.runFor(6000)
  const head = JSON.parse(cluster.table.readRow('state', SERVICE, RECURRING)!.value) as { overflow: number }
  assert.ok(head.overflow >= 2, `${head.overflow} overflow rows`)
  holder.kill()
  await cluster.clock.runFor(4000)
  await submitJob(cluster, other, SMALL, 1)
  await cluster.clock.runFor(2000)
  assert.is(await readState(cluster, other, SMALL), 'completed')
  await cluster.clock.runFor(14_000)
  assert.is(await readState(cluster, other, RECURRING), 'completed')
  assert.is(cluster.started.length, 4001)
  checkNoConcurrentRuns(cluster)
  for (let index = 0; index < head.overflow; index++) assert.is(cluster.table.readRow('overflow', SERVICE, `${RECURRING}/${index}`), undefined)
})

// Guards against a state that no commit can hold because the checkpoints of its tasks are large.
test('checkpoints that exceed a commit are not stored, and the other jobs of the partition are completed', async () => {
  const planRun = ({ job, index }: RunName) => ({ durationMs: job === RECURRING && index > 0 ? 8000 : 600, how: 'done' as const, saved: job === RECURRING ? 'é'.repeat(2000) : '' })
  const cluster = createPartitionCluster({ planRun })
  cluster.addWorker('w1', ROOMY)
  const { holder, other } = splitByHolder(cluster, await startEntries(cluster, ['a', 'b']))
  await submitRecurring(cluster, other, 400, { runCount: 1, intervalMs: 0 })
  await cluster.clock.runFor(1000)
  await submitJob(cluster, other, SMALL, 1)
  await cluster.clock.runFor(1000)
  assert.is(await readState(cluster, other, SMALL), 'completed')
  assert.ok(holder.events.listFields('FT834').length > 0)
  holder.kill()
  await cluster.clock.runFor(12_000)
  assert.is(await readState(cluster, other, RECURRING), 'completed')
  assert.is(cluster.started.length, 401)
})

// Guards against callers that are told to come back with a job that can never be stored.
test('a job that exceeds a row is rejected with the reason', () => {
  const submission = { payload: 'text', runCount: 0, firstRunMs: 0, intervalMs: 0 }
  const [queue] = CLUSTER_CONFIG.queues
  const built = buildStepJob({ ...submission, steps: Array.from({ length: 500 }, () => createTestStep()) }, queue!, null, 5)
  assert.match(built._unsafeUnwrapErr(), /steps: the job takes \d+ bytes/)
  assert.ok(buildStepJob({ ...submission, steps: Array.from({ length: 200 }, () => createTestStep()) }, queue!, null, 5).isOk())
})

test.run()
