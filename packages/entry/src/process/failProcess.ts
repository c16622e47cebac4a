/** Ends the process on a broken invariant, also where a promise carries it. */

/** Throws an error outside of any promise, where nothing swallows it. */
export function failProcess (error: unknown): void {
  queueMicrotask(() => { throw error })
}
