/** Takeover decisions of one entry against a table whose rows and responses the test controls. */
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { err } from 'neverthrow'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPartitionTableModel } from '../../testing/partitionTableModel.js'
import type { Peer } from '../../ports.js'
import { HOLDER_TIMEOUT_MS, SUSPECT_WATCH_INTERVAL_MS } from '../constants.js'
import { createPartitionWatch, type PartitionView } from '../partitionWatch.js'
import { HOLDER_KEY, PARTITION_TABLE } from '../partitionRows.js'

const PARTITION = 'pages'
/** Longer than every timeout of a holder and the delays of all ranks of successors, in milliseconds. */
const SETTLED_MS = 5000

/** Starts the watch of entry `a`; each of its commits suspends the process for `suspensionMs`, which stops its monotonic clock. */
const createWatch = (suspensionMs = 0) => {
  const fakeClock = createFakeClock()
  let suspendedMs = 0
  let isRefusing = false
  const clock = { ...fakeClock, wallMs: () => fakeClock.wallMs() + suspendedMs }
  const model = createPartitionTableModel({ clock: fakeClock })
  const events = createMemoryEventLog()
  const views: PartitionView[] = []
  const commitWallMs: number[] = []
  const peers: Peer[] = []
  const { table } = model.createClient()
  /** Writes the holder row as another entry does. */
  const storeRow = async (row: unknown): Promise<void> => {
    const stored = model.createClient().table.commit({
      part: PARTITION, checks: [], writes: [{ table: PARTITION_TABLE, key: HOLDER_KEY, value: JSON.stringify(row) }], deletes: []
    })
    await fakeClock.runFor(10)
    await stored
  }
  const startWatch = () => createPartitionWatch({
    self: { entry: 'a', incarnation: 'a-1', failureDomain: 'a' },
    cores: 1,
    table: {
      ...table,
      commit: async (transaction) => {
        commitWallMs.push(clock.wallMs())
        if (isRefusing) return err({ kind: 'refused', message: 'status 503' })
        const result = await table.commit(transaction)
        suspendedMs += suspensionMs
        return result
      }
    },
    clock,
    events,
    listPartitions: () => [PARTITION],
    listPeers: () => peers,
    countHeld: () => 0,
    mayTakeOver: () => true,
    onHolder: (view) => { views.push(view) },
    onClaims: () => {}
  })
  return { clock: fakeClock, events, views, commitWallMs, peers, storeRow, startWatch, refuseCommits: () => { isRefusing = true } }
}

// Guards against leases that a paused entry extends beyond what its successor assumes, because its term counts from the late response.
test('a takeover is confirmed from the time at which its commit was sent', async () => {
  const { clock, views, commitWallMs, startWatch } = createWatch(HOLDER_TIMEOUT_MS - 100)
  const watch = startWatch()
  await clock.runFor(2000)
  assert.is(views[0]?.row?.incarnation, 'a-1')
  assert.is(views[0]?.confirmedAt.wallMs, commitWallMs[0])
  watch.dispose()
})

// Guards against a term that starts although another entry may have taken the partition over during the pause.
test('the response to a takeover that is older than the timeout of a holder is dropped, and the next read shows the holder', async () => {
  const { clock, views, commitWallMs, startWatch } = createWatch(HOLDER_TIMEOUT_MS + 100)
  const watch = startWatch()
  await clock.runFor(2000)
  assert.is(commitWallMs.length, 1)
  assert.is(views[0]?.row?.incarnation, 'a-1')
  assert.ok(views[0]!.confirmedAt.wallMs > commitWallMs[0]! + HOLDER_TIMEOUT_MS, 'not confirmed by a later read')
  watch.dispose()
})

// Guards against a partition that is taken with epoch 1, which its workers refuse, because a later version wrote the holder row.
test('a partition whose holder row cannot be decoded is not taken over', async () => {
  const { clock, events, views, commitWallMs, storeRow, startWatch } = createWatch()
  const row = { entry: 'b', incarnation: 'b-1', epoch: 7, released: false, renewals: 0, waiting: [] }
  await storeRow({ ...row, unknownField: 1 })
  const watch = startWatch()
  await clock.runFor(SETTLED_MS)
  assert.equal(commitWallMs, [])
  assert.ok(events.listFields('FT854').length > 0)
  await storeRow(row)
  await clock.runFor(SETTLED_MS)
  assert.is(views.at(-1)?.row?.incarnation, 'a-1')
  assert.is(views.at(-1)?.row?.epoch, 8)
  watch.dispose()
})

// Guards against takeover attempts without a pause: each report of a stuck holder led to another commit while the table refused them.
test('while the table refuses a takeover it is tried again once per watch interval, however often the holder reports that it is stuck', async () => {
  const { clock, commitWallMs, storeRow, startWatch, refuseCommits } = createWatch()
  const row = { entry: 'b', incarnation: 'b-1', epoch: 7, released: false, renewals: 0, waiting: [] }
  await storeRow(row)
  const watch = startWatch()
  for (let renewals = 1; renewals <= 10; renewals++) {
    await storeRow({ ...row, renewals })
    await clock.runFor(300)
  }
  refuseCommits()
  for (let elapsedMs = 0; elapsedMs < SETTLED_MS; elapsedMs += 25) {
    watch.recordStuck(PARTITION, 7, 'b-1')
    await clock.runFor(25)
  }
  const limit = SETTLED_MS / SUSPECT_WATCH_INTERVAL_MS
  assert.ok(commitWallMs.length > 0 && commitWallMs.length <= limit, `${commitWallMs.length} takeover commits in ${SETTLED_MS} ms`)
  watch.dispose()
})

test.run()
