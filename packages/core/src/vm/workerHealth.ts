/** Quarantine of workers on which the tasks of several jobs fail, as a circuit breaker with probes. */

/** Recent attempt results of one worker. */
export interface WorkerHealth {
  /** Failed attempts since the last completed one. */
  consecutiveFailures: number
  /** Jobs of those attempts, at most `MAX_TRACKED_FAILED_JOBS`. */
  failedJobs: Set<string>
  /** Monotonic time until which nothing starts on the worker; 0 when not in quarantine. */
  quarantinedUntilMs: number
  /** Quarantines since the last completed attempt. */
  quarantines: number
  /** After a quarantine, one task at a time runs on the worker until one completes. */
  probing: boolean
}

/** Consecutive failures that put a worker into quarantine. */
const QUARANTINE_FAILURES = 3
/** Distinct jobs that must have failed, so that one faulty job does not quarantine a worker. */
const QUARANTINE_JOBS = 2
const INITIAL_QUARANTINE_MS = 60_000
const MAX_QUARANTINE_MS = 30 * 60_000
const MAX_TRACKED_FAILED_JOBS = 8

/** Creates the health record of a worker without results. */
export function createWorkerHealth (): WorkerHealth {
  return { consecutiveFailures: 0, failedJobs: new Set(), quarantinedUntilMs: 0, quarantines: 0, probing: false }
}

/** Records a completed attempt and resets the failure counts. */
export function recordSuccess (health: WorkerHealth): void {
  health.consecutiveFailures = 0
  health.failedJobs.clear()
  health.quarantines = 0
  health.probing = false
}

/** Records a failed attempt; returns whether the worker enters quarantine. */
export function recordFailure (health: WorkerHealth, job: string, nowMs: number): boolean {
  health.consecutiveFailures += 1
  if (health.failedJobs.size < MAX_TRACKED_FAILED_JOBS) health.failedJobs.add(job)
  if (health.quarantinedUntilMs > 0) return false
  const suspect = health.consecutiveFailures >= QUARANTINE_FAILURES && health.failedJobs.size >= QUARANTINE_JOBS
  if (!suspect && !health.probing) return false
  const durationMs = INITIAL_QUARANTINE_MS * 2 ** Math.min(health.quarantines, 10)
  health.quarantinedUntilMs = nowMs + Math.min(durationMs, MAX_QUARANTINE_MS)
  health.quarantines += 1
  health.probing = false
  return true
}

/** Switches to probing once the quarantine has elapsed; returns whether it did. */
export function endQuarantine (health: WorkerHealth, nowMs: number): boolean {
  if (health.quarantinedUntilMs === 0 || nowMs < health.quarantinedUntilMs) return false
  health.quarantinedUntilMs = 0
  health.probing = true
  return true
}
