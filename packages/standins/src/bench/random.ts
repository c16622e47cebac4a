/** Seeded pseudo-random numbers for the benchmark. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Pseudo-random number generator; the same seed gives the same sequence. */
export interface BenchRandom {
  /** Uniform in [0, 1). */
  nextFloat: () => number
  /** Uniform integer in [low, high]. */
  nextInt: (low: number, high: number) => number
  /** Uniform choice among the items. */
  chooseItem: <T>(items: readonly T[]) => T
  /** Exponentially distributed with the given mean. */
  nextExponential: (mean: number) => number
  /** Log-normally distributed factor with median 1. */
  nextLogNormal: (sigma: number) => number
}

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
