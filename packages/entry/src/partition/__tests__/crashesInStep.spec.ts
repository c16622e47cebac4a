/** Load pattern: many poison pills among sound jobs, in racks that refuse connections; their crashes coincide. */
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPartitionCluster, createTestJob } from '../../testing/partitionCluster.js'
import { checkNoConcurrentRuns, readState } from '../../testing/partitionClusterSteps.js'

const WORKERS = 18
const RACK_SIZE = 9
const JOBS = 300
const JOB_INTERVAL_MS = 1000 / 15
const BAD_SHARE = 0.2
const CRASH_AFTER_MS = 10
const QUIET_MS = 60_000
/** Starts of a task that crashes each of its workers, by the users' rule: three more after three crashes break it. */
const MAX_CRASHING_STARTS = 5

function buildId (job: number): string {
  return job.toString(16).padStart(16, '0')
}

/** Plays a day whose holder is killed in the middle, and checks that only jobs with a task that crashes its workers fail, and in time. */
async function checkDay (seed: number): Promise<void> {
  const random = createSeededRandom(seed)
  const bad = new Set<string>()
  for (let job = 1; job <= JOBS; job++) if (random.nextFloat() < BAD_SHARE) bad.add(buildId(job))
  const cluster = createPartitionCluster({
    maxLeaseMs: 3000,
    planRun: ({ job, index }) => bad.has(job) && index === 0 ? { durationMs: CRASH_AFTER_MS, how: 'crash' } : { durationMs: 300 + Math.floor(random.nextFloat() * 900), how: 'done' }
  })
  for (let index = 0; index < WORKERS; index++) cluster.addWorker(`w${index}`, undefined, `rack${Math.floor(index / RACK_SIZE)}`)
  const entries = ['a', 'b', 'c', 'd'].map((name) => cluster.addEntry(name))
  const submitter = entries.at(-1)!
  await cluster.clock.runFor(3000)
  for (let job = 1; job <= JOBS; job++) {
    const outcome = submitter.entry.jobs.submitJob(buildId(job), createTestJob(cluster.clock, 4), cluster.clock.nowMs() + 3000)
    await cluster.clock.runFor(JOB_INTERVAL_MS)
    assert.is(await outcome, 'done')
    if (job !== JOBS / 2) continue
    const holder = entries.find(({ name }) => name === cluster.findHolder())
    if (holder !== submitter) holder?.kill()
  }
  await cluster.clock.runFor(QUIET_MS)
  for (let job = 1; job <= JOBS; job++) {
    const id = buildId(job)
    const starts = cluster.started.filter((run) => run.job === id && run.index === 0).length
    if (bad.has(id)) assert.ok(starts <= MAX_CRASHING_STARTS, `seed ${seed}: ${id} was started ${starts} times`)
    assert.is(await readState(cluster, submitter, id), bad.has(id) ? 'failed' : 'completed', `seed ${seed}: ${id}`)
  }
  checkNoConcurrentRuns(cluster)
}

// Guards against BUDGET: tasks that crashed their workers at the same moment excused each other.
test('tasks that crash their workers in step are given up in time, and sound jobs beside them are completed', async () => {
  for (const seed of [11, 12, 17]) await checkDay(seed)
})

test.run()
