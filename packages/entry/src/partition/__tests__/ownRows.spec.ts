/** Rows by which an entry announces itself. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPartitionCluster } from '../../testing/partitionCluster.js'

const LATE_MS = 4000

// Guards against an entry that its peers take for its earlier life: a write of that life was applied late and replaced its row.
test('a late write of an earlier life of an entry does not replace its row', async () => {
  const { clock, table, addEntry } = createPartitionCluster()
  const readIncarnation = (): string | undefined => {
    const row = table.readRow('cell', '', 'a')
    return row === undefined ? undefined : (JSON.parse(row.value) as { incarnation: string }).incarnation
  }
  const former = addEntry('a')
  former.faults.outage = 'busy'
  await clock.runFor(50)
  former.faults.outage = null
  former.faults.loseWrite = () => ({ afterMs: LATE_MS })
  await clock.runFor(1000)
  assert.is(readIncarnation(), undefined)
  former.kill()
  const next = addEntry('a')
  await clock.runFor(1000)
  assert.is(readIncarnation(), next.incarnation)
  await clock.runFor(2 * LATE_MS)
  assert.is(readIncarnation(), next.incarnation)
})

test.run()
