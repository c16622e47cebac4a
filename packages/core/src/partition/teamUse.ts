/** What each client account runs in a cell, against its ceiling there. */
import { addResources, hasRoomFor, NO_RESOURCES, subtractResources, type Resources } from '../schema/resources.js'
import type { TeamDemand } from './ceilingClaims.js'

/** Sums of one cell. */
export interface TeamUse {
  /** @param areSettled `false` while the limits only bridge the time until the cell's claims are known */
  setLimits: (limits: ReadonlyMap<string, Resources>, areSettled: boolean) => void
  areLimitsSettled: () => boolean
  mayAdd: (team: string, need: Resources) => boolean
  add: (team: string, amount: Resources) => void
  subtract: (team: string, amount: Resources) => void
  /** What is left of the ceiling; infinite where there is none. */
  readFree: (team: string) => Resources
  /** Notes what waits for the ceiling; forgotten when the next round begins. */
  addBlocked: (team: string, amount: Resources) => void
  startRound: () => void
  listDemand: () => ReadonlyMap<string, TeamDemand>
}

const NO_LIMIT: Resources = { processors: Infinity, memoryMb: Infinity, accelerators: Infinity }

/** Creates sums of zero without ceilings. */
export function createTeamUse (): TeamUse {
  const used = new Map<string, Resources>()
  let limits: ReadonlyMap<string, Resources> = new Map()
  let settled = true
  const blocked = new Map<string, Resources>()
  const readUse = (team: string): Resources => used.get(team) ?? NO_RESOURCES
  return {
    setLimits: (next, areSettled) => {
      limits = next
      settled = areSettled
    },
    areLimitsSettled: () => settled,
    mayAdd: (team, need) => {
      const limit = limits.get(team)
      return limit === undefined || hasRoomFor(subtractResources(limit, readUse(team)), need)
    },
    add: (team, amount) => { used.set(team, addResources(readUse(team), amount)) },
    readFree: (team) => subtractResources(limits.get(team) ?? NO_LIMIT, readUse(team)),
    subtract: (team, amount) => { used.set(team, subtractResources(readUse(team), amount)) },
    addBlocked: (team, amount) => { blocked.set(team, addResources(blocked.get(team) ?? NO_RESOURCES, amount)) },
    startRound: () => { blocked.clear() },
    listDemand: () => {
      const demand = new Map<string, TeamDemand>()
      for (const team of new Set([...used.keys(), ...blocked.keys()])) demand.set(team, { used: readUse(team), blocked: blocked.get(team) ?? NO_RESOURCES })
      return demand
    }
  }
}
