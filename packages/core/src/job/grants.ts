/** Grants reservations to lanes that have waited long for room, so that nothing feasible waits for ever. */
import { computeTeamOrder, hasCeilingRoom } from '../team/teamEntry.js'
import type { CellState } from './cellState.js'
import type { JobEntry } from './jobEntry.js'
import type { Lane } from './lane.js'
import { reserveForShare } from './preemption.js'
import { addReservation, buildReservationPlan } from './reservation.js'

const GRANT_INTERVAL_MS = 1000
/** Lanes tried at each interval, and the time until one is tried again. */
const TRIES = 4
const GRANT_RETRY_MS = 5000
/** Reservations that wait for running work to end, as a part of the workers and within bounds. */
const RESERVATIONS_PER_WORKER = 0.1
const LEAST_RESERVATIONS = 2
const MOST_RESERVATIONS = 32
/** Wait for room after which a gang gets a reservation. */
const GANG_WAIT_MS = 5000
/** Wait for room after which a single task gets a reservation: a part of its run time, within bounds. */
const SINGLE_WAIT_PART = 1 / 6
const SHORTEST_SINGLE_WAIT_MS = 5000
const LONGEST_SINGLE_WAIT_MS = 60_000
/** Wait after which lanes go by age alone. */
const OVERDUE_WAIT_MS = 30 * 60_000

/** Grants at most one reservation, at a fixed interval. */
export function grantReservation (state: CellState): void {
  if (state.nowMs < state.nextGrantMs) return
  state.nextGrantMs = state.nowMs + GRANT_INTERVAL_MS
  for (let tries = 0; tries < TRIES; tries++) {
    const lane = chooseWaitingLane(state)
    if (!lane || startFromLane(state, lane)) return
    lane.grantRetryAtMs = state.nowMs + GRANT_RETRY_MS
  }
}

function startFromLane (state: CellState, lane: Lane): boolean {
  const job = lane.jobs[0]!
  if (reserveForShare(state, job)) return true
  if (countGranted(state) >= computeMostReservations(state)) return false
  const plan = buildReservationPlan(state, job, lane.gang ? job.queued.length : 1)
  if (plan) addReservation(state, job, plan, false)
  return plan !== undefined
}

function computeMostReservations (state: CellState): number {
  const wanted = Math.round(state.workers.countWorkers() * RESERVATIONS_PER_WORKER)
  return Math.max(LEAST_RESERVATIONS, Math.min(MOST_RESERVATIONS, wanted))
}

/** Reservations that wait for running work to end by itself. */
function countGranted (state: CellState): number {
  let granted = 0
  for (const reservation of state.reservations) granted += reservation.urgent ? 0 : 1
  return granted
}

/** Lanes that waited longest go first once overdue, else those of the team furthest behind. */
function chooseWaitingLane (state: CellState): Lane | undefined {
  let best: Lane | undefined
  let bestRank = Infinity
  for (const team of state.teams.listTeams()) {
    if (team.waitingTasks === 0 || team.weight === 0) continue
    const order = computeTeamOrder(team, state.nowMs)
    for (const lane of team.lanes.values()) {
      if (!isWaitingForRoom(state, lane)) continue
      const waitedMs = state.nowMs - lane.blockedSinceMs
      const rank = waitedMs > OVERDUE_WAIT_MS ? -waitedMs : order
      if (rank >= bestRank) continue
      best = lane
      bestRank = rank
    }
  }
  return best
}

function isWaitingForRoom (state: CellState, lane: Lane): boolean {
  if (lane.urgent || lane.grantRetryAtMs > state.nowMs || lane.jobs[0]!.reservations.size > 0) return false
  const job = lane.jobs[0]!
  const waitMs = lane.gang ? GANG_WAIT_MS : computeSingleWait(state, job)
  if (state.nowMs - lane.blockedSinceMs < waitMs) return false
  if (lane.gang && job.live > 0) return false
  return hasCeilingRoom(lane.team, lane.shape.need, lane.gang ? job.queued.length : 1)
}

function computeSingleWait (state: CellState, job: JobEntry): number {
  const waitMs = state.estimates.estimateRunTime(job) * SINGLE_WAIT_PART
  return Math.min(LONGEST_SINGLE_WAIT_MS, Math.max(SHORTEST_SINGLE_WAIT_MS, waitMs))
}
