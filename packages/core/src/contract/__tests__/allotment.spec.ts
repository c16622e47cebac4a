/** Property tests of allotments: holders against a table with lost, delayed and stale responses. */
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

/** Model of the row with its history, and transactions that may be applied late. */
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
  | { readonly kind: 'charge' | 'release' | 'kill' | 'configure' | 'applyLate', readonly holder: number }
  | { readonly kind: 'plan', readonly holder: number, readonly wanted: number, readonly to: number }
  | { readonly kind: 'send', readonly holder: number, readonly delivery: 'answered' | 'lostAnswer' | 'late' | 'lost' }
  | { readonly kind: 'read', readonly holder: number, readonly age: number }
  | { readonly kind: 'ceiling', readonly holder: number, readonly value: number }

const holderIndex = fc.nat({ max: HOLDERS - 1 })
const stepArbitrary = (withCeiling: boolean): fc.Arbitrary<Step> => fc.oneof(
  { weight: 12, arbitrary: fc.record({ kind: fc.constant('charge' as const), holder: holderIndex }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom('release' as const, 'applyLate' as const, 'configure' as const), holder: holderIndex }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('plan' as const), holder: holderIndex, wanted: fc.nat({ max: 8 }), to: holderIndex }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('send' as const), holder: holderIndex, delivery: fc.constantFrom('answered' as const, 'answered' as const, 'lostAnswer' as const, 'late' as const, 'lost' as const) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('read' as const), holder: holderIndex, age: fc.nat({ max: 3 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('kill' as const), holder: holderIndex }) },
  { weight: withCeiling ? 2 : 0, arbitrary: fc.record({ kind: fc.constant('ceiling' as const), holder: holderIndex, value: fc.nat({ max: 12 }) }) }
)

class Simulation {
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

  /** Checks that the exchanges in flight never exceed the holder's part in the row, even while a transaction is pending. */
  checkCovered (step: Step): void {
    for (const { name, allotment } of this.holders) {
      const inUse = allotment.countInUse()
      assert.ok(inUse <= (this.table.row?.parts[name] ?? 0), `${name} has ${inUse} in flight after ${JSON.stringify(step)}`)
    }
  }

  send (holder: Holder, delivery: 'answered' | 'lostAnswer' | 'late' | 'lost'): void {
    const { plan, allotment } = holder
    if (plan === undefined || delivery === 'lost') return
    if (delivery === 'late') {
      this.table.late.push(plan)
      return
    }
    this.table.apply(plan)
    if (delivery === 'lostAnswer') return
    // A response shows the current row, whether this attempt was applied or conflicted.
    allotment.updateRow(this.table.version, this.table.row)
    allotment.dropPlan()
    holder.plan = undefined
  }

  run (step: Step): void {
    const holder = this.holders[step.holder]!
    const { allotment } = holder
    if (step.kind === 'release' && allotment.countInUse() > 0) allotment.release()
    if (holder.dead) return
    if (step.kind === 'charge') allotment.charge()
    if (step.kind === 'kill') holder.dead = true
    if (step.kind === 'applyLate') for (const plan of this.table.late.splice(0)) this.table.apply(plan)
    if (step.kind === 'configure') allotment.updateCeiling(this.config.ceiling, this.config.version)
    if (step.kind === 'read') {
      const version = Math.max(0, this.table.version - step.age)
      allotment.updateRow(version, this.table.history[version]!)
    }
    if (step.kind === 'ceiling') {
      this.config = { version: this.config.version + 1, ceiling: step.value }
      allotment.updateCeiling(step.value, this.config.version)
    }
    if (step.kind === 'plan') {
      // Exchanges of dead holders end on their own; only then is their part released.
      const ended = this.holders.filter((other) => other.dead && other.allotment.countInUse() === 0).map((other) => other.name)
      holder.plan ??= allotment.planChange({
        wanted: step.wanted, transfers: [{ incarnation: `h${step.to}`, amount: 3 }], ended
      })
    }
    if (step.kind === 'send') this.send(holder, step.delivery)
  }
}

test('the exchanges in flight never exceed the ceiling, whatever happens to transactions and holders', () => {
  fc.assert(fc.property(fc.array(stepArbitrary(false), { maxLength: 150, size: 'max' }), (steps) => {
    const simulation = new Simulation()
    for (const step of steps) {
      simulation.run(step)
      simulation.checkCovered(step)
      assert.ok(sumParts(simulation.table.row ?? { configVersion: 0, ceiling: 0, parts: {} }) <= FIRST_CEILING)
    }
  }), resolveFuzzOptions(501, 3000))
})

test('the parts never grow above a lowered ceiling, and fall below it once exchanges end', () => {
  fc.assert(fc.property(fc.array(stepArbitrary(true), { maxLength: 120, size: 'max' }), (steps) => {
    const simulation = new Simulation()
    for (const step of steps) {
      const before = sumParts(simulation.table.row ?? { configVersion: 0, ceiling: 0, parts: {} })
      simulation.run(step)
      const after = simulation.table.row
      if (after !== null) assert.ok(sumParts(after) <= Math.max(before, after.ceiling))
      simulation.checkCovered(step)
    }
    // Faults stop, every holder receives the configuration, and the exchanges in flight end one by one.
    for (let round = 0; round < 40; round += 1) {
      for (const index of simulation.holders.keys()) {
        simulation.run({ kind: 'applyLate', holder: index })
        simulation.run({ kind: 'configure', holder: index })
        simulation.run({ kind: 'send', holder: index, delivery: 'answered' })
        simulation.run({ kind: 'read', holder: index, age: 0 })
        simulation.run({ kind: 'plan', holder: index, wanted: 0, to: index })
        simulation.run({ kind: 'send', holder: index, delivery: 'answered' })
        simulation.run({ kind: 'release', holder: index })
      }
    }
    if (simulation.holders.every((holder) => holder.dead) || simulation.table.row === null) return
    assert.ok(sumParts(simulation.table.row) <= simulation.config.ceiling, JSON.stringify(simulation.table.row))
  }), resolveFuzzOptions(502, 1500))
})

test('while the table is down, each holder limits itself to its proportional share of a lowered ceiling', () => {
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
