/** Resource usage of each client account in a partition, and its limit there: the part of its ceiling that the partition may use. */
import { addResources, hasRoomFor, NO_RESOURCES, subtractResources, type Resources } from '../schema/resources.js'
import { NO_DEMAND, type TeamDemand } from './ceilingClaims.js'

/** A task, or a whole gang, that the limit blocks. */
export interface BlockedUnit {
  readonly resources: Resources
  readonly waitingSinceMs: number
}

/** Usage in one partition. */
export interface TeamUsage {
  /** @param areFinal `false` for provisional limits that apply until the partition's claims are known */
  setLimits: (limits: ReadonlyMap<string, Resources>, areFinal: boolean, ceilings: ReadonlyMap<string, Resources>) => void
  /** Whether the team's whole ceiling has room for an amount. */
  mayEverAdd: (team: string, need: Resources) => boolean
  areLimitsFinal: () => boolean
  mayAdd: (team: string, need: Resources) => boolean
  add: (team: string, amount: Resources) => void
  subtract: (team: string, amount: Resources) => void
  /** Unused part of the limit; infinite if there is none. */
  readFree: (team: string) => Resources
  /** Adds resources that the limit blocks, and the unit that has to fit for any of them to start; reset by `startRound`. */
  addBlocked: (team: string, amount: Resources, unit: BlockedUnit) => void
  startRound: () => void
  listDemand: () => ReadonlyMap<string, TeamDemand>
}

const NO_LIMIT: Resources = { processors: Infinity, memoryMb: Infinity, accelerators: Infinity }

/** Creates usage of zero without limits. */
export function createTeamUsage (): TeamUsage {
  const used = new Map<string, Resources>()
  let limits: ReadonlyMap<string, Resources> = new Map()
  let ceilings: ReadonlyMap<string, Resources> = new Map()
  let final = true
  const blocked = new Map<string, Resources>()
  const longestWaiting = new Map<string, BlockedUnit>()
  const readUsage = (team: string): Resources => used.get(team) ?? NO_RESOURCES
  return {
    setLimits: (next, areFinal, nextCeilings) => {
      limits = next
      final = areFinal
      ceilings = nextCeilings
    },
    mayEverAdd: (team, need) => hasRoomFor(ceilings.get(team) ?? NO_LIMIT, need),
    areLimitsFinal: () => final,
    mayAdd: (team, need) => {
      const limit = limits.get(team)
      return limit === undefined || hasRoomFor(subtractResources(limit, readUsage(team)), need)
    },
    add: (team, amount) => { used.set(team, addResources(readUsage(team), amount)) },
    readFree: (team) => subtractResources(limits.get(team) ?? NO_LIMIT, readUsage(team)),
    subtract: (team, amount) => { used.set(team, subtractResources(readUsage(team), amount)) },
    addBlocked: (team, amount, unit) => {
      blocked.set(team, addResources(blocked.get(team) ?? NO_RESOURCES, amount))
      if (unit.waitingSinceMs < (longestWaiting.get(team)?.waitingSinceMs ?? Infinity)) longestWaiting.set(team, unit)
    },
    startRound: () => {
      blocked.clear()
      longestWaiting.clear()
    },
    listDemand: () => {
      const demand = new Map<string, TeamDemand>()
      for (const team of new Set([...used.keys(), ...blocked.keys()])) {
        demand.set(team, { used: readUsage(team), blocked: blocked.get(team) ?? NO_DEMAND.blocked, longestWaiting: longestWaiting.get(team)?.resources ?? null })
      }
      return demand
    }
  }
}
