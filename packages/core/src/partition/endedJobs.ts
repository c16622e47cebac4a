/** Ended jobs by the time of their end, so that the expired ones are found without looking at the others. */

/** Ids of ended jobs, in order of their end. */
export interface EndedJobs {
  add: (id: string, endedAtMs: number) => void
  /** Removes and returns those that ended before `wallMs`. */
  takeBefore: (wallMs: number) => string[]
}

/** Creates an empty collection. */
export function createEndedJobs (): EndedJobs {
  const ended: { readonly id: string, readonly endedAtMs: number }[] = []
  let isSorted = true
  return {
    add: (id, endedAtMs) => {
      // Jobs of earlier terms arrive in any order, and the wall clock may be set back.
      if (endedAtMs < (ended.at(-1)?.endedAtMs ?? -Infinity)) isSorted = false
      ended.push({ id, endedAtMs })
    },
    takeBefore: (wallMs) => {
      if (!isSorted) ended.sort((a, b) => a.endedAtMs - b.endedAtMs)
      isSorted = true
      let count = 0
      while (count < ended.length && ended[count]!.endedAtMs < wallMs) count++
      return ended.splice(0, count).map(({ id }) => id)
    }
  }
}
