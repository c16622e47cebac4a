/** Grants reservations to lanes that have waited long for room, so that no feasible job starves. */
import { computeTeamOrder, hasCeilingRoom } from '../team/teamEntry.js'
import type { CellState } from './cellState.js'
import type { JobEntry } from './jobEntry.js'
import type { Lane } from './lane.js'
import { reserveForShare } from './preemption.js'
import { addReservation, buildReservationPlan } from './reservation.js'

const RESERVATION_INTERVAL_MS = 1000
/** Lanes tried per interval, and the delay until a refused lane is tried again. */
const MAX_LANES_PER_INTERVAL = 4
const LANE_RETRY_MS = 5000
/** Limit of non-urgent reservations, as a fraction of the number of workers within bounds; preemption for shares is exempt, but its reservations count. */
const RESERVATIONS_PER_WORKER = 0.1
const MIN_RESERVATIONS = 2
const MAX_RESERVATIONS = 32
/** Wait after which a gang is due for a reservation. */
const GANG_RESERVATION_WAIT_MS = 5000
/** Wait after which a task outside of a gang is due for a reservation: a fraction of its estimated run time, within bounds. */
const TASK_RESERVATION_WAIT_RATIO = 1 / 6
const MIN_TASK_RESERVATION_WAIT_MS = 5000
const MAX_TASK_RESERVATION_WAIT_MS = 60_000
/** Wait after which a lane precedes all others, the longest wait first. */
const STARVATION_WAIT_MS = 30 * 60_000

/** Grants at most one reservation per interval. */
export function grantReservation (state: CellState): void {
  if (state.nowMs < state.nextReservationMs) return
  state.nextReservationMs = state.nowMs + RESERVATION_INTERVAL_MS
  for (let tries = 0; tries < MAX_LANES_PER_INTERVAL; tries++) {
    const lane = chooseDueLane(state)
    if (!lane || reserveForLane(state, lane)) return
    lane.reservationRetryAtMs = state.nowMs + LANE_RETRY_MS
  }
}

function reserveForLane (state: CellState, lane: Lane): boolean {
  const job = lane.jobs[0]!
  if (reserveForShare(state, job)) return true
  if (countNonUrgentReservations(state) >= computeMaxReservations(state)) return false
  const plan = buildReservationPlan(state, job, lane.gang ? job.queued.length : 1)
  if (plan) addReservation(state, job, plan, false)
  return plan !== undefined
}

function computeMaxReservations (state: CellState): number {
  const limit = Math.round(state.workers.countWorkers() * RESERVATIONS_PER_WORKER)
  return Math.max(MIN_RESERVATIONS, Math.min(MAX_RESERVATIONS, limit))
}

/** Counts the reservations for non-urgent work. */
function countNonUrgentReservations (state: CellState): number {
  let count = 0
  for (const reservation of state.reservations) count += reservation.urgent ? 0 : 1
  return count
}

/** Chooses the longest-waiting lane past `STARVATION_WAIT_MS`, or else a lane of the team furthest behind its share. */
function chooseDueLane (state: CellState): Lane | undefined {
  let best: Lane | undefined
  let bestRank = Infinity
  for (const team of state.teams.listTeams()) {
    if (team.waitingTasks === 0 || team.weight === 0) continue
    const order = computeTeamOrder(team, state.nowMs)
    for (const lane of team.lanes.values()) {
      if (!isDueForReservation(state, lane)) continue
      const waitedMs = state.nowMs - lane.blockedSinceMs
      const rank = waitedMs > STARVATION_WAIT_MS ? -waitedMs : order
      if (rank >= bestRank) continue
      best = lane
      bestRank = rank
    }
  }
  return best
}

function isDueForReservation (state: CellState, lane: Lane): boolean {
  if (lane.urgent || lane.reservationRetryAtMs > state.nowMs || lane.jobs[0]!.reservations.size > 0) return false
  const job = lane.jobs[0]!
  const waitMs = lane.gang ? GANG_RESERVATION_WAIT_MS : computeTaskReservationWait(state, job)
  if (state.nowMs - lane.blockedSinceMs < waitMs) return false
  if (lane.gang && job.live > 0) return false
  return hasCeilingRoom(lane.team, lane.shape.need, lane.gang ? job.queued.length : 1)
}

function computeTaskReservationWait (state: CellState, job: JobEntry): number {
  const waitMs = state.estimates.estimateRunTime(job) * TASK_RESERVATION_WAIT_RATIO
  return Math.min(MAX_TASK_RESERVATION_WAIT_MS, Math.max(MIN_TASK_RESERVATION_WAIT_MS, waitMs))
}
