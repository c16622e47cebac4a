/** Ceilings of a client account that the partitions of two services share. */
import type { ClusterConfig, JobStep, Resources } from '@fuchsiatally/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CLUSTER_CONFIG, createPartitionCluster, createTestJob, SERVICE, type ClusterEntry, type PartitionCluster } from '../../testing/partitionCluster.js'
import { splitByHolder, startEntries } from '../../testing/partitionClusterSteps.js'

const OTHER_SERVICE = 'covers'
const CEILING: Resources = { processors: 20, memoryMb: 1_000_000, accelerators: Infinity }
const SMALL_WORKER: Resources = { processors: 16, memoryMb: 65_536, accelerators: 0 }
const LARGE_WORKER: Resources = { processors: 64, memoryMb: 131_072, accelerators: 8 }
/** Time for which idle work may wait while there is room for it, as the users define it, in milliseconds. */
const MAX_IDLE_MS = 3000
const RUN_MS = 2000
/** Ids of jobs whose tasks last begin with it. */
const LASTING_PREFIX = 'f'
const LASTING_MS = 600_000
const CONFIG: ClusterConfig = {
  ...CLUSTER_CONFIG,
  version: 2,
  services: [SERVICE, OTHER_SERVICE],
  teams: CLUSTER_CONFIG.teams.map((team) => ({ ...team, ceiling: CEILING }))
}

interface Submission {
  readonly id: string
  readonly service: string
  readonly processors: number
  readonly step?: Partial<JobStep>
}

/** Creates entries and workers: of the capacity, and so of the ceiling, the first service has a third. */
async function createServices (names: readonly string[] = ['a', 'b']): Promise<{ cluster: PartitionCluster, entries: ClusterEntry[] }> {
  const cluster = createPartitionCluster({ planRun: ({ job }) => ({ durationMs: job.startsWith(LASTING_PREFIX) ? LASTING_MS : RUN_MS, how: 'done' }) })
  cluster.setConfig(CONFIG)
  for (let index = 0; index < 6; index++) cluster.addWorker(`w${index}`, SMALL_WORKER)
  for (let index = 0; index < 3; index++) cluster.addWorker(`x${index}`, LARGE_WORKER, undefined, OTHER_SERVICE)
  return { cluster, entries: await startEntries(cluster, names) }
}

async function submit ({ clock }: PartitionCluster, entry: ClusterEntry, { id, service, processors, step = {} }: Submission): Promise<void> {
  const job = createTestJob(clock, 1, { resources: { processors, memoryMb: 1024, accelerators: 0 }, ...step }, { service })
  const outcome = entry.entry.jobs.submitJob(id, job, clock.nowMs() + 3000)
  await clock.runFor(20)
  assert.is(await outcome, 'done')
}

/** Takes all of the ceiling with lasting tasks of both services, cancels them when both large jobs wait, and so leaves the claims behind that they had. */
async function submitAtFullCeiling (cluster: PartitionCluster, entry: ClusterEntry, large: readonly Submission[]): Promise<void> {
  const lasting: Partial<JobStep> = { longRunning: true }
  const full = [{ id: 'f1', service: SERVICE, processors: 6.5, step: lasting }, { id: 'f2', service: OTHER_SERVICE, processors: 13, step: lasting }]
  for (const submission of full) await submit(cluster, entry, submission)
  await cluster.clock.runFor(MAX_IDLE_MS)
  assert.is(cluster.started.length, 2)
  for (const submission of large) await submit(cluster, entry, submission)
  await cluster.clock.runFor(2000)
  const cancelled = Promise.all(full.map(({ id }) => entry.entry.jobs.cancelJob(id, CONFIG.queues[0]!, cluster.clock.nowMs() + 3000)))
  await cluster.clock.runFor(500)
  assert.equal(await cancelled, ['done', 'done'])
}

function listRuns (cluster: PartitionCluster, id: string) {
  return cluster.started.filter(({ job }) => job === id)
}

/** Most processors that runs of the given needs have used at the same time. */
function computePeak (cluster: PartitionCluster, processors: ReadonlyMap<string, number>): number {
  let peak = 0
  for (const { startedAtMs } of cluster.started) {
    const running = cluster.started.filter((run) => run.startedAtMs <= startedAtMs && (run.endedAtMs ?? Infinity) > startedAtMs)
    peak = Math.max(peak, running.reduce((sum, { job }) => sum + (processors.get(job) ?? 0), 0))
  }
  return peak
}

const LARGE: readonly Submission[] = [{ id: 'l1', service: SERVICE, processors: 10 }, { id: 'l2', service: OTHER_SERVICE, processors: 15 }]

// Guards against accepted jobs that wait for each other's idle claims for good, because each needs more than its partition's share of the ceiling (LOST).
test('two large jobs of one client account at two services run one after the other', async () => {
  const { cluster, entries } = await createServices()
  await submitAtFullCeiling(cluster, entries[0]!, LARGE)
  await cluster.clock.runFor(2 * MAX_IDLE_MS + 2000)
  for (const { id } of LARGE) assert.equal(listRuns(cluster, id).map(({ how }) => how), ['done'], id)
  assert.ok(computePeak(cluster, new Map([['f1', 6.5], ['f2', 13], ['l1', 10], ['l2', 15]])) <= CEILING.processors)
})

// Guards against the same where each job fits the share, but not beside what its service runs for good.
test('jobs that fit the ceiling, but not the rest of their share, run beside lasting tasks', async () => {
  const { cluster, entries } = await createServices()
  const lasting: Partial<JobStep> = { longRunning: true }
  await submit(cluster, entries[0]!, { id: 'f1', service: SERVICE, processors: 5, step: lasting })
  await submit(cluster, entries[0]!, { id: 'f2', service: OTHER_SERVICE, processors: 2, step: lasting })
  await cluster.clock.runFor(MAX_IDLE_MS)
  const waiting = [{ id: 'l1', service: SERVICE, processors: 3 }, { id: 'l2', service: OTHER_SERVICE, processors: 12 }]
  for (const submission of waiting) await submit(cluster, entries[0]!, submission)
  await cluster.clock.runFor(2 * MAX_IDLE_MS)
  for (const { id } of waiting) assert.is(listRuns(cluster, id).length, 1, id)
})

// Guards against a task that waits for the headroom of a partition which needs none.
test('a job runs beside lasting tasks of another service although it takes all that they leave of the ceiling', async () => {
  const { cluster, entries } = await createServices()
  await submit(cluster, entries[0]!, { id: 'f1', service: SERVICE, processors: 6, step: { longRunning: true } })
  await cluster.clock.runFor(MAX_IDLE_MS)
  await submit(cluster, entries[0]!, { id: 'l2', service: OTHER_SERVICE, processors: 14 })
  await cluster.clock.runFor(MAX_IDLE_MS)
  assert.is(listRuns(cluster, 'l2').length, 1)
})

// Guards against a gang that waits for good: it is charged as a whole.
test('two gangs that need more than the shares of their services run one after the other', async () => {
  const { cluster, entries } = await createServices()
  const gangs = LARGE.map((submission, index) => ({ ...submission, processors: submission.processors / (index + 2), step: { gang: true, taskCount: index + 2 } }))
  await submitAtFullCeiling(cluster, entries[0]!, gangs)
  await cluster.clock.runFor(2 * MAX_IDLE_MS + 2000)
  for (const { id, step } of gangs) assert.is(listRuns(cluster, id).filter(({ how }) => how === 'done').length, step.taskCount, id)
})

// Guards against a turn that is lost with the holder that took it, or blocks the other partition meanwhile.
test('two large jobs run one after the other although a holder is killed while both wait', async () => {
  const { cluster, entries } = await createServices(['a', 'b', 'c'])
  const { holder, other } = splitByHolder(cluster, entries)
  await submitAtFullCeiling(cluster, other, LARGE)
  holder.kill()
  await cluster.clock.runFor(3 * MAX_IDLE_MS)
  for (const { id } of LARGE) assert.equal(listRuns(cluster, id).map(({ how }) => how), ['done'], id)
})

// Guards against a partition that nobody holds any more and whose turn keeps all others from the ceiling.
test('a job starts although a partition without a holder has an earlier turn', async () => {
  const { cluster, entries } = await createServices()
  cluster.table.writeRow('cell', '!claims', { cells: { former: { epoch: 1, claims: {}, wanted: ['clubs'], turns: { clubs: { number: 1, needed: [20, 1024, 0] } } } } })
  await cluster.clock.runFor(MAX_IDLE_MS)
  await submit(cluster, entries[0]!, { id: 'l2', service: OTHER_SERVICE, processors: 15 })
  await cluster.clock.runFor(MAX_IDLE_MS)
  assert.is(listRuns(cluster, 'l2').length, 1)
})

// Guards against work that can never start, and for which a partition keeps what the others need.
test('jobs that exceed the ceiling, or all workers, keep no other job from the ceiling', async () => {
  const { cluster, entries } = await createServices()
  await submit(cluster, entries[0]!, { id: 'n1', service: SERVICE, processors: 25 })
  await submit(cluster, entries[0]!, { id: 'n2', service: SERVICE, processors: 18 })
  await cluster.clock.runFor(MAX_IDLE_MS)
  await submit(cluster, entries[0]!, { id: 'l2', service: OTHER_SERVICE, processors: 19 })
  await cluster.clock.runFor(MAX_IDLE_MS)
  assert.is(listRuns(cluster, 'l2').length, 1)
})

test.run()
