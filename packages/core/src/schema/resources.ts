/** Amounts of processors, memory and accelerators, as offered by VMs and required by tasks. */
import * as Schema from 'effect/Schema'

const Amount = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0))
const IntegerAmount = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))

/** Resources in cores, mebibytes and whole accelerators. */
export const Resources = Schema.Struct({
  processors: Amount,
  memoryMb: IntegerAmount,
  accelerators: IntegerAmount
})
export type Resources = typeof Resources.Type

/** Resolution of sums of processors: one millionth of a core. */
const PROCESSOR_UNITS_PER_CORE = 1e6

/** No resources at all. */
export const NO_RESOURCES: Resources = { processors: 0, memoryMb: 0, accelerators: 0 }

/** Adds two amounts. */
export function addResources (a: Resources, b: Resources): Resources {
  return {
    processors: computeRounded(a.processors + b.processors),
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators
  }
}

/** Subtracts `b` from `a`; components may become negative. */
export function subtractResources (a: Resources, b: Resources): Resources {
  return {
    processors: computeRounded(a.processors - b.processors),
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators
  }
}

/** Computes the total of `count` equal amounts. */
export function computeTotal (amount: Resources, count: number): Resources {
  return {
    processors: computeRounded(amount.processors * count),
    memoryMb: amount.memoryMb * count,
    accelerators: amount.accelerators * count
  }
}

/** Tells whether `need` fits into `free` in every component. */
export function hasRoomFor (free: Resources, need: Resources): boolean {
  return need.processors <= free.processors &&
    need.memoryMb <= free.memoryMb &&
    need.accelerators <= free.accelerators
}

/** Rounds off floating-point errors, so that ten tasks of 0.1 cores need exactly one core. */
function computeRounded (processors: number): number {
  return Math.round(processors * PROCESSOR_UNITS_PER_CORE) / PROCESSOR_UNITS_PER_CORE
}
