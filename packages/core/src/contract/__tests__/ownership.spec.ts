/** Assignment of workers to owners, and rows that keep every owner that is not fenced off. */
import * as fc from 'fast-check'
import { resolveFuzzOptions } from '../../testing/fuzzOptions.js'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { buildOwnerRow, chooseOwner, mayCommandWorker, type OwnerCandidate, type OwnerRow } from '../ownership.js'

const listEntries = (count: number, failureDomain = 'a'): OwnerCandidate[] =>
  Array.from({ length: count }, (_, i) => ({ entry: `e${i}`, incarnation: `i${i}`, failureDomain }))
const WORKERS = Array.from({ length: 990 }, (_, i) => `worker-${i}`)

test('workers are distributed evenly, and a new entry takes over only its own share', () => {
  const before = listEntries(4)
  const after = listEntries(5)
  const counts = new Map<string, number>()
  let moved = 0
  for (const worker of WORKERS) {
    const owner = chooseOwner(worker, 'a', before)!.entry
    counts.set(owner, (counts.get(owner) ?? 0) + 1)
    const next = chooseOwner(worker, 'a', after)!.entry
    if (next === owner) continue
    moved += 1
    assert.is(next, 'e4')
  }
  for (const count of counts.values()) assert.ok(Math.abs(count - 247) < 60, String(count))
  assert.ok(moved > 140 && moved < 260, String(moved))
})

test('the choice does not depend on the order of candidates, and other failure domains are only a fallback', () => {
  fc.assert(fc.property(fc.string(), fc.shuffledSubarray([...listEntries(6), ...listEntries(3, 'b').map((e) => ({ ...e, entry: `b${e.entry}` }))]), (worker, candidates) => {
    const chosen = chooseOwner(worker, 'a', candidates)
    assert.equal(chooseOwner(worker, 'a', [...candidates].reverse()), chosen)
    const hasLocal = candidates.some(({ failureDomain }) => failureDomain === 'a')
    if (hasLocal) assert.is(chosen?.failureDomain, 'a')
    assert.is(chosen === null, candidates.length === 0)
  }), resolveFuzzOptions(13, 1_000))
})

test('every owner since the worker last accepted an epoch stays listed, and epochs only grow', () => {
  const event = fc.record({ owner: fc.constantFrom('x', 'y', 'z'), contact: fc.boolean() })
  fc.assert(fc.property(fc.array(event, { maxLength: 30 }), (events) => {
    let row: OwnerRow | null = null
    let unfenced = new Set<string>()
    for (const { owner, contact } of events) {
      const next: OwnerRow = buildOwnerRow(row, owner)
      assert.ok(next.epoch > (row?.epoch ?? 0))
      unfenced.add(owner)
      row = contact ? { ...next, unfenced: [] } : next
      if (contact) unfenced = new Set([owner])
      for (const name of ['x', 'y', 'z']) assert.is(mayCommandWorker(row, name), unfenced.has(name))
    }
  }), resolveFuzzOptions(14, 1_000))
})

test.run()
