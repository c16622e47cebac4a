/** Checks of operations: draining workers, graceful shutdowns, configuration. */
import type { History } from './history.js'
import type { ReportViolation } from './monitor.js'
import { collectBy } from './intervals.js'

/** Time after which a draining worker must receive no new work. */
const DRAIN_PROPAGATION_MS = 5000

/** Time after which an accepted configuration must be in force at every entry. */
const CONFIG_PROPAGATION_MS = 6000

/** Checks that a worker marked as draining receives no new work after the propagation time. */
export function checkDrains (history: History, report: ReportViolation): void {
  for (const drain of history.drains) {
    const fromMs = drain.atMs + DRAIN_PROPAGATION_MS
    for (const started of [...history.executions, ...history.runs]) {
      if (started.worker !== drain.name || started.startedAtMs < fromMs) continue
      report(`${drain.name} received work ${Math.round(started.startedAtMs - drain.atMs)} ms after it was marked as draining`)
    }
  }
}

/** Checks that no caller loses its connection to an entry that shuts down gracefully. */
export function checkGracefulShutdowns (history: History, report: ReportViolation): void {
  for (const shutdown of history.gracefulShutdowns) {
    for (const request of history.requests) {
      if (request.entry !== shutdown.name || request.outcome !== 'cutOff') continue
      report(`${request.requestKey} was interrupted by the graceful shutdown of ${shutdown.name} (${request.reason})`)
    }
  }
}

/** Checks that the version in force never decreases at an entry, and that each accepted version is in force at every entry after the propagation time. */
export function checkConfigVersions (history: History, report: ReportViolation): void {
  for (const observations of collectBy(history.configObservations, (observation) => observation.incarnation).values()) {
    let highest = 0
    for (const { entry, version, atMs } of observations.toSorted((a, b) => a.atMs - b.atMs)) {
      if (version < highest) report(`${entry} regressed from version ${highest} to ${version}`)
      highest = Math.max(highest, version)
      for (const accepted of history.acceptedConfigs) {
        if (accepted.version <= version || accepted.atMs + CONFIG_PROPAGATION_MS > atMs) continue
        report(`${entry} still had version ${version} in force ${Math.round(atMs - accepted.atMs)} ms after version ${accepted.version} was accepted`)
      }
    }
  }
}
