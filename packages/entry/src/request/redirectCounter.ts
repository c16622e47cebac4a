/** Counts requests that were refused here for lack of allotment and so redirected to another owner. */

/** Window during which a redirected request counts as demand. */
const WINDOW_MS = 1000

/** Counter of redirected requests by team. */
export interface RedirectCounter {
  addRequest: (team: string, nowMs: number) => void
  /** Number of redirected requests in the current window. */
  countRequests: (team: string, nowMs: number) => number
}

export function createRedirectCounter (): RedirectCounter {
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
