/** Measures how long a cell starts nothing when its holder is lost, over seeded runs, against the stated targets. */
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPartitionCluster, createTestJob, type PartitionCluster, type ClusterEntry } from '../../testing/partitionCluster.js'
import { checkNoTwins, splitByHolder, startEntries } from '../../testing/partitionClusterSteps.js'

const RUNS = 50
/** A job comes each 20 ms. */
const PACE_MS = 20
/** Targets for a lost holder, and for a planned stop, in milliseconds. */
const MEDIAN_MS = 1500
const WORST_MS = 3000
const PLANNED_MS = 300

type Loss = (cluster: PartitionCluster, holder: ClusterEntry, others: readonly ClusterEntry[]) => void

const killHolder: Loss = (_cluster, holder) => holder.kill()

const cutHolder: Loss = (cluster, holder, others) => {
  holder.faults.outage = 'silent'
  for (const other of others) cluster.mesh.setCut(holder.incarnation, other.incarnation)
}

const refuseHolder: Loss = (_cluster, holder) => { holder.faults.outage = 'busy' }

const stopHolder: Loss = (_cluster, holder) => { holder.entry.release().catch(() => {}) }

/** Longest time without a start after the holder is lost, in milliseconds. */
async function measureGap (seed: number, lose: Loss): Promise<number> {
  const random = createSeededRandom(seed)
  const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 30, how: 'done' }) })
  cluster.addWorker('w1')
  cluster.addWorker('w2')
  const entries = await startEntries(cluster, ['a', 'b', 'c', 'd'])
  const { holder, other } = splitByHolder(cluster, entries)
  let job = seed * 1000
  const runJobs = async (ms: number): Promise<void> => {
    for (let passedMs = 0; passedMs < ms; passedMs += PACE_MS) {
      job++
      other.entry.desk.submitJob(job.toString(16).padStart(16, '0'), createTestJob(cluster.clock, 1), cluster.clock.nowMs() + 3000).catch(() => {})
      await cluster.clock.runFor(PACE_MS)
    }
  }
  await runJobs(500 + Math.floor(random.nextFloat() * 1000))
  const lostAtMs = cluster.clock.nowMs()
  lose(cluster, holder, entries.filter((entry) => entry !== holder))
  await runJobs(5000)
  checkNoTwins(cluster)
  let gapMs = 0
  let lastMs = lostAtMs
  for (const startedAtMs of [...cluster.started.map((run) => run.startedAtMs), cluster.clock.nowMs()].sort((a, b) => a - b)) {
    if (startedAtMs < lostAtMs) continue
    gapMs = Math.max(gapMs, startedAtMs - lastMs)
    lastMs = startedAtMs
  }
  return gapMs
}

async function measureGaps (lose: Loss): Promise<{ medianMs: number, worstMs: number }> {
  const gaps: number[] = []
  for (let seed = 1; seed <= RUNS; seed++) gaps.push(await measureGap(seed, lose))
  gaps.sort((a, b) => a - b)
  return { medianMs: gaps[Math.floor(RUNS / 2)]!, worstMs: gaps.at(-1)! }
}

const LOSSES: readonly (readonly [string, Loss])[] = [['killed', killHolder], ['cut off', cutHolder], ['refused by the table', refuseHolder]]
for (const [name, lose] of LOSSES) {
  test(`a holder that is ${name}: starts go on within 1.5 s (median) and 3 s (at most)`, async () => {
    const { medianMs, worstMs } = await measureGaps(lose)
    console.log(`holder ${name}: ${medianMs} ms (median), ${worstMs} ms (longest of ${RUNS})`)
    assert.ok(medianMs <= MEDIAN_MS && worstMs <= WORST_MS, `${medianMs} ms, ${worstMs} ms`)
  })
}

test('a planned stop of the holder: starts go on within 0.3 s', async () => {
  const { medianMs, worstMs } = await measureGaps(stopHolder)
  console.log(`planned stop: ${medianMs} ms (median), ${worstMs} ms (longest of ${RUNS})`)
  assert.ok(worstMs <= PLANNED_MS, `${worstMs} ms`)
})

test.run()
