/** Whose turn it is: the team furthest behind its share, and its oldest lane that may start something. */
import { computeTeamOrder, hasCeilingRoom, type TeamEntry } from '../team/teamEntry.js'
import type { CellState } from './cellState.js'
import type { JobEntry } from './jobEntry.js'
import { isFillerJob } from './placement.js'
import { isBefore, type Lane } from './lane.js'

/** Teams with waiting work in the order of their turns. */
export interface Turns {
  /** The lane that starts next; `undefined` when nothing can start. The team's place is found anew on the next call. */
  chooseLane: () => Lane | undefined
}

/** Orders the teams that wait with urgent or with normal work; a binary heap by `computeTeamOrder`. */
export function createTurns (state: CellState, urgent: boolean): Turns {
  const heap: TeamEntry[] = []
  const orders: number[] = []

  const runnable = new Map<TeamEntry, Lane[]>()

  const getRunnable = (team: TeamEntry): Lane[] => {
    const found = runnable.get(team)
    if (found) return found
    const lanes = listRunnable(state, team, urgent)
    runnable.set(team, lanes)
    return lanes
  }

  const updateHeap = (): void => {
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
    updateHeap()
  }

  for (const team of state.teams.listTeams()) {
    if (hasWaiting(team, urgent)) addTeam(team, computeTeamOrder(team, state.nowMs))
  }

  let last: TeamEntry | undefined
  return {
    chooseLane: () => {
      if (last && heap[0] === last) {
        orders[0] = computeTeamOrder(last, state.nowMs)
        updateHeap()
      }
      while (heap.length > 0) {
        const team = heap[0]!
        const lane = findOldest(state, getRunnable(team))
        last = team
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

/** The lane with the oldest job; lanes that have become unable to start leave the list, since room only shrinks in a round. */
function findOldest (state: CellState, lanes: Lane[]): Lane | undefined {
  let oldest: Lane | undefined
  for (let position = lanes.length - 1; position >= 0; position--) {
    const lane = lanes[position]!
    if (lane.jobs.length === 0 || !isRunnable(state, lane)) {
      lanes[position] = lanes.at(-1)!
      lanes.pop()
    } else if (!oldest || isBefore(lane.jobs[0]!, oldest.jobs[0]!)) oldest = lane
  }
  return oldest
}

function isRunnable (state: CellState, lane: Lane): boolean {
  if (lane.ceilingTriedAt === lane.team.headroomVersion || lane.retryAtMs > state.nowMs) return false
  if (lane.gang) return lane.jobs[0]!.live === 0
  if (lane.urgent) return findUnreserved(lane) !== undefined
  if (!lane.shape.blocked) return true
  return state.reservations.size > 0 && canTryBackfill(state, lane)
}

function canTryBackfill (state: CellState, lane: Lane): boolean {
  if (lane.besideTriedAt !== lane.shape.besideVersion) return true
  if (lane.withinTriedAt === lane.shape.withinVersion) return false
  const job = lane.jobs[0]!
  if (isFillerJob(job)) return true
  return state.nowMs + state.estimates.estimateRunTime(job) <= state.latestDueMs
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
  lane.ceilingTriedAt = lane.team.headroomVersion
  return false
}
