/** Tells workers that fail everything from jobs that fail everywhere. */

/** How a worker's recent attempts ended. */
export interface WorkerHealth {
  /** Attempts that failed since the last one that completed. */
  failuresInRow: number
  /** Jobs that those attempts belonged to; bounded. */
  failedJobs: Set<string>
  /** Monotonic time until which nothing starts there; 0 when trusted. */
  quarantinedUntilMs: number
  /** Quarantines since the last completed attempt. */
  quarantines: number
  /** One task at a time starts there until one completes. */
  probing: boolean
}

/** Failures in a row that put a worker into quarantine. */
const QUARANTINE_FAILURES = 3
/** Jobs that those failures must belong to, so that one bad job does not condemn a worker. */
const QUARANTINE_JOBS = 2
const FIRST_QUARANTINE_MS = 60_000
const LONGEST_QUARANTINE_MS = 30 * 60_000
const MAX_FAILED_JOBS = 8

/** Creates the health of a worker that nothing is known about. */
export function createWorkerHealth (): WorkerHealth {
  return { failuresInRow: 0, failedJobs: new Set(), quarantinedUntilMs: 0, quarantines: 0, probing: false }
}

/** Clears all doubt: an attempt completed. */
export function recordSuccess (health: WorkerHealth): void {
  health.failuresInRow = 0
  health.failedJobs.clear()
  health.quarantines = 0
  health.probing = false
}

/** Counts a failed attempt; returns whether the worker enters quarantine. */
export function recordFailure (health: WorkerHealth, job: string, nowMs: number): boolean {
  health.failuresInRow += 1
  if (health.failedJobs.size < MAX_FAILED_JOBS) health.failedJobs.add(job)
  if (health.quarantinedUntilMs > 0) return false
  const suspect = health.failuresInRow >= QUARANTINE_FAILURES && health.failedJobs.size >= QUARANTINE_JOBS
  if (!suspect && !health.probing) return false
  const durationMs = FIRST_QUARANTINE_MS * 2 ** Math.min(health.quarantines, 10)
  health.quarantinedUntilMs = nowMs + Math.min(durationMs, LONGEST_QUARANTINE_MS)
  health.quarantines += 1
  health.probing = false
  return true
}

/** Lets probes in once the quarantine is over; returns whether it was. */
export function stopQuarantine (health: WorkerHealth, nowMs: number): boolean {
  if (health.quarantinedUntilMs === 0 || nowMs < health.quarantinedUntilMs) return false
  health.quarantinedUntilMs = 0
  health.probing = true
  return true
}
