/** How near each team is to its part of the cluster in the share window. */
import type { CellState } from '../job/cellState.js'
import type { TeamShare } from '../job/cellScheduler.js'
import { COMPONENTS, computeDominant, formatAmounts } from '../vm/amounts.js'
import { computeReceived, computeRunningPart, type TeamEntry } from './teamEntry.js'

/** A team's demand in the window, in seconds of the whole cluster. */
interface Demand {
  readonly team: TeamEntry
  readonly askedS: number
  entitledS: number
}

/** Lists the shares of all teams that the manifest names. */
export function listShares (state: CellState): TeamShare[] {
  state.teams.updateAll()
  const demands: Demand[] = []
  for (const team of state.teams.listTeams()) {
    if (team.weight > 0) demands.push({ team, askedS: estimateAsked(state, team), entitledS: 0 })
  }
  computeEntitled(demands)
  return demands.map(({ team, entitledS }) => ({
    team: team.name,
    runningShare: computeRunningPart(team),
    receivedOverEntitled: entitledS > 0 ? computeReceived(team) / entitledS : 1,
    running: formatAmounts(team.running),
    waitingTasks: team.waitingTasks
  }))
}

/** Splits what all teams received by weight; what a team did not ask for goes to the others. */
function computeEntitled (demands: readonly Demand[]): void {
  let left = 0
  for (const { team } of demands) left += computeReceived(team)
  let open = [...demands]
  while (open.length > 0 && left > 0) {
    let weights = 0
    for (const { team } of open) weights += team.weight
    const level = left / weights
    const met = open.filter((demand) => demand.askedS <= level * demand.team.weight)
    if (met.length === 0) {
      for (const demand of open) demand.entitledS = level * demand.team.weight
      return
    }
    for (const demand of met) {
      demand.entitledS = demand.askedS
      left -= demand.askedS
    }
    open = open.filter((demand) => !met.includes(demand))
  }
}

/** What the team received and what its waiting tasks will need, in seconds of the whole cell. */
function estimateAsked (state: CellState, team: TeamEntry): number {
  const asked = { ...team.received }
  const { capacity } = state.teams
  for (const lane of team.lanes.values()) {
    for (const job of lane.jobs) {
      const seconds = job.queued.length * state.estimates.estimateRunTime(job) / 1000
      for (const component of COMPONENTS) {
        const need = lane.shape.need[component]
        if (need > 0 && capacity[component] > 0) asked[component] += seconds * need / capacity[component]
      }
    }
  }
  return computeDominant(asked)
}
