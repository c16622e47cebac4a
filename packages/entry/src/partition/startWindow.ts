/** Bounds the start orders in flight: the others wait in order, so that a batch of starts delays no lease call by more than one window. */

/** Window of one term. */
export interface StartWindow {
  /** Waits until fewer orders than the limit are in flight; `releaseSlot` must be called once afterwards. */
  waitForSlot: () => Promise<void>
  releaseSlot: () => void
}

/** @param limit most orders in flight */
export function createStartWindow (limit: number): StartWindow {
  const queue: Array<() => void> = []
  let inFlight = 0
  return {
    waitForSlot: async () => {
      if (inFlight >= limit) {
        // The slot passes from the order that releases it to this one.
        await new Promise<void>((resolve) => { queue.push(resolve) })
        return
      }
      inFlight++
    },
    releaseSlot: () => {
      const next = queue.shift()
      if (next === undefined) inFlight--
      else next()
    }
  }
}
