/** Jobs that are cancelled while their submission is in doubt. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CLUSTER_CONFIG, createPartitionCluster, createTestJob, type ClusterEntry, type PartitionCluster } from '../../testing/partitionCluster.js'
import { splitByHolder, startEntries } from '../../testing/partitionClusterSteps.js'
import { computeJobPart } from '../partitionRows.js'

const [QUEUE] = CLUSTER_CONFIG.queues
const JOB = '0000000000000001'
const DEADLINE_MS = 3000
/** Delay of a write without a response, as the users' platform may cause, in milliseconds. */
const LATE_MS = 5900
/** Time for which the states of jobs are kept, in milliseconds; the setting of the cluster. */
const STATUS_MS = 120_000

interface Call<T> {
  readonly outcome: Promise<T>
}

function createCluster (): PartitionCluster {
  const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 60_000, how: 'done' }) })
  cluster.addWorker('w1')
  return cluster
}

function submit ({ clock }: PartitionCluster, entry: ClusterEntry): Call<string> {
  return { outcome: entry.entry.jobs.submitJob(JOB, createTestJob(clock, 2, { longRunning: true }), clock.nowMs() + DEADLINE_MS) }
}

function cancel ({ clock }: PartitionCluster, entry: ClusterEntry): Call<string> {
  return { outcome: entry.entry.jobs.cancelJob(JOB, QUEUE!, clock.nowMs() + DEADLINE_MS) }
}

/** Runs a call to its end. */
async function finish <T> (cluster: PartitionCluster, { outcome }: Call<T>, ms = 100): Promise<T> {
  await cluster.clock.runFor(ms)
  return await outcome
}

async function readStates (cluster: PartitionCluster, entries: readonly ClusterEntry[]): Promise<string[]> {
  const states: string[] = []
  for (const entry of entries) states.push(await finish(cluster, { outcome: entry.entry.jobs.readPhase(JOB, QUEUE!) }))
  return states
}

/** Loses the responses to a client's submissions of the job, which are applied late; returns a function that ends this. */
function loseSubmissions (entry: ClusterEntry, afterMs = LATE_MS): () => void {
  entry.faults.loseWrite = ({ writes }) => writes.some(({ key }) => key === JOB) ? { afterMs } : null
  return () => { entry.faults.loseWrite = () => null }
}

// Guards against a job that is stored, and runs for good, after its cancellation was acknowledged: its submission was in doubt (UNASKED).
test('a job whose cancellation was acknowledged while its submission was in doubt never runs', async () => {
  const cluster = createCluster()
  const entries = await startEntries(cluster, ['a', 'b', 'c'])
  const { holder, other } = splitByHolder(cluster, entries)
  loseSubmissions(other)
  assert.is(await finish(cluster, submit(cluster, other), DEADLINE_MS), 'inDoubt')
  assert.is(await finish(cluster, cancel(cluster, holder)), 'unknownJob')
  await cluster.clock.runFor(2 * LATE_MS)
  assert.is(cluster.started.length, 0)
  assert.equal(await readStates(cluster, entries), ['unknownJob', 'unknownJob', 'unknownJob'])
})

// Guards against 'accepted' for a job that never runs.
test('a submission that is still tried when its job is cancelled at another entry is answered as withdrawn, and so is each further one', async () => {
  const cluster = createCluster()
  const entries = await startEntries(cluster, ['a', 'b', 'c'])
  const { holder, other } = splitByHolder(cluster, entries)
  const endLoss = loseSubmissions(other)
  const submission = submit(cluster, other)
  await cluster.clock.runFor(500)
  assert.is(await finish(cluster, cancel(cluster, holder)), 'unknownJob')
  endLoss()
  assert.is(await finish(cluster, submission, DEADLINE_MS), 'withdrawn')
  for (const entry of entries) assert.is(await finish(cluster, submit(cluster, entry)), 'withdrawn')
  assert.is(await finish(cluster, cancel(cluster, other)), 'unknownJob')
  await cluster.clock.runFor(LATE_MS)
  assert.is(cluster.started.length, 0)
})

// Guards against a late submission that only the former holder knew to be withdrawn.
test('a job that was cancelled while its submission was in doubt never runs although all entries are replaced meanwhile', async () => {
  const cluster = createCluster()
  const entries = await startEntries(cluster, ['a', 'b'])
  loseSubmissions(entries[0]!)
  assert.is(await finish(cluster, submit(cluster, entries[0]!), DEADLINE_MS), 'inDoubt')
  assert.is(await finish(cluster, cancel(cluster, entries[1]!)), 'unknownJob')
  for (const entry of entries) entry.kill()
  const next = ['c', 'd'].map((name) => cluster.addEntry(name))
  await cluster.clock.runFor(2 * LATE_MS)
  assert.is(cluster.started.length, 0)
  assert.equal(await readStates(cluster, next), ['unknownJob', 'unknownJob'])
})

// Guards against a job that is stored between the look-up and the answer of its cancellation.
test('a job that is stored while it is being cancelled is cancelled', async () => {
  const cluster = createCluster()
  const entries = await startEntries(cluster, ['a', 'b', 'c'])
  const { holder, other } = splitByHolder(cluster, entries)
  const endLoss = loseSubmissions(other, 2000)
  const submission = submit(cluster, other)
  await cluster.clock.runFor(100)
  endLoss()
  // The response to the write that withdraws the job is lost, and the submission is applied before the write is repeated.
  holder.faults.loseWrite = ({ writes }) => writes.some(({ key }) => key === JOB) ? { afterMs: LATE_MS } : null
  const cancellation = cancel(cluster, holder)
  await cluster.clock.runFor(1500)
  assert.is(await submission.outcome, 'done')
  holder.faults.loseWrite = () => null
  assert.is(await finish(cluster, cancellation, DEADLINE_MS), 'done')
  await cluster.clock.runFor(LATE_MS)
  assert.ok(cluster.started.every(({ how }) => how === 'stopped'))
  assert.equal(await readStates(cluster, entries), ['cancelled', 'cancelled', 'cancelled'])
})

// Guards against a cancellation that is acknowledged although nothing was stored.
test('a cancellation whose own write is in doubt is not acknowledged', async () => {
  const cluster = createCluster()
  const entries = await startEntries(cluster, ['a', 'b', 'c'])
  const { other } = splitByHolder(cluster, entries)
  loseSubmissions(other)
  assert.is(await finish(cluster, cancel(cluster, other), DEADLINE_MS), 'inDoubt')
})

// Guards against a loop without end over a row that names no job and is in the place of one.
test('cancelling a job whose row is malformed ends', async () => {
  const cluster = createCluster()
  const entries = await startEntries(cluster, ['a'])
  const { table } = cluster.table.createClient()
  const written = table.commit({ part: computeJobPart(JOB), checks: [], writes: [{ table: 'job', key: JOB, value: '[]' }], deletes: [] })
  await cluster.clock.runFor(100)
  assert.ok((await written).isOk())
  assert.is(await finish(cluster, cancel(cluster, entries[0]!), 500), 'unknownJob')
  assert.ok(entries[0]!.events.listFields('FT854').length <= 2)
})

for (const isReplaced of [false, true]) {
  // Guards against rows that nobody deletes.
  test(`the rows of a withdrawn job are deleted once its state would be${isReplaced ? ', after a change of the holder, too' : ''}`, async () => {
    const cluster = createCluster()
    const entries = await startEntries(cluster, ['a', 'b', 'c'])
    const { holder, other } = splitByHolder(cluster, entries)
    assert.is(await finish(cluster, cancel(cluster, other)), 'unknownJob')
    const hasRow = (): boolean => cluster.table.readRow('job', computeJobPart(JOB), JOB)?.deleted === false
    assert.ok(hasRow())
    if (isReplaced) holder.kill()
    await cluster.clock.runFor(STATUS_MS - 10_000)
    assert.ok(hasRow())
    await cluster.clock.runFor(20_000)
    assert.not.ok(hasRow())
    assert.is(await finish(cluster, submit(cluster, other)), 'done')
    await cluster.clock.runFor(1000)
    assert.is(cluster.started.length, 2)
  })
}

test.run()
