/** Queue of one service at one owner: weighted deficit round robin over teams. */
import { ALLOTMENT_WAIT_PENALTY_MS } from './constants.js'

/** A queued request. */
export interface QueuedRequest<T> {
  readonly id: string
  readonly team: string
  /** Weight of the team's fair share. */
  readonly weight: number
  /** Caller's deadline in monotonic time, in milliseconds. */
  readonly deadlineMs: number
  /** Estimated service time, in milliseconds; above 0. */
  readonly costMs: number
  readonly value: T
}

/** Capacity that wait estimates are based on. */
export interface QueueCapacity {
  /** Slots available to the queue. */
  readonly slots: number
  /** Slots that are free now. */
  readonly freeSlots: number
  /** Size of the team's allotment at this entry. */
  readonly countAllotted: (team: string) => number
}

/** Requests that wait for a slot. */
export interface RequestQueue<T> {
  addRequest: (request: QueuedRequest<T>) => void
  removeRequest: (id: string) => QueuedRequest<T> | undefined
  /** Removes the next request in round-robin order among the teams that may start one. */
  takeNext: (canStart: (team: string) => boolean) => QueuedRequest<T> | undefined
  /** Removes the requests that can no longer complete by their deadline. */
  takeLate: (nowMs: number, capacity: QueueCapacity) => QueuedRequest<T>[]
  /** Estimates the wait of a request that the team adds now, in milliseconds. */
  estimateWaitMs: (team: string, weight: number, costMs: number, capacity: QueueCapacity) => number
  countQueued: () => number
  countOfTeam: (team: string) => number
  listTeams: () => string[]
}

interface TeamQueue<T> {
  readonly team: string
  weight: number
  deficitMs: number
  queuedMs: number
  readonly requests: QueuedRequest<T>[]
}

/** Creates an empty queue. */
export function createRequestQueue<T> (): RequestQueue<T> {
  const teams = new Map<string, TeamQueue<T>>()
  const teamByRequest = new Map<string, string>()
  let ring: TeamQueue<T>[] = []
  let cursor = 0

  const removeTeam = (queue: TeamQueue<T>): void => {
    const index = ring.indexOf(queue)
    ring = ring.filter((other) => other !== queue)
    if (index < cursor) cursor -= 1
    if (cursor >= ring.length) cursor = 0
    teams.delete(queue.team)
  }

  const removeAt = (queue: TeamQueue<T>, index: number): QueuedRequest<T> => {
    const request = queue.requests.splice(index, 1)[0]!
    queue.queuedMs -= request.costMs
    teamByRequest.delete(request.id)
    if (queue.requests.length === 0) removeTeam(queue)
    return request
  }

  const addRequest = (request: QueuedRequest<T>): void => {
    let queue = teams.get(request.team)
    if (queue === undefined) {
      queue = { team: request.team, weight: request.weight, deficitMs: 0, queuedMs: 0, requests: [] }
      teams.set(request.team, queue)
      ring.push(queue)
    }
    queue.weight = request.weight
    queue.queuedMs += request.costMs
    queue.requests.push(request)
    teamByRequest.set(request.id, request.team)
  }

  /** Number of rounds until the team's deficit counter covers its first request. */
  const countRounds = (queue: TeamQueue<T>): number =>
    Math.max(0, (queue.requests[0]!.costMs - queue.deficitMs) / queue.weight)

  const takeNext = (canStart: (team: string) => boolean): QueuedRequest<T> | undefined => {
    const eligible: { queue: TeamQueue<T>, index: number }[] = []
    let best: { queue: TeamQueue<T>, index: number, rounds: number } | undefined
    for (let step = 0; step < ring.length; step += 1) {
      const index = (cursor + step) % ring.length
      const queue = ring[index]!
      if (!canStart(queue.team)) continue
      eligible.push({ queue, index })
      const rounds = countRounds(queue)
      if (best === undefined || rounds < best.rounds) best = { queue, index, rounds }
    }
    if (best === undefined) return undefined
    for (const { queue } of eligible) queue.deficitMs += best.rounds * queue.weight
    cursor = best.index
    best.queue.deficitMs -= best.queue.requests[0]!.costMs
    return removeAt(best.queue, 0)
  }

  /** Estimates the wait of a request behind `ownMs` of work of its own team, in milliseconds. */
  const estimateStartMs = (
    team: string, weight: number, ownMs: number, costMs: number, capacity: QueueCapacity
  ): number => {
    let aheadMs = ownMs
    for (const other of ring) {
      if (other.team === team) continue
      aheadMs += Math.min(other.queuedMs, (ownMs + costMs) * other.weight / weight)
    }
    const allotted = capacity.countAllotted(team)
    const allotmentWaitMs = allotted === 0 ? ALLOTMENT_WAIT_PENALTY_MS : 0
    const ownLimitMs = ownMs / Math.max(1, allotted) + allotmentWaitMs
    if (capacity.slots === 0) return Infinity
    const busyMs = capacity.freeSlots > 0 ? 0 : costMs / capacity.slots
    return Math.max(ownLimitMs, (aheadMs + busyMs * capacity.slots) / capacity.slots)
  }

  const takeLateOf = (queue: TeamQueue<T>, nowMs: number, capacity: QueueCapacity): QueuedRequest<T>[] => {
    const late: QueuedRequest<T>[] = []
    let ownMs = 0
    for (const request of [...queue.requests]) {
      const waitMs = capacity.freeSlots > 0 && ownMs === 0
        ? 0
        : estimateStartMs(queue.team, queue.weight, ownMs, request.costMs, capacity)
      const neededMs = waitMs === 0 ? 0 : waitMs + request.costMs
      if (nowMs + neededMs >= request.deadlineMs) late.push(removeAt(queue, queue.requests.indexOf(request)))
      else ownMs += request.costMs
    }
    return late
  }

  return {
    addRequest,
    takeNext,
    removeRequest: (id) => {
      const queue = teams.get(teamByRequest.get(id) ?? '')
      if (queue === undefined) return undefined
      return removeAt(queue, queue.requests.findIndex((request) => request.id === id))
    },
    takeLate: (nowMs, capacity) => [...ring].flatMap((queue) => takeLateOf(queue, nowMs, capacity)),
    estimateWaitMs: (team, weight, costMs, capacity) => {
      const ownMs = teams.get(team)?.queuedMs ?? 0
      const isFree = capacity.freeSlots > teamByRequest.size && capacity.countAllotted(team) > 0
      return isFree ? 0 : estimateStartMs(team, weight, ownMs, costMs, capacity)
    },
    countQueued: () => teamByRequest.size,
    countOfTeam: (team) => teams.get(team)?.requests.length ?? 0,
    listTeams: () => [...teams.keys()]
  }
}
