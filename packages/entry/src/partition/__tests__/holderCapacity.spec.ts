/** Which entry holds a partition when entries differ in processor capacity. */
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CLUSTER_CONFIG, createPartitionCluster, type ClusterEntry, type PartitionCluster } from '../../testing/partitionCluster.js'
import { splitByHolder } from '../../testing/partitionClusterSteps.js'
import { parseCapacityRow } from '../partitionRows.js'
import { computeSuccessorRank } from '../rendezvousRank.js'

const SMALL_CORES = 0.324
const LARGE_CORES = 1.35
const SERVICES = ['pages', 'covers', 'bindings', 'stitching']

/** Longest time until a partition has a holder, median and maximum, in milliseconds; the targets of takeoverTimes.spec.ts. */
const MEDIAN_TAKEOVER_MS = 1500
const MAX_TAKEOVER_MS = 3000

function findHolderOf (cluster: PartitionCluster, partition: string): string | null {
  const row = cluster.table.readRow('cell', partition, 'holder')
  return row === undefined ? null : (JSON.parse(row.value) as { entry: string }).entry
}

/** Starts small entries `s0`, `s1`, ... and large entries `l0`, `l1`, ... at the same time. */
async function startMixedEntries (cluster: PartitionCluster, smallCount: number, largeCount: number): Promise<ClusterEntry[]> {
  const entries: ClusterEntry[] = []
  for (let index = 0; index < smallCount; index++) entries.push(cluster.addEntry(`s${index}`, SMALL_CORES))
  for (let index = 0; index < largeCount; index++) entries.push(cluster.addEntry(`l${index}`, LARGE_CORES))
  await cluster.clock.runFor(3000)
  return entries
}

// Guards against entries of earlier versions that reject a row with the capacity and open no link to its entry.
test('each entry states its capacity outside its entry row, which earlier versions decode', async () => {
  const cluster = createPartitionCluster()
  cluster.addEntry('a', 0.324)
  await cluster.clock.runFor(100)
  assert.equal(JSON.parse(cluster.table.readRow('cell', '!capacity', 'a')?.value ?? '{}'), { cores: 0.324 })
  assert.equal(Object.keys(JSON.parse(cluster.table.readRow('cell', '', 'a')!.value) as object).sort(), ['failureDomain', 'incarnation', 'linkAddress'])
})

// Guards against capacities that no processor has.
test('a capacity row without a positive number of cores is logged and ignored', () => {
  const events = createMemoryEventLog()
  for (const value of ['{"cores":0}', '{"cores":-1}', '{"cores":"2"}', '{}', '[', '{"cores":1e999}']) {
    assert.is(parseCapacityRow({ table: 'cell', part: '!capacity', key: 'a', value, version: 1, deleted: false }, events), null)
  }
  assert.is(events.listFields('FT854').length, 6)
})

test('successors are ordered by capacity, then by hash, and each held partition lowers the priority', () => {
  const candidates = [
    { entry: 's0', cores: SMALL_CORES, held: 0 }, { entry: 's1', cores: 0.33, held: 0 }, { entry: 's2', cores: SMALL_CORES, held: 1 },
    { entry: 'l0', cores: LARGE_CORES, held: 0 }, { entry: 'l1', cores: 1.3, held: 0 }, { entry: 'l2', cores: LARGE_CORES, held: 1 }
  ]
  const orders = SERVICES.map((service) => {
    const ranks = candidates.map((own) => computeSuccessorRank(service, own, candidates))
    const order = candidates.map((candidate, index) => ({ entry: candidate.entry, rank: ranks[index]! })).sort((a, b) => a.rank - b.rank)
    assert.equal(order.map(({ rank }) => rank), [0, 1, 2, 3, 4, 5])
    return order.map(({ entry }) => entry)
  })
  for (const order of orders) {
    assert.equal(order.slice(0, 2).sort(), ['l0', 'l1'])
    assert.is(order[2], 'l2')
    assert.equal(order.slice(3, 5).sort(), ['s0', 's1'])
    assert.is(order[5], 's2')
  }
  assert.ok(new Set(orders.map((order) => order[0])).size === 2)
})

// Guards against a partition that the next small entry in hash order takes over while larger ones are idle.
test('a killed holder is succeeded by a large entry as long as one is left', async () => {
  const cluster = createPartitionCluster()
  const entries = await startMixedEntries(cluster, 12, 5)
  for (let round = 0; round < 4; round++) {
    splitByHolder(cluster, entries).holder.kill()
    await cluster.clock.runFor(4000)
    assert.match(cluster.findHolder() ?? '', /^l/, `round ${round}`)
  }
})

// Guards against a small entry that takes a partition at the start of a cluster because it started a little earlier than the large ones.
test('at the start of a cluster different large entries take the partitions, although the small ones start up to 0.3 s earlier', async () => {
  for (const leadMs of [0, 100, 200, 300]) {
    const cluster = createPartitionCluster()
    cluster.setConfig({ ...CLUSTER_CONFIG, services: SERVICES })
    for (let index = 0; index < 12; index++) cluster.addEntry(`s${index}`, SMALL_CORES)
    await cluster.clock.runFor(leadMs)
    for (let index = 0; index < 5; index++) cluster.addEntry(`l${index}`, LARGE_CORES)
    await cluster.clock.runFor(MAX_TAKEOVER_MS)
    const holders = SERVICES.map((service) => findHolderOf(cluster, service) ?? '')
    for (const holder of holders) assert.match(holder, /^l/, `${leadMs} ms: ${holders.join()}`)
    assert.is(new Set(holders).size, SERVICES.length)
  }
})

// Guards against a partition without a holder for which small entries wait beyond the stated targets.
test('small entries alone take a partition within 1.5 s of their start, and within 3 s if the large ones do not', async () => {
  const alone = createPartitionCluster()
  for (let index = 0; index < 12; index++) alone.addEntry(`s${index}`, SMALL_CORES)
  await alone.clock.runFor(MEDIAN_TAKEOVER_MS)
  assert.match(alone.findHolder() ?? '', /^s/)

  const cluster = createPartitionCluster()
  for (let index = 0; index < 12; index++) cluster.addEntry(`s${index}`, SMALL_CORES)
  const large = [cluster.addEntry('l0', LARGE_CORES), cluster.addEntry('l1', LARGE_CORES)]
  await cluster.clock.runFor(100)
  for (const entry of large) entry.faults.outage = 'busy'
  await cluster.clock.runFor(MAX_TAKEOVER_MS - 100)
  assert.match(cluster.findHolder() ?? '', /^s/)
})

// Guards against a race of all entries for a partition that a later configuration adds.
test('a partition that the configuration adds later is taken over by a large entry', async () => {
  const cluster = createPartitionCluster()
  await startMixedEntries(cluster, 12, 5)
  cluster.setConfig({ ...CLUSTER_CONFIG, version: 2, services: SERVICES })
  await cluster.clock.runFor(MAX_TAKEOVER_MS)
  for (const service of SERVICES) assert.match(findHolderOf(cluster, service) ?? '', /^l/, service)
})

// Guards against a graceful shutdown that moves the partition from a large entry to a small one.
test('a graceful shutdown hands the partition over to a large entry, and among those to the one that started last', async () => {
  const cluster = createPartitionCluster()
  const entries = await startMixedEntries(cluster, 3, 3)
  const latest = cluster.addEntry('l9', LARGE_CORES)
  cluster.addEntry('s9', SMALL_CORES)
  await cluster.clock.runFor(1000)
  const released = splitByHolder(cluster, entries).holder.entry.release()
  await cluster.clock.runFor(300)
  await released
  assert.is(cluster.findHolder(), latest.name)
})

test.run()
