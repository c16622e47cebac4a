/** Which entry holds a partition when entries differ in processor capacity. */
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPartitionCluster } from '../../testing/partitionCluster.js'
import { parseCapacityRow } from '../partitionRows.js'

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

test.run()
