/** All teams of a cell with the period in which their parts are summed up. */
import type { Manifest } from '../schema/manifest.js'
import type { Resources } from '../schema/resources.js'
import { createAmounts, type Amounts } from '../vm/amounts.js'
import { computeSharePeriod, type SharePeriod } from './shareWindow.js'
import { computeReceived, createTeamEntry, updateReceived, updateTeam, type TeamEntry } from './teamEntry.js'

/** Parts received in the period by team, for the next holder of the scheduler role. */
export interface ShareLedger {
  readonly periodEndMs: number
  readonly teams: readonly { readonly team: string, readonly received: Resources, readonly forfeitedS: number }[]
}

/** Teams by name. */
export interface TeamRegistry {
  /** Capacity of all workers of the cell; changed in place by its owner. */
  readonly capacity: Amounts
  setManifest: (manifest: Manifest) => void
  /** The team, entered without weight if the manifest does not name it. */
  getTeam: (name: string) => TeamEntry
  listTeams: () => readonly TeamEntry[]
  /** Counts up to now and begins a new period when the last one is over. */
  updatePeriod: (nowMs: number, wallMs: number) => void
  /** Counts all teams up to now; called before capacity changes. */
  updateAll: () => void
  /** Bounds the credit of a team that had nothing to run. */
  updateForfeit: (team: TeamEntry) => void
  readNowMs: () => number
  setNowMs: (nowMs: number) => void
  readLedger: () => ShareLedger
  setLedger: (ledger: ShareLedger) => void
}

/** Part of the window that an idle team may make up for later. */
const CREDIT_PART = 0.5

/** Creates a registry without teams. */
export function createTeamRegistry (): TeamRegistry {
  const teams = new Map<string, TeamEntry>()
  const list: TeamEntry[] = []
  const capacity = createAmounts()
  let manifest: Manifest | undefined
  let period: SharePeriod | undefined
  let nowMs = 0

  const getTeam = (name: string): TeamEntry => {
    const found = teams.get(name)
    if (found) return found
    const created = createTeamEntry(name, nowMs)
    updateTeam(created, manifest?.teams.find((team) => team.name === name))
    teams.set(name, created)
    list.push(created)
    return created
  }

  const setManifest = (next: Manifest): void => {
    manifest = next
    const named = new Map(next.teams.map((team) => [team.name, team]))
    for (const name of named.keys()) getTeam(name)
    for (const entry of list) updateTeam(entry, named.get(entry.name))
  }

  const updateAll = (): void => {
    for (const team of list) updateReceived(team, capacity, nowMs)
  }

  const updatePeriod = (now: number, wallMs: number): void => {
    nowMs = Math.max(nowMs, now)
    if (!manifest || (period && wallMs < period.endMs && wallMs >= period.startMs)) return
    const next = computeSharePeriod(manifest.shareWindow, wallMs)
    const begins = period !== undefined && next.endMs !== period.endMs
    period = next
    updateAll()
    if (!begins) return
    for (const team of list) {
      Object.assign(team.received, createAmounts())
      team.forfeitedS = 0
    }
  }

  const updateForfeit = (team: TeamEntry): void => {
    if (!period || team.weight === 0) return
    let received = 0
    let weights = 0
    for (const other of list) {
      const otherS = computeReceived(other) + other.forfeitedS
      if (otherS === 0 || other === team) continue
      received += otherS
      weights += other.weight
    }
    if (weights === 0) return
    const creditS = CREDIT_PART * (period.endMs - period.startMs) / 1000 / (weights + team.weight)
    const leastOrder = received / weights - creditS
    const missing = leastOrder * team.weight - computeReceived(team)
    team.forfeitedS = Math.max(team.forfeitedS, missing)
  }

  return {
    capacity,
    setManifest,
    getTeam,
    listTeams: () => list,
    updatePeriod,
    updateAll,
    updateForfeit,
    readNowMs: () => nowMs,
    setNowMs: (now) => { nowMs = Math.max(nowMs, now) },
    readLedger: () => {
      updateAll()
      return {
        periodEndMs: period?.endMs ?? 0,
        teams: list.map(({ name, received, forfeitedS }) => ({ team: name, received: { ...received }, forfeitedS }))
      }
    },
    setLedger: (ledger) => {
      if (!period || ledger.periodEndMs !== period.endMs) return
      for (const { team, received, forfeitedS } of ledger.teams) {
        const entry = getTeam(team)
        Object.assign(entry.received, received)
        entry.forfeitedS = forfeitedS
      }
    }
  }
}
