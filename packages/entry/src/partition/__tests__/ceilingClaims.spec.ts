/** Claims on ceilings while several partitions update the row that stores all of them. */
import { createPartitionPlanner, type ClaimsRow } from '@fuchsiatally/core'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CLUSTER_CONFIG, SERVICE } from '../../testing/partitionCluster.js'
import { createPartitionTableModel } from '../../testing/partitionTableModel.js'
import { createCeilingClaims } from '../ceilingClaims.js'
import { parseCrashRow, parseHolderRow } from '../partitionRows.js'
import { parseStateRow } from '../stateRows.js'
import type { PartitionTable } from '../ports.js'

/** Interval of the other partition's updates, in milliseconds: the shortest interval of a holder. */
const OTHER_INTERVAL_MS = 60

test('a partition that updates its claims at the same rate as another does not lose every conflict', async () => {
  const clock = createFakeClock()
  const model = createPartitionTableModel({ clock, callMs: 13 })
  const { table } = model.createClient()
  const events = createMemoryEventLog()
  const [team] = CLUSTER_CONFIG.teams
  let changes = 0
  let changedAtMs = -Infinity
  // Worst case: the other partition's update is applied just before this one's.
  const contested: PartitionTable = {
    ...table,
    commit: async (transaction, timeoutMs) => {
      if (clock.nowMs() - changedAtMs >= OTHER_INTERVAL_MS) {
        changes++
        changedAtMs = clock.nowMs()
        const row: ClaimsRow = { cells: { other: { epoch: 1, claims: { clubs: [changes % 2, 0, 0] }, wanted: [] } } }
        model.writeRow('cell', '!claims', row)
      }
      return await table.commit(transaction, timeoutMs)
    }
  }
  const claims = createCeilingClaims({
    partition: SERVICE,
    epoch: 1,
    table: contested,
    planner: createPartitionPlanner(),
    clock,
    events,
    readConfig: () => ({ ...CLUSTER_CONFIG, teams: [{ ...team!, ceiling: { processors: 8, memoryMb: 16_384, accelerators: 0 } }] }),
    listWorkers: () => [],
    isLoaded: () => true,
    onLimits: () => {}
  })
  await clock.runFor(150)
  assert.is(events.listFields('FT855').length, 1)
  claims.dispose()
})

/** Creates claims of one client account whose ceiling is 8 cores, and 6 of them claimed here in epoch 4. */
function createStoredClaims () {
  const clock = createFakeClock()
  const model = createPartitionTableModel({ clock })
  const events = createMemoryEventLog()
  const [team] = CLUSTER_CONFIG.teams
  const section = { epoch: 4, claims: { clubs: [6, 1024, 0] as const }, wanted: ['clubs'] }
  model.writeRow('cell', '!claims', { cells: { [SERVICE]: section, other: { epoch: 2, claims: { clubs: [1, 0, 0] as const }, wanted: [] } } })
  return {
    clock,
    events,
    section,
    model,
    readSection: (): unknown => (JSON.parse(model.readRow('cell', '', '!claims')!.value) as ClaimsRow).cells[SERVICE],
    startClaims: (epoch: number, isLoaded: boolean) => createCeilingClaims({
      partition: SERVICE,
      epoch,
      table: model.createClient().table,
      planner: createPartitionPlanner(),
      clock,
      events,
      readConfig: () => ({ ...CLUSTER_CONFIG, teams: [{ ...team!, ceiling: { processors: 8, memoryMb: 16_384, accelerators: 0 } }] }),
      listWorkers: () => [],
      isLoaded: () => isLoaded,
      onLimits: () => {}
    })
  }
}

// Guards against a holder that was suspended, and writes its claims over those of its successor when it wakes up (QUOTA).
test('a holder of an earlier term does not change the claims of a later one', async () => {
  const { clock, section, readSection, startClaims } = createStoredClaims()
  const deposed = startClaims(3, true)
  await clock.runFor(3000)
  assert.equal(readSection(), section)
  deposed.dispose()
})

// Guards against a new holder whose waiting work stands until its claims are written, in the busiest moment of its term and in competition.
test('a new term adopts the claims of the last one before it has read the jobs', async () => {
  const { clock, events, section, readSection, startClaims } = createStoredClaims()
  const claims = startClaims(5, false)
  await clock.runFor(50)
  assert.equal(readSection(), { ...section, epoch: 5 })
  assert.is(events.listFields('FT855').length, 1)
  await clock.runFor(2000)
  assert.equal(readSection(), { ...section, epoch: 5 })
  claims.dispose()
})

for (const [kind, isFirst] of [['at the start of a term', true], ['during a term', false]] as const) {
  // Guards against claims that are never read again, and a line and a write for each attempt, once another writer left a malformed row.
  test(`claims that are malformed ${kind} are logged once, not written over, and read again once they are sound`, async () => {
    const { clock, events, model, readSection, startClaims } = createStoredClaims()
    const sound: unknown = JSON.parse(model.readRow('cell', '', '!claims')!.value)
    const claims = isFirst ? null : startClaims(5, true)
    await clock.runFor(3000)
    const malformed = `[${'1,'.repeat(30_000)}1]`
    model.writeText('cell', '!claims', malformed)
    const started = claims ?? startClaims(5, true)
    for (let review = 0; review < 100; review++) {
      started.scheduleReview()
      await clock.runFor(100)
    }
    const lines = events.listFields('FT854')
    assert.is(lines.length, 1)
    assert.ok(String(lines[0]?.['error']).length <= 1000)
    assert.is(model.readRow('cell', '', '!claims')?.value, malformed)
    assert.is(events.listFields('FT856').length, 0)
    model.writeRow('cell', '!claims', sound)
    await clock.runFor(1500)
    assert.is((readSection() as { epoch: number }).epoch, 5)
    started.dispose()
  })
}

// Guards against a log line of a megabyte for a row of 64 kB: each element of a long list was a fault of its own.
test('the error of a malformed row is short', () => {
  const events = createMemoryEventLog()
  const row = { table: 'crash', part: SERVICE, key: 'k', version: 1, deleted: false }
  for (const value of [`[${'1,'.repeat(30_000)}1]`, `{"${'x'.repeat(60_000)}":1}`, `${'x'.repeat(60_000)}`]) {
    for (const parseRow of [parseCrashRow, parseStateRow, parseHolderRow]) assert.is(parseRow({ ...row, value }, events), null)
  }
  for (const { error } of events.listFields('FT854') as { error: string }[]) assert.ok(error.length <= 1000, `${error.length} characters`)
})

test.run()
