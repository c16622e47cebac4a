/** Scheduler state of one team: resources in use, resource time received, and lanes of waiting jobs. */
import type { Team } from '../schema/manifest.js'
import type { Lane } from '../job/lane.js'
import { COMPONENTS, computeDominantComponent, createAmounts, createCapacity, hasRoom, type Amounts } from '../vm/amounts.js'

/** One team; a team that is missing from the manifest starts nothing. */
export interface TeamEntry {
  readonly name: string
  /** Fair-share weight; 0 when the team is missing from the manifest. */
  weight: number
  ceiling: Amounts
  /** Resources charged for assigned and stopping attempts. */
  readonly running: Amounts
  /** Fraction of the cell's capacity in use, by component. */
  readonly fractionsInUse: Amounts
  /** Resource time received in the period, by component; one second is the cell's total capacity in use for a second. */
  readonly received: Amounts
  /** Credit forfeited by idling beyond the credit limit, in seconds; counts like received time, except in the reported shares. */
  forfeitedS: number
  /** Monotonic time up to which `received` is accumulated. */
  receivedUntilMs: number
  readonly lanes: Map<string, Lane>
  waitingTasks: number
  /** Waiting tasks of urgent priority. */
  waitingUrgent: number
  /** Incremented when resources are released or the ceiling changes. */
  headroomVersion: number
}

/**
 * Time constant, in seconds, over which a lead in received time is corrected: resources in use count as received
 * for this long in advance. A team that is ahead by its share of this time starts nothing until the others have caught up.
 */
const SHARE_CORRECTION_S = 600

/** Creates a team without weight or ceiling. */
export function createTeamEntry (name: string, nowMs: number): TeamEntry {
  return {
    name,
    weight: 0,
    ceiling: createAmounts(),
    running: createAmounts(),
    fractionsInUse: createAmounts(),
    received: createAmounts(),
    forfeitedS: 0,
    receivedUntilMs: nowMs,
    lanes: new Map(),
    waitingTasks: 0,
    waitingUrgent: 0,
    headroomVersion: 0
  }
}

/** Sets weight and ceiling from the manifest; `undefined` if the team is missing from it. */
export function updateTeam (entry: TeamEntry, team: Team | undefined): void {
  entry.weight = team?.share ?? 0
  entry.ceiling = team ? createCapacity(team.ceiling.resources) : createAmounts()
  entry.headroomVersion += 1
}

/** Accumulates the resource time received until `nowMs` and updates the fractions in use. */
export function updateReceived (entry: TeamEntry, capacity: Amounts, nowMs: number): void {
  if (nowMs > entry.receivedUntilMs) {
    const seconds = (nowMs - entry.receivedUntilMs) / 1000
    for (const component of COMPONENTS) entry.received[component] += entry.fractionsInUse[component] * seconds
    entry.receivedUntilMs = nowMs
  }
  for (const component of COMPONENTS) {
    entry.fractionsInUse[component] = capacity[component] > 0 ? entry.running[component] / capacity[component] : 0
  }
}

/** Checks whether `count` more tasks keep the team at or below its ceiling. */
export function hasCeilingRoom (entry: TeamEntry, need: Amounts, count: number): boolean {
  return hasRoom({
    processors: entry.ceiling.processors - entry.running.processors,
    memoryMb: entry.ceiling.memoryMb - entry.running.memoryMb,
    accelerators: entry.ceiling.accelerators - entry.running.accelerators
  }, need, count)
}

/**
 * Computes the fair-share order of a team; the team with the lowest value starts next. The value is the dominant resource
 * time received per unit of weight. Resources in use count ahead by `SHARE_CORRECTION_S`, so that teams that begin with
 * equal received time share the capacity from the start.
 */
export function computeTeamOrder (entry: TeamEntry, nowMs: number): number {
  const projectedS = Math.max(0, nowMs - entry.receivedUntilMs) / 1000 + SHARE_CORRECTION_S
  const { received, fractionsInUse } = entry
  const dominantS = Math.max(
    received.processors + fractionsInUse.processors * projectedS,
    received.memoryMb + fractionsInUse.memoryMb * projectedS,
    received.accelerators + fractionsInUse.accelerators * projectedS
  )
  return (dominantS + entry.forfeitedS) / entry.weight
}

/** Computes the dominant resource time received in the period, in seconds of the cell's total capacity. */
export function computeReceived ({ received }: TeamEntry): number {
  return computeDominantComponent(received)
}

/** Computes the dominant fraction of capacity in use. */
export function computeRunningShare ({ fractionsInUse }: TeamEntry): number {
  return computeDominantComponent(fractionsInUse)
}
