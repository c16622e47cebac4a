/** Whose turn it is: the team furthest behind its share, and its oldest lane that may start something. */
import { computeTeamOrder, hasCeilingRoom, type TeamEntry } from '../team/teamEntry.js'
import type { CellState } from './cellState.js'
import type { JobEntry } from './jobEntry.js'
import { isBefore, type Lane } from './lane.js'

/** Chooses the lane that starts next; `undefined` when nothing can start. */
export function chooseLane (state: CellState, urgent: boolean): Lane | undefined {
  for (;;) {
    const team = chooseTeam(state, urgent)
    if (!team) return undefined
    const lane = findRunnableLane(state, team, urgent)
    if (lane) return lane
    if (urgent) team.urgentQuietAt = state.changes
    else team.quietAt = state.changes
  }
}

function chooseTeam (state: CellState, urgent: boolean): TeamEntry | undefined {
  let best: TeamEntry | undefined
  let bestOrder = Infinity
  for (const team of state.teams.listTeams()) {
    if (team.weight === 0) continue
    const waiting = urgent ? team.waitingUrgent : team.waitingTasks - team.waitingUrgent
    if (waiting === 0 || state.changes === (urgent ? team.urgentQuietAt : team.quietAt)) continue
    const order = computeTeamOrder(team, state.nowMs)
    if (order >= bestOrder) continue
    best = team
    bestOrder = order
  }
  return best
}

function findRunnableLane (state: CellState, team: TeamEntry, urgent: boolean): Lane | undefined {
  let oldest: Lane | undefined
  for (const lane of team.lanes.values()) {
    if (lane.urgent !== urgent || !isRunnable(state, lane)) continue
    if (!oldest || isBefore(lane.jobs[0]!, oldest.jobs[0]!)) oldest = lane
  }
  return oldest
}

function isRunnable (state: CellState, lane: Lane): boolean {
  if (lane.ceilingTriedAt === lane.team.releases || lane.retryAtMs > state.nowMs) return false
  if (lane.gang) return lane.jobs[0]!.live === 0
  if (lane.urgent) return findUnreserved(lane) !== undefined
  if (!lane.shape.blocked) return true
  return lane.backfillTriedAt !== state.reservationsVersion && state.reservations.size > 0
}

/** The first job of a lane with a queued task that no reservation is held for. */
export function findUnreserved (lane: Lane): JobEntry | undefined {
  for (const job of lane.jobs) {
    if (job.queued.length > job.reservations.size) return job
  }
  return undefined
}

/** Checks the ceiling for the lane's next start and remembers a refusal until charge is released. */
export function checkCeiling (lane: Lane, count: number): boolean {
  if (hasCeilingRoom(lane.team, lane.shape.need, count)) return true
  lane.ceilingTriedAt = lane.team.releases
  return false
}
