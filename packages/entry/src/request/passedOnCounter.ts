/** Counts requests that went to another owner because the team held no part of its ceiling here. */

/** How long such a request counts as demand, in milliseconds. */
const WINDOW_MS = 1000

/** Demand that left again. */
export interface PassedOnCounter {
  addRequest: (team: string, nowMs: number) => void
  /** Requests of the current window. */
  countRequests: (team: string, nowMs: number) => number
}

/** Creates a counter at 0. */
export function createPassedOnCounter (): PassedOnCounter {
  const windows = new Map<string, { count: number, readonly sinceMs: number }>()
  const findWindow = (team: string, nowMs: number): { count: number } | undefined => {
    const window = windows.get(team)
    if (window !== undefined && nowMs - window.sinceMs <= WINDOW_MS) return window
    windows.delete(team)
    return undefined
  }
  return {
    addRequest: (team, nowMs) => {
      const window = findWindow(team, nowMs)
      if (window === undefined) windows.set(team, { count: 1, sinceMs: nowMs })
      else window.count += 1
    },
    countRequests: (team, nowMs) => findWindow(team, nowMs)?.count ?? 0
  }
}
