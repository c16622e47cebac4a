/** Seed and number of runs of property tests: fixed in CI, configurable by environment variables for fuzzing. */

/** Parameters for `fc.assert`. */
export interface FuzzOptions {
  readonly seed: number
  readonly numRuns: number
}

/**
 * Resolves the parameters of a property test. `FUZZ_SEED` replaces the seed, `FUZZ_FACTOR` multiplies the number of runs.
 *
 * @param seed default seed, used in CI
 * @param numRuns default number of runs, used in CI
 */
export function resolveFuzzOptions (seed: number, numRuns: number): FuzzOptions {
  const factor = Number(process.env['FUZZ_FACTOR'] ?? 1)
  return { seed: Number(process.env['FUZZ_SEED'] ?? seed), numRuns: Math.max(1, Math.round(numRuns * factor)) }
}
