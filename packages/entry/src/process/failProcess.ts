/** Crashes the process on a violated invariant, even if the error was raised in a promise. */

/** Rethrows an error outside of any promise chain, where it is not swallowed. */
export function failProcess (error: unknown): void {
  queueMicrotask(() => { throw error })
}
