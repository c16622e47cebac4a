/** Resource usage of each client account in a partition, and its limit there: the part of its ceiling that the partition may use. */
import { addResources, hasRoomFor, NO_RESOURCES, subtractResources, type Resources } from '../schema/resources.js'
import type { TeamDemand } from './ceilingClaims.js'

/** Usage in one partition. */
export interface TeamUsage {
  /** @param areFinal `false` for provisional limits that apply until the partition's claims are known */
  setLimits: (limits: ReadonlyMap<string, Resources>, areFinal: boolean) => void
  areLimitsFinal: () => boolean
  mayAdd: (team: string, need: Resources) => boolean
  add: (team: string, amount: Resources) => void
  subtract: (team: string, amount: Resources) => void
  /** Unused part of the limit; infinite if there is none. */
  readFree: (team: string) => Resources
  /** Adds resources that the limit blocks; reset by `startRound`. */
  addBlocked: (team: string, amount: Resources) => void
  startRound: () => void
  listDemand: () => ReadonlyMap<string, TeamDemand>
}

const NO_LIMIT: Resources = { processors: Infinity, memoryMb: Infinity, accelerators: Infinity }

/** Creates usage of zero without limits. */
export function createTeamUsage (): TeamUsage {
  const used = new Map<string, Resources>()
  let limits: ReadonlyMap<string, Resources> = new Map()
  let final = true
  const blocked = new Map<string, Resources>()
  const readUsage = (team: string): Resources => used.get(team) ?? NO_RESOURCES
  return {
    setLimits: (next, areFinal) => {
      limits = next
      final = areFinal
    },
    areLimitsFinal: () => final,
    mayAdd: (team, need) => {
      const limit = limits.get(team)
      return limit === undefined || hasRoomFor(subtractResources(limit, readUsage(team)), need)
    },
    add: (team, amount) => { used.set(team, addResources(readUsage(team), amount)) },
    readFree: (team) => subtractResources(limits.get(team) ?? NO_LIMIT, readUsage(team)),
    subtract: (team, amount) => { used.set(team, subtractResources(readUsage(team), amount)) },
    addBlocked: (team, amount) => { blocked.set(team, addResources(blocked.get(team) ?? NO_RESOURCES, amount)) },
    startRound: () => { blocked.clear() },
    listDemand: () => {
      const demand = new Map<string, TeamDemand>()
      for (const team of new Set([...used.keys(), ...blocked.keys()])) demand.set(team, { used: readUsage(team), blocked: blocked.get(team) ?? NO_RESOURCES })
      return demand
    }
  }
}
