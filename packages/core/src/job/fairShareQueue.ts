/** Fair-share queue: chooses the team furthest behind its share, and that team's oldest runnable lane. */
import { computeTeamOrder, hasCeilingRoom, type TeamEntry } from '../team/teamEntry.js'
import type { CellState } from './cellState.js'
import type { JobEntry } from './jobEntry.js'
import { isFillerJob } from './placement.js'
import { isAcceptedBefore, type Lane } from './lane.js'

/** Teams with waiting work in fair-share order. */
export interface FairShareQueue {
  /** Chooses the lane to start next; `undefined` if none can start. The chosen team's order is recomputed on the next call. */
  chooseLane: () => Lane | undefined
}

/** Creates a queue of the teams with urgent, or with normal, waiting work: a binary heap ordered by `computeTeamOrder`. */
export function createFairShareQueue (state: CellState, urgent: boolean): FairShareQueue {
  const heap: TeamEntry[] = []
  const orders: number[] = []

  const runnableLanes = new Map<TeamEntry, Lane[]>()

  const getRunnable = (team: TeamEntry): Lane[] => {
    const found = runnableLanes.get(team)
    if (found) return found
    const lanes = listRunnable(state, team, urgent)
    runnableLanes.set(team, lanes)
    return lanes
  }

  const moveRootDown = (): void => {
    let parent = 0
    const team = heap[0]!
    const order = orders[0]!
    for (;;) {
      let child = 2 * parent + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && orders[child + 1]! < orders[child]!) child += 1
      if (orders[child]! >= order) break
      heap[parent] = heap[child]!
      orders[parent] = orders[child]!
      parent = child
    }
    heap[parent] = team
    orders[parent] = order
  }

  const addTeam = (team: TeamEntry, order: number): void => {
    let child = heap.length
    heap.push(team)
    orders.push(order)
    while (child > 0) {
      const parent = (child - 1) >> 1
      if (orders[parent]! <= order) break
      heap[child] = heap[parent]!
      orders[child] = orders[parent]!
      child = parent
    }
    heap[child] = team
    orders[child] = order
  }

  const removeFirst = (): void => {
    const team = heap.pop()!
    const order = orders.pop()!
    if (heap.length === 0) return
    heap[0] = team
    orders[0] = order
    moveRootDown()
  }

  for (const team of state.teams.listTeams()) {
    if (hasWaiting(team, urgent)) addTeam(team, computeTeamOrder(team, state.nowMs))
  }

  let lastTeam: TeamEntry | undefined
  return {
    chooseLane: () => {
      if (lastTeam && heap[0] === lastTeam) {
        orders[0] = computeTeamOrder(lastTeam, state.nowMs)
        moveRootDown()
      }
      while (heap.length > 0) {
        const team = heap[0]!
        const lane = findOldestLane(state, getRunnable(team))
        lastTeam = team
        if (lane) return lane
        removeFirst()
      }
      return undefined
    }
  }
}

function hasWaiting (team: TeamEntry, urgent: boolean): boolean {
  if (team.weight === 0) return false
  return (urgent ? team.waitingUrgent : team.waitingTasks - team.waitingUrgent) > 0
}

function listRunnable (state: CellState, team: TeamEntry, urgent: boolean): Lane[] {
  const lanes: Lane[] = []
  for (const lane of team.lanes.values()) {
    if (lane.urgent === urgent && isRunnable(state, lane)) lanes.push(lane)
  }
  return lanes
}

/** Finds the lane with the oldest job; removes lanes that cannot start any more, since free room only shrinks within a round. */
function findOldestLane (state: CellState, lanes: Lane[]): Lane | undefined {
  let oldest: Lane | undefined
  for (let position = lanes.length - 1; position >= 0; position--) {
    const lane = lanes[position]!
    if (lane.jobs.length === 0 || !isRunnable(state, lane)) {
      lanes[position] = lanes.at(-1)!
      lanes.pop()
    } else if (!oldest || isAcceptedBefore(lane.jobs[0]!, oldest.jobs[0]!)) oldest = lane
  }
  return oldest
}

function isRunnable (state: CellState, lane: Lane): boolean {
  if (lane.ceilingRefusalVersion === lane.team.headroomVersion || lane.retryAtMs > state.nowMs) return false
  if (lane.gang) return lane.jobs[0]!.live === 0
  if (lane.urgent) return findUnreservedJob(lane) !== undefined
  if (!lane.shape.blocked) return true
  return state.reservations.size > 0 && canTryBackfill(state, lane)
}

function canTryBackfill (state: CellState, lane: Lane): boolean {
  if (lane.triedUnreservedRoomVersion !== lane.shape.unreservedRoomVersion) return true
  if (lane.triedReservedRoomVersion === lane.shape.reservedRoomVersion) return false
  const job = lane.jobs[0]!
  if (isFillerJob(job)) return true
  return state.nowMs + state.estimates.estimateRunTime(job) <= state.latestFreeAtMs
}

/** Finds the first job of a lane with more queued tasks than reservations. */
export function findUnreservedJob (lane: Lane): JobEntry | undefined {
  for (const job of lane.jobs) {
    if (job.queued.length > job.reservations.size) return job
  }
  return undefined
}

/** Checks the ceiling for the lane's next start; records a refusal until resources are released or the ceiling changes. */
export function checkCeiling (lane: Lane, count: number): boolean {
  if (hasCeilingRoom(lane.team, lane.shape.need, count)) return true
  lane.ceilingRefusalVersion = lane.team.headroomVersion
  return false
}
