/** Reports the resource time that each team received in the share window against its entitlement. */
import type { CellState } from '../job/cellState.js'
import type { TeamShare } from '../job/cellScheduler.js'
import { COMPONENTS, computeDominantComponent, toResources } from '../vm/amounts.js'
import { computeReceived, computeRunningShare, type TeamEntry } from './teamEntry.js'

/** Demand and entitlement of a team in the window, in seconds of the cell's total capacity. */
interface TeamDemand {
  readonly team: TeamEntry
  readonly demandS: number
  entitledS: number
}

/** Lists the shares of all teams in the manifest. */
export function listShares (state: CellState): TeamShare[] {
  state.teams.updateAllReceived()
  const demands: TeamDemand[] = []
  for (const team of state.teams.listTeams()) {
    if (team.weight > 0) demands.push({ team, demandS: estimateDemand(state, team), entitledS: 0 })
  }
  computeEntitlements(demands)
  return demands.map(({ team, entitledS }) => ({
    team: team.name,
    runningShare: computeRunningShare(team),
    receivedOverEntitled: entitledS > 0 ? computeReceived(team) / entitledS : 1,
    running: toResources(team.running),
    waitingTasks: team.waitingTasks
  }))
}

/** Divides the total received time by weight, max-min fair: entitlement beyond a team's demand goes to the other teams. */
function computeEntitlements (demands: readonly TeamDemand[]): void {
  let remaining = 0
  for (const { team } of demands) remaining += computeReceived(team)
  let unsatisfied = [...demands]
  while (unsatisfied.length > 0 && remaining > 0) {
    let weights = 0
    for (const { team } of unsatisfied) weights += team.weight
    const perWeight = remaining / weights
    const satisfied = unsatisfied.filter((demand) => demand.demandS <= perWeight * demand.team.weight)
    if (satisfied.length === 0) {
      for (const demand of unsatisfied) demand.entitledS = perWeight * demand.team.weight
      return
    }
    for (const demand of satisfied) {
      demand.entitledS = demand.demandS
      remaining -= demand.demandS
    }
    unsatisfied = unsatisfied.filter((demand) => !satisfied.includes(demand))
  }
}

/** Estimates a team's demand: resource time received plus the need of its waiting tasks, in seconds of the cell's total capacity. */
function estimateDemand (state: CellState, team: TeamEntry): number {
  const demand = { ...team.received }
  const { capacity } = state.teams
  for (const lane of team.lanes.values()) {
    for (const job of lane.jobs) {
      const seconds = job.queued.length * state.estimates.estimateRunTime(job) / 1000
      for (const component of COMPONENTS) {
        const need = lane.shape.need[component]
        if (need > 0 && capacity[component] > 0) demand[component] += seconds * need / capacity[component]
      }
    }
  }
  return computeDominantComponent(demand)
}
