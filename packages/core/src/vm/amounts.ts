/** Resource amounts in integer units, so that sums of many charges stay exact. */
import type { Resources } from '../schema/resources.js'

/** Mutable resource amounts; processors are in thousandths of a core. */
export interface Amounts {
  processors: number
  memoryMb: number
  accelerators: number
}

export const COMPONENTS = ['processors', 'memoryMb', 'accelerators'] as const

const UNITS_PER_CORE = 1000
/** Absorbs the rounding error of decimal fractions such as 0.1 in the conversion to integer units. */
const FRACTION_TOLERANCE = 1e-6

/** Creates amounts of zero. */
export function createAmounts (): Amounts {
  return { processors: 0, memoryMb: 0, accelerators: 0 }
}

/** Converts the resources that a task requires, rounding up. */
export function createNeed (resources: Resources): Amounts {
  return {
    processors: Math.ceil(resources.processors * UNITS_PER_CORE - FRACTION_TOLERANCE),
    memoryMb: Math.ceil(resources.memoryMb),
    accelerators: Math.ceil(resources.accelerators)
  }
}

/** Converts the capacity of a worker or a ceiling, rounding down. */
export function createCapacity (resources: Resources): Amounts {
  return {
    processors: Math.floor(resources.processors * UNITS_PER_CORE + FRACTION_TOLERANCE),
    memoryMb: Math.floor(resources.memoryMb),
    accelerators: Math.floor(resources.accelerators)
  }
}

/** Converts to cores, mebibytes and accelerators. */
export function toResources (amounts: Amounts): Resources {
  return {
    processors: amounts.processors / UNITS_PER_CORE,
    memoryMb: amounts.memoryMb,
    accelerators: amounts.accelerators
  }
}

/** Adds `count` times `amounts` to `target` in place; a negative count subtracts. */
export function addAmounts (target: Amounts, amounts: Amounts, count: number): void {
  target.processors += amounts.processors * count
  target.memoryMb += amounts.memoryMb * count
  target.accelerators += amounts.accelerators * count
}

/** Checks whether `count` tasks of `need` fit into `room`. */
export function hasRoom (room: Amounts, need: Amounts, count = 1): boolean {
  return need.processors * count <= room.processors &&
    need.memoryMb * count <= room.memoryMb &&
    need.accelerators * count <= room.accelerators
}

/** Counts how many tasks of `need` fit into `room`, at most `limit`. */
export function countFits (room: Amounts, need: Amounts, limit: number): number {
  let fits = limit
  if (need.processors > 0) fits = Math.min(fits, Math.floor(room.processors / need.processors))
  if (need.memoryMb > 0) fits = Math.min(fits, Math.floor(room.memoryMb / need.memoryMb))
  if (need.accelerators > 0) fits = Math.min(fits, Math.floor(room.accelerators / need.accelerators))
  return Math.max(0, fits)
}

/** Returns the largest component of amounts in a common unit, such as fractions of capacity or seconds of resource time. */
export function computeDominantComponent (fractions: Amounts): number {
  return Math.max(fractions.processors, fractions.memoryMb, fractions.accelerators)
}

/** Finds the first component in which `need` exceeds `room`. */
export function findLackingComponent (room: Amounts, need: Amounts): keyof Amounts | undefined {
  if (need.processors > room.processors) return 'processors'
  if (need.memoryMb > room.memoryMb) return 'memoryMb'
  if (need.accelerators > room.accelerators) return 'accelerators'
  return undefined
}
