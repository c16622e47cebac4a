/** A day with several tasks that crash their workers, beside other trouble. */
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import * as assert from 'uvu/assert'
import { createPartitionCluster, createTestJob, type ClusterEntry, type PartitionCluster } from './partitionCluster.js'
import { checkNoConcurrentRuns, readState } from './partitionClusterSteps.js'

const ENTRIES = 5
const RACKS = 4
const RACK_SIZE = 4
const JOBS = 60
const BAD_JOBS = [8, 20, 32]
const LASTING_JOB = 3
const LOAD_MS = 15_000
const QUIET_MS = 60_000
const CUT_MS = 5000
/** What happens to connections to a crashed worker, by seed. */
const CRASHED_ADDRESSES = ['hangsUp', 'refuses', 'refuses', 'silent', 'refuses'] as const
/** Starts of a task that crashes each of its workers, by the users' rule: three more after three crashes break it. */
const MAX_CRASHING_STARTS = 5

/** Other trouble of a day. */
export type Trouble = 'rack' | 'silentCut' | 'refusingCut' | 'restart' | 'holder'

function buildId (job: number): string {
  return job.toString(16).padStart(16, '0')
}

function isBad (job: string, index: number): boolean {
  return index === 0 && BAD_JOBS.some((bad) => buildId(bad) === job)
}

function cutWorkers (cluster: PartitionCluster, workers: readonly string[], fault: 'cut' | 'refuses'): void {
  const cut = workers.map((id) => cluster.workers.get(id)!).filter(({ faults }) => !faults.refuses)
  for (const { faults } of cut) faults[fault] = true
  cluster.clock.setTimer(CUT_MS, () => {
    // One that has crashed meanwhile responds again in its next life only.
    for (const { faults, isCrashed } of cut) faults[fault] = fault === 'refuses' && isCrashed()
  })
}

/** Plays a day with one trouble each two seconds; returns the cluster and an entry that is up at the end. */
async function playDay (seed: number, troubles: readonly Trouble[], crashAfterMs: number): Promise<{ cluster: PartitionCluster, entry: ClusterEntry }> {
  const random = createSeededRandom(seed)
  const pick = <T>(items: readonly T[]): T => items[Math.floor(random.nextFloat() * items.length)]!
  const cluster = createPartitionCluster({
    maxLeaseMs: 3000,
    reusesWorkerIds: seed % 2 === 0,
    crashedAddress: CRASHED_ADDRESSES[seed % CRASHED_ADDRESSES.length]!,
    planRun: ({ job, index }) => {
      if (isBad(job, index)) return { durationMs: crashAfterMs, how: 'crash' }
      return { durationMs: job === buildId(LASTING_JOB) ? 600_000 : 300 + Math.floor(random.nextFloat() * 900), how: 'done' }
    }
  })
  for (let index = 0; index < RACKS * RACK_SIZE; index++) cluster.addWorker(`w${index}`, undefined, `rack${Math.floor(index / RACK_SIZE)}`)
  const entries: ClusterEntry[] = []
  for (let index = 0; index < ENTRIES; index++) entries.push(cluster.addEntry(`e${index}`))
  await cluster.clock.runFor(3000)

  const listLive = (): string[] => [...cluster.workers].filter(([, { faults, isReplaced }]) => !faults.refuses && !faults.cut && !isReplaced()).map(([id]) => id)
  const causeTrouble = (trouble: Trouble): void => {
    const live = listLive()
    if (trouble === 'holder') {
      const index = entries.findIndex(({ name }) => name === cluster.findHolder())
      if (index >= 0 && entries.length > 2) entries.splice(index, 1)[0]!.kill()
    } else if (trouble === 'restart') cluster.workers.get(pick(live))!.restart()
    else if (trouble === 'rack') {
      const rack = `rack${Math.floor(random.nextFloat() * RACKS)}`
      for (const id of live) if (cluster.workers.get(id)!.listing.labels[1] === rack) cluster.crashWorker(id)
    } else cutWorkers(cluster, [pick(live), pick(live)], trouble === 'silentCut' ? 'cut' : 'refuses')
  }

  let nextTroubleMs = 2000
  for (let job = 1; job <= JOBS; job++) {
    const id = buildId(job)
    const isLasting = job === LASTING_JOB
    const outcome = entries.at(-1)!.entry.jobs.submitJob(id, createTestJob(cluster.clock, 4, { longRunning: isLasting }), cluster.clock.nowMs() + 3000)
    await cluster.clock.runFor(LOAD_MS / JOBS)
    assert.is(await outcome, 'done')
    if (job * LOAD_MS / JOBS < nextTroubleMs || troubles.length === 0) continue
    nextTroubleMs += 2000
    causeTrouble(pick(troubles))
  }
  await cluster.clock.runFor(QUIET_MS)
  return { cluster, entry: entries.at(-1)! }
}

/** Plays a day, and checks that only tasks that crash their workers are given up, and in time. */
export async function checkDay (seed: number, troubles: readonly Trouble[], crashAfterMs: number): Promise<void> {
  const { cluster, entry } = await playDay(seed, troubles, crashAfterMs)
  for (let job = 1; job <= JOBS; job++) {
    const id = buildId(job)
    // Runs that a rack or a restart ended earlier are no crashes of the task.
    const starts = cluster.started.filter((run) => run.job === id && isBad(id, run.index) && run.endedAtMs !== null && run.endedAtMs - run.startedAtMs >= crashAfterMs).length
    assert.ok(starts <= MAX_CRASHING_STARTS, `seed ${seed}: ${id} was started ${starts} times`)
    const expected = BAD_JOBS.includes(job) ? 'failed' : job === LASTING_JOB ? 'running' : 'completed'
    assert.is(await readState(cluster, entry, id), expected, `seed ${seed}: ${id}`)
  }
  const lasting = cluster.started.filter(({ job, how }) => job === buildId(LASTING_JOB) && how === null)
  assert.is(lasting.length, 4, `seed ${seed}: lasting tasks that run`)
  checkNoConcurrentRuns(cluster)
}
