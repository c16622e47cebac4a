/** Holders whose event loop is blocked at times: busy, but alive. */
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPartitionCluster, createTestJob, type ClusterEntry, type PartitionCluster, type PartitionClusterOptions } from '../../testing/partitionCluster.js'
import { checkNoConcurrentRuns, splitByHolder, startEntries, submitJob } from '../../testing/partitionClusterSteps.js'
import { RENEWAL_INTERVAL_MS } from '../constants.js'
import { HOLDER_KEY } from '../partitionRows.js'

/** Shortest and longest time for which the event loop of the holder is blocked, in milliseconds; one renewal interval more is below the full timeout. */
const MIN_BLOCK_MS = 300
const MAX_BLOCK_MS = 800
/** Longest time until a lost holder is replaced, in milliseconds; the target of takeoverTimes.spec.ts. */
const MAX_TAKEOVER_MS = 3000
const SEEDS = 5
const ROUNDS = 10
const SUBMIT_INTERVAL_MS = 20

/** Blocks the holder's event loop at times while jobs arrive; returns how many takeovers followed. */
async function countTakeovers (seed: number, cluster: PartitionCluster, entries: readonly ClusterEntry[]): Promise<number> {
  const random = createSeededRandom(seed)
  const { holder, other } = splitByHolder(cluster, entries)
  const countAll = (): number => entries.flatMap((entry) => entry.events.listFields('FT801')).length
  const before = countAll()
  let job = seed * 1000
  const runJobs = async (ms: number): Promise<void> => {
    const endMs = cluster.clock.nowMs() + ms
    while (cluster.clock.nowMs() < endMs) {
      job++
      other.entry.jobs.submitJob(job.toString(16).padStart(16, '0'), createTestJob(cluster.clock, 1), cluster.clock.nowMs() + 3000).catch(() => {})
      await cluster.clock.runFor(SUBMIT_INTERVAL_MS)
    }
  }
  for (let round = 0; round < ROUNDS; round++) {
    await runJobs(500 + random.nextFloat() * 500)
    const blockMs = MIN_BLOCK_MS + random.nextFloat() * (MAX_BLOCK_MS - MIN_BLOCK_MS)
    // In half of the rounds a renewal is in progress; its timer runs before its response is read.
    let isArmed = round % 2 === 1
    if (!isArmed) holder.block(blockMs)
    holder.faults.loseWrite = ({ writes }) => {
      if (isArmed && writes.some((write) => write.key === HOLDER_KEY)) {
        holder.block(blockMs)
        isArmed = false
      }
      return null
    }
    await runJobs(blockMs + RENEWAL_INTERVAL_MS)
  }
  await runJobs(2000)
  checkNoConcurrentRuns(cluster)
  return countAll() - before
}

async function startCluster (options: PartitionClusterOptions = {}): Promise<{ cluster: PartitionCluster, entries: ClusterEntry[] }> {
  const cluster = createPartitionCluster({ ...options, planRun: () => ({ durationMs: 30, how: 'done' }) })
  cluster.addWorker('w1')
  cluster.addWorker('w2')
  return { cluster, entries: await startEntries(cluster, ['a', 'b', 'c', 'd']) }
}

// Guards against a busy holder that reports itself as stuck because its timers run before the responses that have arrived are read.
test('a holder whose event loop is blocked for up to 0.8 s keeps its partition', async () => {
  const takeovers: number[] = []
  for (let seed = 1; seed <= SEEDS; seed++) {
    const { cluster, entries } = await startCluster()
    takeovers.push(await countTakeovers(seed, cluster, entries))
  }
  assert.equal(takeovers, takeovers.map(() => 0))
})

// Guards against a busy holder that is replaced by the one entry that has no link to it.
test('a holder whose event loop is blocked for up to 0.8 s keeps its partition although an entry has no link to it', async () => {
  const takeovers: number[] = []
  for (let seed = 1; seed <= SEEDS; seed++) {
    const { cluster, entries } = await startCluster()
    const { holder } = splitByHolder(cluster, entries)
    for (const entry of entries) if (entry !== holder) cluster.mesh.setCut(holder.incarnation, entry.incarnation)
    await cluster.clock.runFor(4000)
    takeovers.push(await countTakeovers(seed, cluster, entries))
  }
  assert.equal(takeovers, takeovers.map(() => 0))
})

// Guards against a partition that changes hands again and again because each new holder is busy with loading it.
test('a successor that is blocked for 0.8 s right after its takeover keeps the partition although its links are lost', async () => {
  const { cluster, entries } = await startCluster()
  const { holder } = splitByHolder(cluster, entries)
  const rest = entries.filter((entry) => entry !== holder)
  holder.kill()
  while (cluster.findHolder() === holder.name) await cluster.clock.runFor(10)
  const successor = rest.find((entry) => entry.name === cluster.findHolder())!
  await cluster.clock.runFor(300)
  for (const entry of rest) if (entry !== successor) cluster.mesh.closeLink(successor.incarnation, entry.incarnation)
  successor.block(MAX_BLOCK_MS)
  await cluster.clock.runFor(5000)
  assert.is(cluster.findHolder(), successor.name)
  checkNoConcurrentRuns(cluster)
})

test('a successor that is killed right after its takeover is replaced within 3 s', async () => {
  const { cluster, entries } = await startCluster()
  const { holder } = splitByHolder(cluster, entries)
  holder.kill()
  while (cluster.findHolder() === holder.name) await cluster.clock.runFor(10)
  const successor = entries.find((entry) => entry.name === cluster.findHolder())!
  successor.kill()
  await cluster.clock.runFor(MAX_TAKEOVER_MS)
  assert.is.not(cluster.findHolder(), successor.name)
})

// Guards against takeovers of which the log tells neither the reason nor the inputs.
test('the log names the reason and the inputs of a takeover and of a loss', async () => {
  const listReasons = (entries: readonly ClusterEntry[], epoch: number): unknown[] => {
    return entries.flatMap((entry) => entry.events.listFields('FT806')).filter((fields) => fields['epoch'] === epoch).map((fields) => fields['why'])
  }
  const killed = await startCluster()
  assert.equal(listReasons(killed.entries, 1), ['noHolder'])
  const first = splitByHolder(killed.cluster, killed.entries)
  first.holder.kill()
  await killed.cluster.clock.runFor(MAX_TAKEOVER_MS)
  const second = splitByHolder(killed.cluster, killed.entries).holder
  const [fields] = second.events.listFields('FT806')
  assert.equal({ ...fields, renewalAgeMs: 0, termAgeMs: 0, rank: 0 }, {
    cell: 'pages', epoch: 2, why: 'unlinked', rank: 0, cores: 1, holder: first.holder.name, isLinked: false, renewalAgeMs: 0, termAgeMs: 0
  })
  assert.ok(Number(fields?.['renewalAgeMs']) >= 600)
  const released = second.entry.release()
  await killed.cluster.clock.runFor(MAX_TAKEOVER_MS)
  await released
  assert.equal(listReasons(killed.entries, 3), ['successor'])

  for (const [outage, why] of [['busy', 'stuck'], ['silent', 'silent']] as const) {
    const { cluster, entries } = await startCluster({ relaysTableCalls: false })
    const { holder } = splitByHolder(cluster, entries)
    if (outage === 'silent') for (const entry of entries) if (entry !== holder) cluster.mesh.setCut(holder.incarnation, entry.incarnation)
    holder.faults.outage = outage
    await cluster.clock.runFor(MAX_TAKEOVER_MS)
    assert.equal(listReasons(entries, 2), [why])
    holder.faults.outage = null
    await cluster.clock.runFor(MAX_TAKEOVER_MS)
    const lost = holder.events.listFields('FT802')
    assert.is(lost.length, 1)
    assert.ok(lost[0]?.['reason'] === 'succeeded' || lost[0]?.['reason'] === 'termEnded')
    assert.is(lost[0]?.['loopLate'], false)
  }
})

// Guards against TWICE: a successor that reached a worker once knew only of its own leases, not of a longer one by a late holder before it.
test('a worker that is cut off after a change of a late holder runs nothing that starts again elsewhere', async () => {
  for (let reachedMs = 0; reachedMs <= 1000; reachedMs += 250) {
    const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 20_000, how: 'done' }) })
    for (const id of ['w1', 'w2']) cluster.addWorker(id)
    const entries = await startEntries(cluster, ['a', 'b', 'c'])
    const { holder, other } = splitByHolder(cluster, entries)
    await submitJob(cluster, other, '0000000000000001', 4)
    // Late at each turn: the holder grants its longest leases.
    for (let turn = 0; turn < 10; turn++) {
      holder.block(500)
      await cluster.clock.runFor(700)
    }
    holder.kill()
    while (splitByHolder(cluster, entries).holder === holder) await cluster.clock.runFor(50)
    const { events } = splitByHolder(cluster, entries).holder
    while (!events.listFields('FT810').some(({ worker }) => worker === 'w1')) await cluster.clock.runFor(10)
    await cluster.clock.runFor(reachedMs)
    cluster.workers.get('w1')!.faults.cut = true
    await cluster.clock.runFor(15_000)
    assert.ok(cluster.started.some(({ worker, run }) => worker === 'w2' && run > 1), 'the work starts again')
    checkNoConcurrentRuns(cluster)
  }
})

test.run()
