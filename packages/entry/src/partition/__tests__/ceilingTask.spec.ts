/** Claims on ceilings while several cells change the one row that holds them. */
import { createPartitionPlanner, type ClaimsRow } from '@fuchsiatally/core'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CLUSTER_CONFIG, SERVICE } from '../../testing/partitionCluster.js'
import { createPartitionTableModel } from '../../testing/partitionTableModel.js'
import { createCeilingTask } from '../ceilingTask.js'
import type { PartitionTable } from '../ports.js'

/** Interval of the other cell's changes, in milliseconds: as often as a holder makes them. */
const OTHER_PACE_MS = 60

test('a cell that changes its claims at the same pace as another is not beaten again and again', async () => {
  const clock = createFakeClock()
  const model = createPartitionTableModel({ clock, callMs: 13 })
  const { table } = model.createClient()
  const events = createMemoryEventLog()
  const [team] = CLUSTER_CONFIG.teams
  let changes = 0
  let changedAtMs = -Infinity
  // The worst pace: the other cell's change lands just before this one's.
  const contested: PartitionTable = {
    ...table,
    commit: async (transaction, timeoutMs) => {
      if (clock.nowMs() - changedAtMs >= OTHER_PACE_MS) {
        changes++
        changedAtMs = clock.nowMs()
        const row: ClaimsRow = { cells: { other: { epoch: 1, claims: { clubs: [changes % 2, 0, 0] }, wanted: [] } } }
        model.writeRow('cell', '!claims', row)
      }
      return await table.commit(transaction, timeoutMs)
    }
  }
  const task = createCeilingTask({
    cell: SERVICE,
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
  task.dispose()
})

test.run()
