/** Holders of a ceiling's parts against a table with lost, late and stale answers. */
import fc from 'fast-check'
import { resolveFuzzOptions } from '../../testing/fuzzOptions.js'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createAllotment, sumParts, type Allotment, type AllotmentPlan, type AllotmentRow } from '../../index.js'

const HOLDERS = 4
const FIRST_CEILING = 12

interface Holder {
  readonly name: string
  readonly allotment: Allotment
  plan: AllotmentPlan | undefined
  dead: boolean
  configVersion: number
}

/** The row with its history, and transactions that may take effect late. */
class Table {
  readonly history: (AllotmentRow | null)[] = [null]
  readonly late: AllotmentPlan[] = []

  get version (): number { return this.history.length - 1 }
  get row (): AllotmentRow | null { return this.history[this.version]! }

  apply (plan: AllotmentPlan): boolean {
    if (plan.checkVersion !== this.version) return false
    this.history.push(plan.row)
    return true
  }
}

type Step =
  | { readonly kind: 'charge' | 'release' | 'kill' | 'hear' | 'settle', readonly holder: number }
  | { readonly kind: 'plan', readonly holder: number, readonly wanted: number, readonly to: number }
  | { readonly kind: 'send', readonly holder: number, readonly fate: 'answered' | 'lostAnswer' | 'late' | 'lost' }
  | { readonly kind: 'read', readonly holder: number, readonly age: number }
  | { readonly kind: 'ceiling', readonly holder: number, readonly value: number }

const holderIndex = fc.nat({ max: HOLDERS - 1 })
const stepArbitrary = (withCeiling: boolean): fc.Arbitrary<Step> => fc.oneof(
  { weight: 12, arbitrary: fc.record({ kind: fc.constant('charge' as const), holder: holderIndex }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom('release' as const, 'settle' as const, 'hear' as const), holder: holderIndex }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('plan' as const), holder: holderIndex, wanted: fc.nat({ max: 8 }), to: holderIndex }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('send' as const), holder: holderIndex, fate: fc.constantFrom('answered' as const, 'answered' as const, 'lostAnswer' as const, 'late' as const, 'lost' as const) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('read' as const), holder: holderIndex, age: fc.nat({ max: 3 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('kill' as const), holder: holderIndex }) },
  { weight: withCeiling ? 2 : 0, arbitrary: fc.record({ kind: fc.constant('ceiling' as const), holder: holderIndex, value: fc.nat({ max: 12 }) }) }
)

class World {
  readonly table = new Table()
  readonly holders: Holder[] = []
  config = { version: 1, ceiling: FIRST_CEILING }

  constructor () {
    for (let index = 0; index < HOLDERS; index += 1) {
      const allotment = createAllotment(`h${index}`)
      allotment.updateCeiling(FIRST_CEILING, 1)
      this.holders.push({ name: `h${index}`, allotment, plan: undefined, dead: false, configVersion: 1 })
    }
  }

  /** What is in flight is covered by the holder's part in the row, also while a transaction is on its way. */
  checkCovered (step: Step): void {
    for (const { name, allotment } of this.holders) {
      const inUse = allotment.countInUse()
      assert.ok(inUse <= (this.table.row?.parts[name] ?? 0), `${name} has ${inUse} in flight after ${JSON.stringify(step)}`)
    }
  }

  send (holder: Holder, fate: 'answered' | 'lostAnswer' | 'late' | 'lost'): void {
    const { plan, allotment } = holder
    if (plan === undefined || fate === 'lost') return
    if (fate === 'late') {
      this.table.late.push(plan)
      return
    }
    this.table.apply(plan)
    if (fate === 'lostAnswer') return
    // An answer shows the row as it stands, whether this try took effect or conflicted.
    allotment.updateRow(this.table.version, this.table.row)
    allotment.cancelPlan()
    holder.plan = undefined
  }

  run (step: Step): void {
    const holder = this.holders[step.holder]!
    const { allotment } = holder
    if (step.kind === 'release' && allotment.countInUse() > 0) allotment.release()
    if (holder.dead) return
    if (step.kind === 'charge') allotment.charge()
    if (step.kind === 'kill') holder.dead = true
    if (step.kind === 'settle') for (const plan of this.table.late.splice(0)) this.table.apply(plan)
    if (step.kind === 'hear') allotment.updateCeiling(this.config.ceiling, this.config.version)
    if (step.kind === 'read') {
      const version = Math.max(0, this.table.version - step.age)
      allotment.updateRow(version, this.table.history[version]!)
    }
    if (step.kind === 'ceiling') {
      this.config = { version: this.config.version + 1, ceiling: step.value }
      allotment.updateCeiling(step.value, this.config.version)
    }
    if (step.kind === 'plan') {
      // Exchanges of the dead end by themselves; only then is their part given back.
      const ended = this.holders.filter((other) => other.dead && other.allotment.countInUse() === 0).map((other) => other.name)
      holder.plan ??= allotment.decidePlan({
        wanted: step.wanted, gives: [{ incarnation: `h${step.to}`, amount: 3 }], ended
      })
    }
    if (step.kind === 'send') this.send(holder, step.fate)
  }
}

test('the exchanges in flight never pass the ceiling, whatever happens to transactions and holders', () => {
  fc.assert(fc.property(fc.array(stepArbitrary(false), { maxLength: 150, size: 'max' }), (steps) => {
    const world = new World()
    for (const step of steps) {
      world.run(step)
      world.checkCovered(step)
      assert.ok(sumParts(world.table.row ?? { configVersion: 0, ceiling: 0, parts: {} }) <= FIRST_CEILING)
    }
  }), resolveFuzzOptions(501, 3000))
})

test('a lowered ceiling never lets the parts grow above it, and is met once work has ended', () => {
  fc.assert(fc.property(fc.array(stepArbitrary(true), { maxLength: 120, size: 'max' }), (steps) => {
    const world = new World()
    for (const step of steps) {
      const before = sumParts(world.table.row ?? { configVersion: 0, ceiling: 0, parts: {} })
      world.run(step)
      const after = world.table.row
      if (after !== null) assert.ok(sumParts(after) <= Math.max(before, after.ceiling))
      world.checkCovered(step)
    }
    // The faults end, everyone hears of the configuration, and the work in flight ends step by step.
    for (let round = 0; round < 40; round += 1) {
      for (const index of world.holders.keys()) {
        world.run({ kind: 'settle', holder: index })
        world.run({ kind: 'hear', holder: index })
        world.run({ kind: 'send', holder: index, fate: 'answered' })
        world.run({ kind: 'read', holder: index, age: 0 })
        world.run({ kind: 'plan', holder: index, wanted: 0, to: index })
        world.run({ kind: 'send', holder: index, fate: 'answered' })
        world.run({ kind: 'release', holder: index })
      }
    }
    if (world.holders.every((holder) => holder.dead) || world.table.row === null) return
    assert.ok(sumParts(world.table.row) <= world.config.ceiling, JSON.stringify(world.table.row))
  }), resolveFuzzOptions(502, 1500))
})

test('while the table is down each holder keeps to its proportion of a lowered ceiling', () => {
  const row = { configVersion: 1, ceiling: 10, parts: { a: 6, b: 4 } }
  const [a, b] = [createAllotment('a'), createAllotment('b')]
  for (const holder of [a, b]) {
    holder.updateCeiling(10, 1)
    holder.updateRow(1, row)
    holder.updateCeiling(5, 2)
  }
  assert.is(a.countFree(), 3)
  assert.is(b.countFree(), 2)
})

test.run()
