/** Measures for how long a partition starts no runs after it has lost its holder, over seeded simulations, against the stated targets. */
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPartitionCluster, createTestJob, type PartitionCluster, type ClusterEntry } from '../../testing/partitionCluster.js'
import { checkNoConcurrentRuns, splitByHolder, startEntries } from '../../testing/partitionClusterSteps.js'

const SEEDS = 50
/** Interval between submissions, in milliseconds. */
const SUBMIT_INTERVAL_MS = 20
/** Longest time without starts, in milliseconds: after the failure of a holder (median and maximum), and after its graceful shutdown. */
const MAX_MEDIAN_GAP_MS = 1500
const MAX_GAP_MS = 3000
const MAX_HANDOVER_GAP_MS = 300

type HolderFailure = (cluster: PartitionCluster, holder: ClusterEntry, others: readonly ClusterEntry[]) => void

const killHolder: HolderFailure = (_cluster, holder) => holder.kill()

const cutHolder: HolderFailure = (cluster, holder, others) => {
  holder.faults.outage = 'silent'
  for (const other of others) cluster.mesh.setCut(holder.incarnation, other.incarnation)
}

const refuseHolder: HolderFailure = (_cluster, holder) => { holder.faults.outage = 'busy' }

const releaseHolder: HolderFailure = (_cluster, holder) => { holder.entry.release().catch(() => {}) }

/** Longest time without a start after the failure of the holder, in milliseconds. */
async function measureGap (seed: number, failHolder: HolderFailure): Promise<number> {
  const random = createSeededRandom(seed)
  const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 30, how: 'done' }) })
  cluster.addWorker('w1')
  cluster.addWorker('w2')
  const entries = await startEntries(cluster, ['a', 'b', 'c', 'd'])
  const { holder, other } = splitByHolder(cluster, entries)
  let job = seed * 1000
  const runJobs = async (ms: number): Promise<void> => {
    for (let passedMs = 0; passedMs < ms; passedMs += SUBMIT_INTERVAL_MS) {
      job++
      other.entry.jobs.submitJob(job.toString(16).padStart(16, '0'), createTestJob(cluster.clock, 1), cluster.clock.nowMs() + 3000).catch(() => {})
      await cluster.clock.runFor(SUBMIT_INTERVAL_MS)
    }
  }
  await runJobs(500 + Math.floor(random.nextFloat() * 1000))
  const lostAtMs = cluster.clock.nowMs()
  failHolder(cluster, holder, entries.filter((entry) => entry !== holder))
  await runJobs(5000)
  checkNoConcurrentRuns(cluster)
  let gapMs = 0
  let lastMs = lostAtMs
  for (const startedAtMs of [...cluster.started.map((run) => run.startedAtMs), cluster.clock.nowMs()].sort((a, b) => a - b)) {
    if (startedAtMs < lostAtMs) continue
    gapMs = Math.max(gapMs, startedAtMs - lastMs)
    lastMs = startedAtMs
  }
  return gapMs
}

async function measureGaps (failHolder: HolderFailure): Promise<{ medianMs: number, worstMs: number }> {
  const gaps: number[] = []
  for (let seed = 1; seed <= SEEDS; seed++) gaps.push(await measureGap(seed, failHolder))
  gaps.sort((a, b) => a - b)
  return { medianMs: gaps[Math.floor(SEEDS / 2)]!, worstMs: gaps.at(-1)! }
}

const HOLDER_FAILURES: readonly (readonly [string, HolderFailure])[] = [['killed', killHolder], ['cut off', cutHolder], ['refused by the table', refuseHolder]]
for (const [name, failHolder] of HOLDER_FAILURES) {
  test(`after a holder is ${name}, starts resume within 1.5 s (median) and 3 s (at most)`, async () => {
    const { medianMs, worstMs } = await measureGaps(failHolder)
    console.log(`holder ${name}: ${medianMs} ms (median), ${worstMs} ms (longest of ${SEEDS})`)
    assert.ok(medianMs <= MAX_MEDIAN_GAP_MS && worstMs <= MAX_GAP_MS, `${medianMs} ms, ${worstMs} ms`)
  })
}

test('after a graceful shutdown of the holder, starts resume within 0.3 s', async () => {
  const { medianMs, worstMs } = await measureGaps(releaseHolder)
  console.log(`graceful shutdown: ${medianMs} ms (median), ${worstMs} ms (longest of ${SEEDS})`)
  assert.ok(worstMs <= MAX_HANDOVER_GAP_MS, `${worstMs} ms`)
})

test.run()
