/** Registry of a cell's teams and the accounting period of their received resource time. */
import type { Manifest } from '../schema/manifest.js'
import type { Resources } from '../schema/resources.js'
import { createAmounts, type Amounts } from '../vm/amounts.js'
import { computeSharePeriod, type SharePeriod } from './shareWindow.js'
import { computeReceived, createTeamEntry, updateReceived, updateTeam, type TeamEntry } from './teamEntry.js'

/** Resource time received by each team in the period, handed over to the next holder. */
export interface ShareUsage {
  readonly periodEndMs: number
  readonly teams: readonly { readonly team: string, readonly received: Resources, readonly forfeitedS: number }[]
}

export interface TeamRegistry {
  /** Total capacity of the cell's workers; updated in place by the scheduler. */
  readonly capacity: Amounts
  setManifest: (manifest: Manifest) => void
  /** Returns the team; adds it without weight if it is missing from the manifest. */
  getTeam: (name: string) => TeamEntry
  listTeams: () => readonly TeamEntry[]
  /** Begins a new period, with no resource time received, when `wallMs` lies outside of the current one. */
  updatePeriod: (nowMs: number, wallMs: number) => void
  /** Accumulates the received resource time of all teams; called before and after a change of capacity. */
  updateAllReceived: () => void
  /** Limits the credit that a team has accumulated while it had nothing to run. */
  clampCredit: (team: TeamEntry) => void
  readNowMs: () => number
  setNowMs: (nowMs: number) => void
  readShareUsage: () => ShareUsage
  setShareUsage: (usage: ShareUsage) => void
}

/** Fraction of the period's capacity that a team may claim later as credit for idle time. */
const MAX_CREDIT_FRACTION = 0.5

/** Creates an empty registry. */
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
    const teamsByName = new Map(next.teams.map((team) => [team.name, team]))
    for (const name of teamsByName.keys()) getTeam(name)
    for (const entry of list) updateTeam(entry, teamsByName.get(entry.name))
  }

  const updateAllReceived = (): void => {
    for (const team of list) updateReceived(team, capacity, nowMs)
  }

  const updatePeriod = (now: number, wallMs: number): void => {
    nowMs = Math.max(nowMs, now)
    if (!manifest || (period && wallMs < period.endMs && wallMs >= period.startMs)) return
    const next = computeSharePeriod(manifest.shareWindow, wallMs)
    const isNewPeriod = period !== undefined && next.endMs !== period.endMs
    period = next
    updateAllReceived()
    if (!isNewPeriod) return
    for (const team of list) {
      Object.assign(team.received, createAmounts())
      team.forfeitedS = 0
    }
  }

  const clampCredit = (team: TeamEntry): void => {
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
    const creditS = MAX_CREDIT_FRACTION * (period.endMs - period.startMs) / 1000 / (weights + team.weight)
    const minOrder = received / weights - creditS
    const excessCreditS = minOrder * team.weight - computeReceived(team)
    team.forfeitedS = Math.max(team.forfeitedS, excessCreditS)
  }

  return {
    capacity,
    setManifest,
    getTeam,
    listTeams: () => list,
    updatePeriod,
    updateAllReceived,
    clampCredit,
    readNowMs: () => nowMs,
    setNowMs: (now) => { nowMs = Math.max(nowMs, now) },
    readShareUsage: () => {
      updateAllReceived()
      return {
        periodEndMs: period?.endMs ?? 0,
        teams: list.map(({ name, received, forfeitedS }) => ({ team: name, received: { ...received }, forfeitedS }))
      }
    },
    setShareUsage: (usage) => {
      if (!period || usage.periodEndMs !== period.endMs) return
      for (const { team, received, forfeitedS } of usage.teams) {
        const entry = getTeam(team)
        Object.assign(entry.received, received)
        entry.forfeitedS = forfeitedS
      }
    }
  }
}
