/** Seeded random numbers of the bench. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Source of random numbers that repeats with its seed. */
export interface BenchRandom {
  /** Uniform in [0, 1). */
  nextFloat: () => number
  /** Whole number from `low` to `high`, both included. */
  nextInt: (low: number, high: number) => number
  /** One of the items. */
  chooseItem: <T>(items: readonly T[]) => T
  /** Exponential with the given mean. */
  nextExponential: (mean: number) => number
  /** Factor whose logarithm is normal with mean 0. */
  nextLogNormal: (sigma: number) => number
}

/** Creates a source from a seed. */
export function createBenchRandom (seed: number): BenchRandom {
  const generator = xoroshiro128plus(seed)
  const nextFloat = (): number => uniformFloat64(generator)
  const nextInt = (low: number, high: number): number => low + Math.floor(nextFloat() * (high - low + 1))
  return {
    nextFloat,
    nextInt,
    chooseItem: (items) => items[nextInt(0, items.length - 1)]!,
    nextExponential: (mean) => -mean * Math.log(1 - nextFloat()),
    nextLogNormal: (sigma) => {
      const radius = Math.sqrt(-2 * Math.log(1 - nextFloat()))
      return Math.exp(sigma * radius * Math.cos(2 * Math.PI * nextFloat()))
    }
  }
}
