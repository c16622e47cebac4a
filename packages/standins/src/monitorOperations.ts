/** Checks of operations: leaving workers, planned stops, configuration. */
import type { History } from './history.js'
import type { Report } from './monitor.js'
import { collectBy } from './sweep.js'

/** Time after which a leaving endpoint gets no new work. */
const LEAVING_WITHIN_MS = 5000

/** Time after which an accepted configuration is in force everywhere. */
const IN_FORCE_WITHIN_MS = 6000

/** Nothing starts at a worker a few seconds after it was shown as leaving. */
export function checkLeaving (history: History, report: Report): void {
  for (const leaving of history.leavings) {
    const fromMs = leaving.atMs + LEAVING_WITHIN_MS
    for (const started of [...history.executions, ...history.runs]) {
      if (started.worker !== leaving.name || started.startedAtMs < fromMs) continue
      report(`${leaving.name} got work ${Math.round(started.startedAtMs - leaving.atMs)} ms after it began to leave`)
    }
  }
}

/** No caller of an entry that stops in a planned way loses its connection while its request is in flight. */
export function checkPlannedStops (history: History, report: Report): void {
  for (const stop of history.plannedStops) {
    for (const request of history.requests) {
      if (request.entry !== stop.name || request.outcome !== 'cutOff') continue
      report(`${request.requestKey} was cut off by the planned stop of ${stop.name} (${request.reason})`)
    }
  }
}

/** Versions in force never go back at an entry, and follow an acceptance everywhere within seconds. */
export function checkConfig (history: History, report: Report): void {
  for (const sightings of collectBy(history.configSightings, (sighting) => sighting.incarnation).values()) {
    let highest = 0
    for (const { entry, version, atMs } of sightings.toSorted((a, b) => a.atMs - b.atMs)) {
      if (version < highest) report(`${entry} went back from version ${highest} to ${version}`)
      highest = Math.max(highest, version)
      for (const accepted of history.acceptedConfigs) {
        if (accepted.version <= version || accepted.atMs + IN_FORCE_WITHIN_MS > atMs) continue
        report(`${entry} had version ${version} in force ${Math.round(atMs - accepted.atMs)} ms after ${accepted.version} was accepted`)
      }
    }
  }
}
