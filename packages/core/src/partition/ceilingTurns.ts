/**
 * Turns of the partitions at a team's ceiling.
 *
 * Each partition may keep its share of a ceiling while others need more. Two partitions whose waiting tasks each need more than their
 * share would wait for one another for good, so a task that has waited for a while takes a turn: turns are numbered in the row of the
 * claims, and the partition with the lowest number gets what the others don't use. A turn ends with the start, or passes after a time.
 */
import { addResources, NO_RESOURCES, hasRoomFor, type Resources } from '../schema/resources.js'
import { FIELDS, readAmounts, toAmounts, type ClaimsRow, type StoredTurn, type TeamDemand } from './ceilingClaims.js'
import { CEILING_TURN_AFTER_MS, CEILING_TURN_GRACE_MS, CEILING_TURN_MS } from './constants.js'

/** Turn at a team's ceiling, as one partition sees it. */
export interface CeilingTurn {
  /** Turn that the partition has or takes; `null` if it needs none. */
  readonly own: StoredTurn | null
  /** Partition whose turn it is; `null` if no partition waits for a turn. */
  readonly first: string | null
  /** Claim that `first` needs. */
  readonly needed: Resources
}

/** What the turns are decided from. */
export interface TurnInputs {
  readonly row: ClaimsRow
  readonly ceilings: ReadonlyMap<string, Resources>
  readonly demand: ReadonlyMap<string, TeamDemand>
  /** The partition's fraction of the total capacity per resource, 0 to 1. */
  readonly share: Resources
  readonly nowMs: number
}

/** Turns of one partition. */
export interface CeilingTurns {
  /** Lists the turns by team; teams without any are left out. */
  decide: (inputs: TurnInputs) => ReadonlyMap<string, CeilingTurn>
}

interface WaitingTurn {
  readonly partition: string
  readonly turn: StoredTurn
}

function listTurns (row: ClaimsRow, team: string): WaitingTurn[] {
  const waiting: WaitingTurn[] = []
  for (const [partition, section] of Object.entries(row.cells)) {
    const turn = section.turns?.[team]
    if (turn !== undefined) waiting.push({ partition, turn })
  }
  return waiting.sort((a, b) => a.turn.number - b.turn.number)
}

/** Claim that the task needs which has waited for the longest time; `null` if the partition's share is sufficient, or the ceiling is not. */
function computeNeeded (demand: TeamDemand | undefined, ceiling: Resources, share: Resources): Resources | null {
  if (demand === undefined || demand.longestWaiting === null) return null
  const needed = addResources(demand.used, demand.longestWaiting)
  if (!hasRoomFor(ceiling, needed)) return null
  return FIELDS.some((field) => Number.isFinite(ceiling[field]) && needed[field] > share[field] * ceiling[field]) ? needed : null
}

/** Creates the turns of a partition in one term. */
export function createCeilingTurns (partition: string): CeilingTurns {
  /** Time since which a team's work has waited for more than the partition's share, or since its last turn. */
  const waitingSinceMs = new Map<string, number>()
  /** Time at which a turn was first seen to be the next one, by team, partition and number. */
  let firstSeenMs = new Map<string, number>()

  const takeTurn = (team: string, needed: Resources, waiting: readonly WaitingTurn[], nowMs: number): StoredTurn | null => {
    const current = waiting.find((other) => other.partition === partition)?.turn
    const nextNumber = (waiting.at(-1)?.turn.number ?? 0) + 1
    const since = waitingSinceMs.get(team) ?? nowMs
    waitingSinceMs.set(team, since)
    if (current === undefined) return nowMs - since >= CEILING_TURN_AFTER_MS ? { number: nextNumber, needed: toAmounts(needed) } : null
    const seenMs = firstSeenMs.get(`${team} ${partition} ${current.number}`)
    const isOver = seenMs !== undefined && nowMs - seenMs >= CEILING_TURN_MS
    return { number: isOver ? nextNumber : current.number, needed: toAmounts(needed) }
  }

  const decideTeam = (team: string, ceiling: Resources, { row, demand, share, nowMs }: TurnInputs, seen: Map<string, number>): CeilingTurn | null => {
    const waiting = listTurns(row, team)
    const needed = computeNeeded(demand.get(team), ceiling, share)
    if (needed === null) waitingSinceMs.delete(team)
    const own = needed === null ? null : takeTurn(team, needed, waiting, nowMs)
    const next = waiting.filter((other) => other.partition !== partition)
    if (own !== null) next.push({ partition, turn: own })
    next.sort((a, b) => a.turn.number - b.turn.number)
    for (const { partition: first, turn } of next) {
      const key = `${team} ${first} ${turn.number}`
      const seenMs = firstSeenMs.get(key) ?? nowMs
      seen.set(key, seenMs)
      // A partition without a holder doesn't pass its turn on.
      if (nowMs - seenMs >= CEILING_TURN_MS + CEILING_TURN_GRACE_MS) continue
      return { own, first, needed: readAmounts(turn.needed) }
    }
    return own === null ? null : { own, first: null, needed: NO_RESOURCES }
  }

  return {
    decide: (inputs) => {
      const turns = new Map<string, CeilingTurn>()
      const seen = new Map<string, number>()
      for (const [team, ceiling] of inputs.ceilings) {
        const turn = decideTeam(team, ceiling, inputs, seen)
        if (turn !== null) turns.set(team, turn)
      }
      firstSeenMs = seen
      return turns
    }
  }
}
