/** Amounts of processors, memory and accelerators, as a VM offers and a task needs them. */
import * as Schema from 'effect/Schema'

const Amount = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0))
const WholeAmount = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))

/** Resources in cores, mebibytes and whole accelerators. */
export const Resources = Schema.Struct({
  processors: Amount,
  memoryMb: WholeAmount,
  accelerators: WholeAmount
})
export type Resources = typeof Resources.Type

/** Smallest part of a core that sums tell apart. */
const PROCESSOR_PARTS = 1e6

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

/** Room of `count` tasks of one kind. */
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

/** Takes the error of binary fractions off, so that ten tasks of 0.1 cores need one core and no more. */
function computeRounded (processors: number): number {
  return Math.round(processors * PROCESSOR_PARTS) / PROCESSOR_PARTS
}
