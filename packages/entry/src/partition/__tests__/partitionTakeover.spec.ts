/** Takeover and handover of a partition: killed holders, cut links, graceful shutdowns, outages of the table. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CLUSTER_CONFIG, createPartitionCluster, createTestJob, SERVICE, type ClusterEntry } from '../../testing/partitionCluster.js'
import { checkNoConcurrentRuns, readState, splitByHolder, startEntries, startStuckRuns, submitJob } from '../../testing/partitionClusterSteps.js'
import { DISTANT_WATCH_INTERVAL_MS, LEASE_MARGIN_MS, MAX_CLOCK_DRIFT, MAX_GRANTED_LEASE_MS, MAX_SUCCESSOR_RANK, WATCH_INTERVAL_MS } from '../constants.js'
import { computeJobPart } from '../partitionRows.js'
import { sortByRank } from '../rendezvousRank.js'

const [QUEUE] = CLUSTER_CONFIG.queues

test('an entry that starts takes over a partition that is already in the table', async () => {
  const cluster = createPartitionCluster()
  cluster.addWorker('w1')
  const [first] = await startEntries(cluster, ['a'])
  await submitJob(cluster, first!, '0000000000000001', 2)
  first!.kill()
  const second = cluster.addEntry('b')
  await cluster.clock.runFor(4000)
  assert.is(cluster.findHolder(), 'b')
  assert.is(await readState(cluster, second, '0000000000000001'), 'completed')
  checkNoConcurrentRuns(cluster)
})

test('a killed holder is replaced within 3 s and its runs continue', async () => {
  const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 5000, how: 'done' }) })
  cluster.addWorker('w1')
  const { holder, other } = splitByHolder(cluster, await startEntries(cluster, ['a', 'b', 'c']))
  await submitJob(cluster, other, '0000000000000001', 3)
  holder.kill()
  await cluster.clock.runFor(3000)
  assert.is.not(cluster.findHolder(), holder.name)
  await cluster.clock.runFor(4000)
  assert.is(await readState(cluster, other, '0000000000000001'), 'completed')
  assert.is(cluster.started.length, 3)
})

test('a holder without links is replaced within 1.6 s', async () => {
  const cluster = createPartitionCluster()
  cluster.addWorker('w1')
  const { holder } = splitByHolder(cluster, await startEntries(cluster, ['a', 'b', 'c']))
  holder.kill()
  await cluster.clock.runFor(1600)
  assert.is.not(cluster.findHolder(), holder.name)
})

test('a holder that renews keeps its partition although its links are cut', async () => {
  const cluster = createPartitionCluster()
  cluster.addWorker('w1')
  const entries = await startEntries(cluster, ['a', 'b', 'c'])
  const { holder } = splitByHolder(cluster, entries)
  for (const entry of entries) if (entry !== holder) cluster.mesh.setCut(holder.incarnation, entry.incarnation)
  await cluster.clock.runFor(12_000)
  assert.is(cluster.findHolder(), holder.name)
})

test('the number of waiting jobs is never reported too low while a holder is replaced', async () => {
  const cluster = createPartitionCluster()
  const { holder, other } = splitByHolder(cluster, await startEntries(cluster, ['a', 'b', 'c']))
  for (let job = 0; job < 4; job++) await submitJob(cluster, other, `000000000000000${job}`, 1)
  await cluster.clock.runFor(2000)
  assert.is(other.entry.jobs.countWaiting(QUEUE!), 4)
  holder.kill()
  for (let sample = 0; sample < 100; sample++) {
    await cluster.clock.runFor(50)
    const waiting = other.entry.jobs.countWaiting(QUEUE!)
    assert.ok(waiting === null || waiting === 4, `reported ${String(waiting)} after ${sample * 50} ms`)
  }
  assert.is(other.entry.jobs.countWaiting(QUEUE!), 4)
})

test('a graceful shutdown hands the partition over within 300 ms', async () => {
  const cluster = createPartitionCluster()
  cluster.addWorker('w1')
  const { holder } = splitByHolder(cluster, await startEntries(cluster, ['a', 'b', 'c']))
  const released = holder.entry.release()
  await cluster.clock.runFor(300)
  await released
  assert.is.not(cluster.findHolder(), holder.name)
})

test('in a rolling restart a partition is handed over to an entry that has already been restarted', async () => {
  const cluster = createPartitionCluster()
  cluster.addWorker('w1')
  const entries = await startEntries(cluster, ['a', 'b', 'c', 'd'])
  const first = entries.find((entry) => entry.name === cluster.findHolder())!
  const others = entries.filter((entry) => entry !== first)
  const restart = async (entry: ClusterEntry): Promise<void> => {
    const released = entry.entry.release()
    await cluster.clock.runFor(500)
    await released
    entry.kill()
    cluster.addEntry(entry.name)
    await cluster.clock.runFor(1500)
  }
  await restart(others[0]!)
  await restart(first)
  assert.is(cluster.findHolder(), others[0]!.name)
  await restart(others[1]!)
  await restart(others[2]!)
  assert.is(cluster.findHolder(), others[0]!.name)
})

test('a successor reports jobs that ended before its term, and removes them after their retention', async () => {
  const cluster = createPartitionCluster()
  cluster.addWorker('w1')
  const { holder, other } = splitByHolder(cluster, await startEntries(cluster, ['a', 'b']))
  await submitJob(cluster, holder, '0000000000000001', 2)
  await cluster.clock.runFor(2000)
  assert.ok(cluster.table.readRow('job', computeJobPart('0000000000000001'), '0000000000000001') !== undefined)
  holder.kill()
  await cluster.clock.runFor(4000)
  assert.is(cluster.findHolder(), other.name)
  assert.is(await readState(cluster, other, '0000000000000001'), 'completed')
  await cluster.clock.runFor(130_000)
  assert.is(cluster.table.readRow('job', computeJobPart('0000000000000001'), '0000000000000001'), undefined)
  assert.is(cluster.table.readRow('state', SERVICE, '0000000000000001'), undefined)
})

test('a successor starts waiting work of a team with a ceiling within 200 ms of its takeover', async () => {
  const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 8000, how: 'done' }) })
  const [team] = CLUSTER_CONFIG.teams
  cluster.setConfig({ ...CLUSTER_CONFIG, teams: [{ ...team!, ceiling: { processors: 8, memoryMb: 16_384, accelerators: 0 } }] })
  cluster.addWorker('w1')
  const { holder, other } = splitByHolder(cluster, await startEntries(cluster, ['a', 'b']))
  await submitJob(cluster, holder, '0000000000000001', 2)
  await cluster.clock.runFor(1000)
  holder.kill()
  await submitJob(cluster, other, '0000000000000002', 4)
  while (other.events.listFields('FT801').length === 0) await cluster.clock.runFor(10)
  await cluster.clock.runFor(200)
  assert.is(cluster.started.length, 6)
})

test('a holder is replaced within 1 s if the table fails for this entry alone and no peer makes its calls', async () => {
  const cluster = createPartitionCluster({ relaysTableCalls: false })
  cluster.addWorker('w1')
  const entries = await startEntries(cluster, ['a', 'b', 'c'])
  for (const outage of ['busy', 'silent'] as const) {
    const { holder } = splitByHolder(cluster, entries)
    holder.faults.outage = outage
    const sinceMs = cluster.clock.nowMs()
    while (cluster.findHolder() === holder.name) await cluster.clock.runFor(10)
    const tookMs = cluster.clock.nowMs() - sinceMs
    assert.ok(tookMs <= 1000, `${outage}: ${tookMs} ms`)
    holder.faults.outage = null
    await cluster.clock.runFor(5000)
  }
})

// Guards against reads of the holder rows that grow with the number of entries, each of which the platform charges for.
test('of many entries only the first successors read the holder rows at the shortest interval', async () => {
  const cluster = createPartitionCluster()
  cluster.addWorker('w1')
  const entries = Array.from({ length: 30 }, (_, index) => cluster.addEntry(`e${index}`))
  await cluster.clock.runFor(5000)
  const before = cluster.table.countChangeReads('cell')
  await cluster.clock.runFor(10_000)
  const reads = cluster.table.countChangeReads('cell') - before
  const close = MAX_SUCCESSOR_RANK + 1
  const most = 10_000 * (close / WATCH_INTERVAL_MS + (entries.length - close) / DISTANT_WATCH_INTERVAL_MS)
  assert.ok(reads <= most, `${reads} reads, at most ${most}`)
  for (const entry of entries) entry.kill()
})

test('a holder that is killed together with its first successors is replaced within 3 s', async () => {
  for (let killed = 1; killed <= 25; killed += 6) {
    const cluster = createPartitionCluster()
    cluster.addWorker('w1')
    const entries = Array.from({ length: 30 }, (_, index) => cluster.addEntry(`e${index}`))
    await cluster.clock.runFor(5000)
    const holder = cluster.findHolder()
    const victims = entries.filter(({ name }) => name === holder)
    const order = sortByRank(SERVICE, entries.map((entry) => ({ entry: entry.name, value: entry }))).map(({ value }) => value)
    for (const entry of order) if (victims.length < killed && !victims.includes(entry)) victims.push(entry)
    const sinceMs = cluster.clock.nowMs()
    for (const entry of victims) entry.kill()
    while (victims.some(({ name }) => name === cluster.findHolder()) && cluster.clock.nowMs() - sinceMs < 10_000) await cluster.clock.runFor(10)
    assert.ok(cluster.clock.nowMs() - sinceMs <= 3000, `${killed} killed: ${cluster.clock.nowMs() - sinceMs} ms`)
    for (const entry of entries) entry.kill()
  }
})

test('a lost response of the table delays starts by less than 0.6 s', async () => {
  const cluster = createPartitionCluster()
  cluster.addWorker('w1')
  const { holder, other } = splitByHolder(cluster, await startEntries(cluster, ['a', 'b']))
  for (let job = 0; job < 5; job++) {
    const before = cluster.started.length
    let lost = 0
    holder.faults.loseWrite = () => {
      lost++
      return lost === 1 ? { afterMs: 5 } : null
    }
    await submitJob(cluster, other, `000000000000000${job}`, 1)
    await cluster.clock.runFor(550)
    assert.is(cluster.started.length, before + 1, `job ${job}`)
    await cluster.clock.runFor(1500)
    assert.is(cluster.findHolder(), holder.name)
  }
  checkNoConcurrentRuns(cluster)
})

test('after all entries were killed, one holds the partition within 100 ms of their restart', async () => {
  const cluster = createPartitionCluster()
  cluster.addWorker('w1')
  const entries = await startEntries(cluster, ['a', 'b', 'c'])
  for (const entry of entries) entry.kill()
  await cluster.clock.runFor(500)
  const again = entries.map((entry) => cluster.addEntry(entry.name))
  await cluster.clock.runFor(100)
  assert.is(again.flatMap((entry) => entry.events.listFields('FT801')).length, 1)
})

test('a successor that has not read the jobs yet releases no claims on ceilings', async () => {
  const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 20_000, how: 'done' }) })
  const [team] = CLUSTER_CONFIG.teams
  cluster.setConfig({ ...CLUSTER_CONFIG, teams: [{ ...team!, ceiling: { processors: 8, memoryMb: 16_384, accelerators: 0 } }] })
  cluster.addWorker('w1')
  const { holder, other } = splitByHolder(cluster, await startEntries(cluster, ['a', 'b']))
  await submitJob(cluster, holder, '0000000000000001', 6)
  await cluster.clock.runFor(1000)
  const readClaim = (): number => {
    const row = JSON.parse(cluster.table.readRow('cell', '', '!claims')!.value) as { cells: Record<string, { claims: Record<string, number[]> }> }
    return row.cells[SERVICE]?.claims['clubs']?.[0] ?? 0
  }
  assert.ok(readClaim() >= 6)
  other.faults.readDelayMs = (table) => table === 'job' ? 1500 : 0
  holder.kill()
  for (let passedMs = 0; passedMs < 6000; passedMs += 50) {
    await cluster.clock.runFor(50)
    assert.ok(readClaim() >= 6, `${readClaim()} claimed after ${passedMs} ms while six run`)
  }
  assert.is(cluster.findHolder(), other.name)
})

test('runs survive a table outage of 9 s', async () => {
  const cluster = createPartitionCluster({ maxLeaseMs: 6000, planRun: () => ({ durationMs: 11_000, how: 'done' }) })
  cluster.addWorker('w1')
  const entries = await startEntries(cluster, ['a', 'b'])
  await submitJob(cluster, entries[0]!, '0000000000000001', 2)
  for (const { faults } of entries) faults.outage = 'busy'
  await cluster.clock.runFor(9000)
  for (const { faults } of entries) faults.outage = null
  await cluster.clock.runFor(4000)
  assert.is(await readState(cluster, entries[0]!, '0000000000000001'), 'completed')
  assert.is(cluster.started.length, 2)
})

test('tasks of a worker that a successor never reached run elsewhere after all its leases have expired', async () => {
  const { cluster, worker: first, entry: holder } = await startStuckRuns()
  first.faults.cut = true
  cluster.table.deleteRow('servers', 'w1')
  holder.kill()
  cluster.addWorker('w2')
  const next = cluster.addEntry('b')
  await cluster.clock.runFor(18_000)
  assert.is(await readState(cluster, next, '0000000000000001'), 'completed')
  checkNoConcurrentRuns(cluster)
})

// Guards against tasks that wait for a lease that no earlier holder can have granted.
test('the loss of a worker that is new to a successor is noticed within the lease that it granted, once the earlier leases have expired', async () => {
  const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 60_000, how: 'done' }) })
  const { holder, other } = splitByHolder(cluster, await startEntries(cluster, ['a', 'b']))
  holder.kill()
  await cluster.clock.runFor(15_000)
  cluster.addWorker('w1')
  await cluster.clock.runFor(1000)
  await submitJob(cluster, other, '0000000000000001', 1)
  await cluster.clock.runFor(500)
  cluster.crashWorker('w1')
  await cluster.clock.runFor(10_000)
  const [lost] = other.events.listFields('FT812')
  assert.ok(Number(lost?.['failingMs']) <= MAX_GRANTED_LEASE_MS * (1 + 2 * MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS, `${lost?.['failingMs']} ms`)
})

test('while the table is unavailable to all entries, runs continue, submissions are refused at once and no entry takes the partition over', async () => {
  const cluster = createPartitionCluster({ planRun: () => ({ durationMs: 7000, how: 'done' }) })
  cluster.addWorker('w1')
  const entries = await startEntries(cluster, ['a', 'b'])
  const [first] = entries
  const holder = cluster.findHolder()
  await submitJob(cluster, first!, '0000000000000001', 2)
  for (const { faults } of entries) faults.outage = 'busy'
  await cluster.clock.runFor(5000)
  assert.not(first!.entry.isConfigFresh())
  const refused = first!.entry.jobs.submitJob('0000000000000002', createTestJob(cluster.clock, 1), cluster.clock.nowMs() + 3000)
  await cluster.clock.runFor(20)
  assert.is(await refused, 'refused')
  for (const { faults } of entries) faults.outage = null
  await cluster.clock.runFor(5000)
  assert.is(cluster.findHolder(), holder)
  assert.is(await readState(cluster, first!, '0000000000000001'), 'completed')
  assert.is(cluster.started.length, 2)
})

test('a holder loses the partition and sends no more orders if the table fails for this entry alone and no peer makes its calls', async () => {
  const cluster = createPartitionCluster({ relaysTableCalls: false, planRun: () => ({ durationMs: 2000, how: 'done' }) })
  cluster.addWorker('w1')
  const { holder, other } = splitByHolder(cluster, await startEntries(cluster, ['a', 'b']))
  holder.faults.outage = 'busy'
  await submitJob(cluster, other, '0000000000000001', 2)
  await cluster.clock.runFor(8000)
  assert.is(cluster.findHolder(), other.name)
  assert.is(holder.events.listFields('FT802').length, 1)
  assert.is(await readState(cluster, other, '0000000000000001'), 'completed')
  checkNoConcurrentRuns(cluster)
})

test.run()
