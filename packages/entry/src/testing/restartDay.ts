/** A day on which workers are dark for a moment, start again under their ids and are cut off soon after, while long tasks run. */
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import * as assert from 'uvu/assert'
import { createPartitionCluster, createTestJob, type ClusterEntry, type PartitionCluster } from './partitionCluster.js'
import { checkNoConcurrentRuns, checkNoStartAfterEnd, readState } from './partitionClusterSteps.js'

const ENTRIES = 3
const WORKERS = 6
const JOBS = 40
const LOAD_MS = 20_000
const QUIET_MS = 90_000
const CUT_MS = 9000
const LONG_RUN_MS = 12_000
const MAX_LEASE_MS = 10_000
/** Longest time after which a call without a response is executed, in milliseconds. */
const MAX_LATE_MS = 6000

/** What else happens on the day. */
export interface RestartDayOptions {
  readonly seed: number
  /** Share of the calls to a worker that has just restarted that get no response and are executed late. */
  readonly lateShare?: number
  /** Whether holders are killed and start again. */
  readonly killsHolders?: boolean
}

function buildId (job: number): string {
  return job.toString(16).padStart(16, '0')
}

async function playDay ({ seed, lateShare = 0, killsHolders = false }: RestartDayOptions): Promise<{ cluster: PartitionCluster, entry: ClusterEntry }> {
  const random = createSeededRandom(seed)
  const pick = <T>(items: readonly T[]): T => items[Math.floor(random.nextFloat() * items.length)]!
  const cluster = createPartitionCluster({
    maxLeaseMs: MAX_LEASE_MS,
    reusesWorkerIds: true,
    planRun: ({ job }) => ({ durationMs: parseInt(job, 16) % 3 === 0 ? LONG_RUN_MS : 50 + Math.floor(random.nextFloat() * 600), how: 'done' })
  })
  for (let index = 0; index < WORKERS; index++) cluster.addWorker(`w${index}`, undefined, `rack${index}`)
  const entries = Array.from({ length: ENTRIES }, (_, index) => cluster.addEntry(`e${index}`))
  await cluster.clock.runFor(3000 + random.nextFloat() * 10_000)

  const restartWorker = (): void => {
    const { clock } = cluster
    const free = [...cluster.workers.values()].filter(({ faults, isCrashed }) => !faults.cut && !isCrashed())
    if (free.length < WORKERS / 2) return
    const worker = pick(free)
    const { faults } = worker
    const delayCall = (): { readonly afterMs: number } | null => random.nextFloat() < lateShare ? { afterMs: random.nextFloat() < 0.5 ? 5 : random.nextFloat() * MAX_LATE_MS } : null
    faults.delayCall = delayCall
    const darkMs = random.nextFloat() < 0.3 ? 0 : 100 + random.nextFloat() * 500
    worker.loseRuns()
    faults.darkUntilMs = clock.nowMs() + darkMs
    clock.setTimer(darkMs, () => {
      worker.restart(true)
      cluster.table.writeRow('servers', worker.listing.id, { ...worker.listing, bornAtMs: clock.wallMs() })
      clock.setTimer(20 + random.nextFloat() * 2600, () => {
        faults.cut = true
        clock.setTimer(CUT_MS, () => {
          faults.cut = false
          faults.delayCall = () => null
        })
      })
    })
  }

  const restartHolder = (): void => {
    const index = entries.findIndex(({ name }) => name === cluster.findHolder())
    if (index < 0) return
    const [holder] = entries.splice(index, 1)
    holder!.kill()
    cluster.clock.setTimer(1000, () => { entries.push(cluster.addEntry(holder!.name)) })
  }

  for (let job = 1; job <= JOBS; job++) {
    const outcome = pick(entries).entry.jobs.submitJob(buildId(job), createTestJob(cluster.clock, 1 + Math.floor(random.nextFloat() * 4), {}, { maxAttempts: 100 }), cluster.clock.nowMs() + 3000)
    await cluster.clock.runFor(LOAD_MS / JOBS)
    await outcome
    if (random.nextFloat() < 0.35) restartWorker()
    if (killsHolders && random.nextFloat() < 0.12) restartHolder()
  }
  await cluster.clock.runFor(QUIET_MS)
  return { cluster, entry: entries.at(-1)! }
}

/** Plays a day, and checks that no task ran twice and that all jobs are completed. */
export async function checkRestartDay (options: RestartDayOptions): Promise<void> {
  const { cluster, entry } = await playDay(options)
  checkNoConcurrentRuns(cluster)
  checkNoStartAfterEnd(cluster)
  for (let job = 1; job <= JOBS; job++) {
    const state = await readState(cluster, entry, buildId(job))
    // A task under which two workers have crashed may be given up; a submission may have failed with its entry.
    assert.ok(['completed', 'failed', 'unknown'].includes(state), `seed ${options.seed}: ${buildId(job)} is ${state}`)
  }
}
