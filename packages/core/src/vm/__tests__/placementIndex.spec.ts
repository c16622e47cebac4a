/** Compares the placement index with a linear scan. */
import fc from 'fast-check'
import { resolveFuzzOptions } from '../../testing/fuzzOptions.js'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { hasRoom, type Amounts } from '../amounts.js'
import { createIndexQuery } from '../placementIndex.js'
import { updateDescription } from '../workerEntry.js'
import { createWorkerRegistry } from '../workerRegistry.js'

const amounts: fc.Arbitrary<Amounts> = fc.record({
  processors: fc.integer({ min: -100, max: 64_000 }),
  memoryMb: fc.integer({ min: -100, max: 128_000 }),
  accelerators: fc.integer({ min: 0, max: 9 })
})

test('finds exactly the workers with enough room after any sequence of changes', () => {
  const changes = fc.array(fc.tuple(fc.nat({ max: 19 }), amounts, fc.boolean()), { maxLength: 100, size: 'max' })
  fc.assert(fc.property(changes, amounts, (list, need) => {
    const registry = createWorkerRegistry()
    const schedulableIds = new Set<string>()
    for (const [number, free, schedulable] of list) {
      const worker = registry.getWorker(`w${number}`)
      const capacity = { processors: 64, memoryMb: 128_000, accelerators: number % 2 === 0 ? 0 : 9 }
      updateDescription(worker, { id: worker.id, failureDomain: `d${number % 3}`, rack: 'r', pool: 'p', capacity, schedulable })
      Object.assign(worker.free, free)
      registry.updateWorker(worker, false)
      if (schedulable) schedulableIds.add(worker.id)
      else schedulableIds.delete(worker.id)
    }
    const found: string[] = []
    for (const bucket of [...registry.unreserved.listBuckets(undefined, false), ...registry.unreserved.listBuckets('p', true)]) {
      registry.unreserved.findCandidates(bucket, createIndexQuery(need), (worker) => {
        found.push(worker.id)
        return false
      })
    }
    const expected = [...schedulableIds].filter((id) => hasRoom(registry.getWorker(id).free, need))
    assert.equal(found.sort(), expected.sort())
  }), resolveFuzzOptions(51, 300))
})

test.run()
