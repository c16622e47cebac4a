/** Seed and number of runs of a property: fixed in CI, chosen by the environment in a hunt. */

/** Parameters for `fc.assert`. */
export interface FuzzOptions {
  readonly seed: number
  readonly numRuns: number
}

/**
 * Resolves the parameters of a property. `FUZZ_SEED` replaces the seed, `FUZZ_FACTOR` multiplies the runs.
 *
 * @param seed seed in CI
 * @param numRuns runs in CI
 */
export function resolveFuzzOptions (seed: number, numRuns: number): FuzzOptions {
  const factor = Number(process.env['FUZZ_FACTOR'] ?? 1)
  return { seed: Number(process.env['FUZZ_SEED'] ?? seed), numRuns: Math.max(1, Math.round(numRuns * factor)) }
}
