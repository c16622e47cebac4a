/** What the scheduler holds for one team: its charge, its part received and its queue. */
import type { Team } from '../schema/manifest.js'
import type { Lane } from '../job/lane.js'
import { COMPONENTS, computeDominant, createAmounts, createCapacity, hasRoom, type Amounts } from '../vm/amounts.js'

/** One team; a team that the manifest does not name starts nothing. */
export interface TeamEntry {
  readonly name: string
  /** Weight of its share; 0 when the manifest does not name it. */
  weight: number
  ceiling: Amounts
  /** Charged for assigned and stopping attempts. */
  readonly running: Amounts
  /** Parts of capacity in use now. */
  readonly parts: Amounts
  /** Received in the period, in seconds of all processors, memory or accelerators of the cell. */
  readonly received: Amounts
  /** Counted beside `received` for order only: time kept idle beyond the bound of credit. */
  forfeitedS: number
  /** Monotonic time up to which `received` counts. */
  settledAtMs: number
  readonly lanes: Map<string, Lane>
  waitingTasks: number
  /** Those of them that are urgent. */
  waitingUrgent: number
  /** Grows when charge is released or the ceiling changes. */
  releases: number
}

/**
 * Time constant, in seconds, by which a lead in received time is paid back: a team ahead by this much
 * of its part runs nothing until the others have caught up.
 */
const CORRECTION_S = 600

/** Creates a team that the manifest does not name yet. */
export function createTeamEntry (name: string, nowMs: number): TeamEntry {
  return {
    name,
    weight: 0,
    ceiling: createAmounts(),
    running: createAmounts(),
    parts: createAmounts(),
    received: createAmounts(),
    forfeitedS: 0,
    settledAtMs: nowMs,
    lanes: new Map(),
    waitingTasks: 0,
    waitingUrgent: 0,
    releases: 0
  }
}

/** Takes weight and ceiling from the manifest; `undefined` when it no longer names the team. */
export function updateTeam (entry: TeamEntry, team: Team | undefined): void {
  entry.weight = team?.share ?? 0
  entry.ceiling = team ? createCapacity(team.ceiling.resources) : createAmounts()
  entry.releases += 1
}

/** Counts the part received until now and the part in use from now on. */
export function updateReceived (entry: TeamEntry, capacity: Amounts, nowMs: number): void {
  if (nowMs > entry.settledAtMs) {
    const seconds = (nowMs - entry.settledAtMs) / 1000
    for (const component of COMPONENTS) entry.received[component] += entry.parts[component] * seconds
    entry.settledAtMs = nowMs
  }
  for (const component of COMPONENTS) {
    entry.parts[component] = capacity[component] > 0 ? entry.running[component] / capacity[component] : 0
  }
}

/** Tells whether `count` more tasks keep the team at or below its ceiling. */
export function hasCeilingRoom (entry: TeamEntry, need: Amounts, count: number): boolean {
  return hasRoom({
    processors: entry.ceiling.processors - entry.running.processors,
    memoryMb: entry.ceiling.memoryMb - entry.running.memoryMb,
    accelerators: entry.ceiling.accelerators - entry.running.accelerators
  }, need, count)
}

/**
 * Computes the order of teams: the lowest starts next. It is the time received for each unit of weight,
 * with what runs now counted ahead, so that teams that start together share at once.
 */
export function computeTeamOrder (entry: TeamEntry, nowMs: number): number {
  const aheadS = Math.max(0, nowMs - entry.settledAtMs) / 1000 + CORRECTION_S
  const { received, parts } = entry
  const dominantS = Math.max(
    received.processors + parts.processors * aheadS,
    received.memoryMb + parts.memoryMb * aheadS,
    received.accelerators + parts.accelerators * aheadS
  )
  return (dominantS + entry.forfeitedS) / entry.weight
}

/** Computes the dominant part received in the period, in seconds of the whole cell. */
export function computeReceived ({ received }: TeamEntry): number {
  return computeDominant(received)
}

/** Computes the dominant part of capacity in use now. */
export function computeRunningPart ({ parts }: TeamEntry): number {
  return computeDominant(parts)
}
