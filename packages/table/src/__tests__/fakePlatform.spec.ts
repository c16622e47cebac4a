import type { Random, Transaction } from '@fuchsiatally/core'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import fc from 'fast-check'
import { resolveFuzzOptions } from '@fuchsiatally/core/testing/fuzzOptions'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { PlatformClient, TransactionOutcome } from '../platformClient.js'
import { createFakePlatform } from '../testing/fakePlatform.js'
import { createTableModel } from '../testing/tableModel.js'

const KEY = 'counter'

interface ReportedOutcomes {
  applied: number
  inDoubt: number
}

/** Increments a counter row, retrying on each reported conflict. */
async function updateCounter (client: PlatformClient, random: Random, reported: ReportedOutcomes): Promise<void> {
  for (;;) {
    const read = await client.read({ keys: [KEY], prefixes: [] })
    if (read.isErr()) continue
    const row = read.value.rows[0]
    const value = row === undefined ? 1 : Number(row.value) + 1
    const outcome = await transactUntilOutcomeKnown(client, {
      writeId: random.nextId(), checks: [{ key: KEY, version: row?.version ?? 0 }], writes: [{ key: KEY, value }]
    })
    if (outcome.kind === 'conflict' && outcome.mayHaveApplied) reported.inDoubt += 1
    if (outcome.kind === 'conflict') continue
    reported.applied += 1
    return
  }
}

async function transactUntilOutcomeKnown (client: PlatformClient, transaction: Transaction): Promise<TransactionOutcome> {
  for (;;) {
    const outcome = await client.transact(transaction)
    if (outcome.isOk()) return outcome.value
  }
}

test('transaction outcomes are reported correctly under lost responses, late effects and stale reads', async () => {
  await fc.assert(fc.asyncProperty(fc.integer(), fc.double({ min: 0, max: 0.6, noNaN: true }), async (seed, rate) => {
    const clock = createFakeClock()
    const model = createTableModel()
    const reported = { applied: 0, inDoubt: 0 }
    const activeWriters = { count: 0 }
    const runWriter = async (writer: number): Promise<void> => {
      const random = createSeededRandom(seed + writer)
      const client = createFakePlatform({ model, clock, random })
      Object.assign(client.faults, { lostAnswerRate: rate, lateEffectRate: rate / 2, staleReadRate: rate, delayMs: 5 })
      activeWriters.count += 1
      for (let i = 0; i < 5; i++) await updateCounter(client, random, reported)
      activeWriters.count -= 1
    }
    const writers = [runWriter(1), runWriter(2)]
    do await clock.runFor(5000); while (activeWriters.count > 0)
    await Promise.all(writers)
    const finalCount = Number(model.findRow(KEY)?.value ?? 0)
    assert.ok(finalCount >= reported.applied && finalCount <= reported.applied + reported.inDoubt, `counter is ${finalCount} after ${reported.applied} applied and ${reported.inDoubt} in-doubt transactions`)
  }), resolveFuzzOptions(7, 60))
})

test('versions grow across a deletion, and only reads since a revision show the deleted row', () => {
  const model = createTableModel()
  model.transact({ writeId: 'a', checks: [{ key: 'x/1', version: 0 }], writes: [{ key: 'x/1', value: 1 }] })
  model.transact({ writeId: 'b', checks: [{ key: 'x/1', version: 1 }], writes: [{ key: 'x/1', value: null }] })
  assert.equal(model.read({ keys: ['x/1'], prefixes: [{ prefix: 'x/', sinceRevision: 0 }] }).rows, [])
  assert.is(model.read({ keys: [], prefixes: [{ prefix: 'x/', sinceRevision: 1 }] }).rows[0]?.value, null)
  const report = model.transact({ writeId: 'c', checks: [{ key: 'x/1', version: 0 }], writes: [{ key: 'x/1', value: 2 }] })
  assert.is(report.outcome, 'applied')
  assert.is(report.rows[0]?.version, 3)
})

test.run()
