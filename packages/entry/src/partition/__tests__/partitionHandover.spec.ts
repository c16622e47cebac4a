/** Planned hand-over of partitions from small entries to larger ones that are idle. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CLUSTER_CONFIG, createPartitionCluster, createTestJob, type ClusterEntry, type PartitionCluster } from '../../testing/partitionCluster.js'
import { checkNoConcurrentRuns, readState, splitByHolder } from '../../testing/partitionClusterSteps.js'

const SMALL_CORES = 0.324
const LARGE_CORES = 1.35
/** Time for which a holder and its successor have to be up before a hand-over, with a margin, in milliseconds. */
const SETTLED_MS = 8000
/** Longest time without starts after the loss of a holder and in a hand-over, in milliseconds; the targets of takeoverTimes.spec.ts. */
const MAX_GAP_MS = 3000
const MAX_HANDOVER_GAP_MS = 300

function countTakeovers (entries: readonly ClusterEntry[]): number {
  return entries.flatMap((entry) => entry.events.listFields('FT801')).length
}

function findHolderOf (cluster: PartitionCluster, partition: string): string | null {
  const row = cluster.table.readRow('cell', partition, 'holder')
  return row === undefined ? null : (JSON.parse(row.value) as { entry: string }).entry
}

async function startSmallEntries (cluster: PartitionCluster, count: number): Promise<ClusterEntry[]> {
  const entries = Array.from({ length: count }, (_, index) => cluster.addEntry(`s${index}`, SMALL_CORES))
  await cluster.clock.runFor(MAX_GAP_MS)
  return entries
}

// Guards against a partition that stays at a small entry after the large ones came back, and against jobs that its move loses or runs twice.
test('a partition is handed over once to a large entry that came back, without a job lost or run twice', async () => {
  const cluster = createPartitionCluster({ planRun: (order) => ({ durationMs: order.job.endsWith('0') ? 12_000 : 300, how: 'done' }) })
  cluster.addWorker('w1', { processors: 64, memoryMb: 131_072, accelerators: 0 })
  cluster.addWorker('w2', { processors: 64, memoryMb: 131_072, accelerators: 0 })
  const entries = await startSmallEntries(cluster, 4)
  const ids: string[] = []
  const runJobs = async (ms: number): Promise<void> => {
    for (let passedMs = 0; passedMs < ms; passedMs += 20) {
      const id = (ids.length + 1).toString(16).padStart(16, '0')
      ids.push(id)
      entries[ids.length % entries.length]!.entry.jobs.submitJob(id, createTestJob(cluster.clock, 1), cluster.clock.nowMs() + 3000).catch(() => {})
      await cluster.clock.runFor(20)
    }
  }
  await runJobs(1000)
  assert.match(cluster.findHolder() ?? '', /^s/)
  entries.push(cluster.addEntry('l0', LARGE_CORES), cluster.addEntry('l1', LARGE_CORES))
  const sinceMs = cluster.clock.nowMs()
  await runJobs(SETTLED_MS)
  assert.match(cluster.findHolder() ?? '', /^l/)
  await runJobs(2000)
  await cluster.clock.runFor(30_000)
  assert.is(countTakeovers(entries), 2)
  for (const id of ids) assert.is(await readState(cluster, entries[0]!, id), 'completed', id)
  assert.is(cluster.started.length, ids.length)
  checkNoConcurrentRuns(cluster)
  const starts = cluster.started.map((run) => run.startedAtMs).filter((atMs) => atMs >= sinceMs).sort((a, b) => a - b)
  const gaps = starts.slice(1).map((atMs, index) => atMs - starts[index]!)
  assert.ok(Math.max(...gaps) <= MAX_HANDOVER_GAP_MS, `${Math.max(...gaps)} ms without starts`)
})

test('the partitions of one small entry are handed over to different large entries', async () => {
  const cluster = createPartitionCluster()
  const services = ['pages', 'covers', 'bindings']
  cluster.setConfig({ ...CLUSTER_CONFIG, services })
  cluster.addEntry('s0', SMALL_CORES)
  await cluster.clock.runFor(MAX_GAP_MS)
  assert.equal(services.map((service) => findHolderOf(cluster, service)), ['s0', 's0', 's0'])
  for (let index = 0; index < 4; index++) cluster.addEntry(`l${index}`, LARGE_CORES)
  await cluster.clock.runFor(2 * SETTLED_MS)
  const holders = services.map((service) => findHolderOf(cluster, service) ?? '')
  for (const holder of holders) assert.match(holder, /^l/)
  assert.is(new Set(holders).size, services.length)
})

// Guards against partitions that move for nothing, or back and forth.
test('a partition is not handed over to an entry that is less than twice as large, has just started, or holds a partition', async () => {
  const cluster = createPartitionCluster()
  const entries = await startSmallEntries(cluster, 3)
  entries.push(cluster.addEntry('m0', 1.9 * SMALL_CORES))
  await cluster.clock.runFor(3 * SETTLED_MS)
  assert.match(cluster.findHolder() ?? '', /^s/)
  for (let round = 0; round < 5; round++) {
    const restarted = cluster.addEntry('l0', LARGE_CORES)
    await cluster.clock.runFor(3000)
    assert.match(cluster.findHolder() ?? '', /^s/, `round ${round}`)
    restarted.kill()
  }
  assert.is(countTakeovers(entries), 1)

  const both = createPartitionCluster()
  both.setConfig({ ...CLUSTER_CONFIG, services: ['pages', 'covers'] })
  both.addEntry('l0', LARGE_CORES)
  await both.clock.runFor(MAX_GAP_MS)
  const [small, large] = [both.addEntry('s0', SMALL_CORES), both.addEntry('l1', LARGE_CORES)]
  await both.clock.runFor(3 * SETTLED_MS)
  assert.is(countTakeovers([small, large]), 0)
})

// Guards against a partition that nobody holds because the entry named as its successor cannot take it.
test('a partition is taken over within 3 s if the named successor cannot', async () => {
  const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 300, how: 'done' }) })
  cluster.addWorker('w1')
  const entries = await startSmallEntries(cluster, 4)
  const { holder } = splitByHolder(cluster, entries)
  const large = cluster.addEntry('l0', LARGE_CORES)
  await cluster.clock.runFor(1000)
  large.faults.outage = 'busy'
  for (let passedMs = 0; passedMs < SETTLED_MS && holder.events.listFields('FT803').length === 0; passedMs += 50) await cluster.clock.runFor(50)
  assert.is(holder.events.listFields('FT803').length, 1)
  await cluster.clock.runFor(MAX_GAP_MS)
  const row = JSON.parse(cluster.table.readRow('cell', 'pages', 'holder')!.value) as { entry: string, released: boolean }
  assert.match(row.entry, /^s/)
  assert.not(row.released)
})

// Guards against repeated hand-overs to a linked entry whose commits the table refuses: each leaves the partition without a holder for 600 ms.
test('a successor that could not take a partition over is not named again during a table outage of 9 s', async () => {
  const cluster = createPartitionCluster()
  const entries = await startSmallEntries(cluster, 4)
  const large = cluster.addEntry('l0', LARGE_CORES)
  const countHandovers = (): number => entries.flatMap((entry) => entry.events.listFields('FT805')).length
  await cluster.clock.runFor(1000)
  large.faults.outage = 'busy'
  for (let passedMs = 0; passedMs < SETTLED_MS && countHandovers() === 0; passedMs += 50) await cluster.clock.runFor(50)
  await cluster.clock.runFor(9000)
  assert.is(countHandovers(), 1)
  assert.match(cluster.findHolder() ?? '', /^s/)
  large.faults.outage = null
  await cluster.clock.runFor(15_000)
  assert.is(countHandovers(), 2)
  assert.is(cluster.findHolder(), 'l0')
})

test('a holder takes its partition back if it has no other peer than the named successor, and that one cannot take it', async () => {
  const cluster = createPartitionCluster()
  const [small] = await startSmallEntries(cluster, 1)
  const large = cluster.addEntry('l0', LARGE_CORES)
  await cluster.clock.runFor(1000)
  large.faults.outage = 'busy'
  for (let passedMs = 0; passedMs < SETTLED_MS && small!.events.listFields('FT803').length === 0; passedMs += 50) await cluster.clock.runFor(50)
  assert.is(small!.events.listFields('FT803').length, 1)
  // A holder that lost a partition doesn't take it back for `turnMs` and a margin, 4 s.
  await cluster.clock.runFor(4000 + MAX_GAP_MS)
  assert.is(countTakeovers([small!]), 2)
})

test.run()
