/** Starts the waiting tasks of lanes (single tasks, urgent tasks and gangs) and the tasks whose reserved room is free. */
import { hasCeilingRoom } from '../team/teamEntry.js'
import { addAmounts, countFits } from '../vm/amounts.js'
import type { WorkerEntry } from '../vm/workerEntry.js'
import { startAttempt } from './attempts.js'
import type { CellState } from './cellState.js'
import type { JobEntry, TaskEntry } from './jobEntry.js'
import type { Lane } from './lane.js'
import { chooseBackfill, chooseUnreservedWorker, type Placement } from './placement.js'
import { reserveForUrgent, reserveForUrgentGang } from './preemption.js'
import { isReady, releaseReservation, releaseReservations, stopFillers, type Reservation } from './reservation.js'
import { checkCeiling, findUnreservedJob } from './fairShareQueue.js'

const MIN_GANG_RETRY_MS = 500
const MAX_GANG_RETRY_MS = 5000
/** Backoff of a blocked gang, as a fraction of the time waited so far. */
const GANG_RETRY_WAIT_RATIO = 0.05
const URGENT_RETRY_MS = 250
/** Time after which an urgent reservation whose room is not free is replaced by one on another worker. */
const URGENT_RESERVATION_TIMEOUT_MS = 1500

/** Starts the lane's next task or gang, or records that it is blocked. */
export function startLane (state: CellState, lane: Lane): void {
  if (lane.gang) startGang(state, lane)
  else if (lane.urgent) startUrgent(state, lane)
  else startSingle(state, lane)
}

function startSingle (state: CellState, lane: Lane): void {
  const job = lane.jobs[0]!
  if (!checkCeiling(lane, 1)) return
  const placement = choosePlacement(state, lane, job)
  if (!placement) {
    lane.blockedSinceMs = Math.min(lane.blockedSinceMs, state.nowMs)
    return
  }
  lane.blockedSinceMs = Infinity
  startOnPlacement(state, getNextQueuedTask(job), placement)
}

function choosePlacement (state: CellState, lane: Lane, job: JobEntry): Placement | undefined {
  const { shape } = lane
  const placement = shape.blocked ? undefined : chooseUnreservedWorker(state, job)
  if (placement) return placement
  shape.blocked = true
  const backfill = state.reservations.size > 0 ? chooseBackfill(state, job) : undefined
  if (!backfill) {
    lane.triedUnreservedRoomVersion = shape.unreservedRoomVersion
    lane.triedReservedRoomVersion = shape.reservedRoomVersion
  }
  return backfill
}

function startUrgent (state: CellState, lane: Lane): void {
  const job = findUnreservedJob(lane)!
  const reserved = job.reservations.size
  if (reserved > 0 && !hasCeilingRoom(job.team, job.shape.need, 1 + reserved)) {
    // Retried by time: a ceiling refusal lasts until a charge is released or the ceiling changes, but a reservation may end without either.
    lane.retryAtMs = state.nowMs + URGENT_RETRY_MS
    return
  }
  if (reserved === 0 && !checkCeiling(lane, 1)) return
  const placement = chooseUnreservedWorker(state, job) ?? chooseBackfill(state, job)
  if (placement) startOnPlacement(state, getNextQueuedTask(job), placement)
  else if (!reserveForUrgent(state, job, undefined)) lane.retryAtMs = state.nowMs + URGENT_RETRY_MS
}

function startGang (state: CellState, lane: Lane): void {
  const job = lane.jobs[0]!
  if (!checkCeiling(lane, job.queued.length)) return
  const workers = chooseGangWorkers(state, job)
  if (workers) {
    lane.blockedSinceMs = Infinity
    releaseReservations(state, job)
    startMembers(state, job, workers, 'room for all members at once')
    return
  }
  lane.blockedSinceMs = Math.min(lane.blockedSinceMs, state.nowMs)
  const waitedMs = state.nowMs - lane.blockedSinceMs
  lane.retryAtMs = state.nowMs + Math.min(MAX_GANG_RETRY_MS, MIN_GANG_RETRY_MS + waitedMs * GANG_RETRY_WAIT_RATIO)
  if (lane.urgent && job.reservations.size === 0) reserveForUrgentGang(state, job)
}

/** Chooses a worker for each queued member of a gang, or returns `undefined`; the room taken during the search is restored. */
function chooseGangWorkers (state: CellState, job: JobEntry): WorkerEntry[] | undefined {
  if (countFittingMembers(state, job) < job.queued.length) return undefined
  const chosen: WorkerEntry[] = []
  while (chosen.length < job.queued.length) {
    const placement = chooseUnreservedWorker(state, job) ?? chooseBackfill(state, job)
    if (!placement) break
    addAmounts(placement.worker.free, job.shape.need, -1)
    state.workers.updateWorker(placement.worker, false)
    chosen.push(placement.worker)
  }
  for (const worker of chosen) {
    addAmounts(worker.free, job.shape.need, 1)
    state.workers.updateWorker(worker, false)
  }
  return chosen.length === job.queued.length ? chosen : undefined
}

/** Computes an upper bound of the number of members that fit now; stops counting once it reaches all of them. */
function countFittingMembers (state: CellState, job: JobEntry): number {
  const { need, query, pool } = job.shape
  const needed = job.queued.length
  let members = 0
  for (const index of [state.workers.unreserved, state.workers.reserved]) {
    for (const accelerated of [false, true]) {
      for (const bucket of index.listBuckets(pool, accelerated)) {
        if (members >= needed) return members
        index.findCandidates(bucket, query, (worker) => {
          members += countFits(worker.free, need, needed)
          return members >= needed
        })
      }
    }
  }
  return members
}

function startOnPlacement (state: CellState, task: TaskEntry, placement: Placement): void {
  startAttempt(state, task, placement.worker, placement.reason, placement.rejected)
  task.filler = placement.filler ?? false
}

function startMembers (state: CellState, job: JobEntry, workers: readonly WorkerEntry[], reason: string): void {
  for (const worker of workers) startAttempt(state, getNextQueuedTask(job), worker, reason, [])
}

function getNextQueuedTask (job: JobEntry): TaskEntry {
  return job.tasks[job.queued.at(-1)!]!
}

/** Starts the tasks of reservations whose room is free. */
export function startReserved (state: CellState): void {
  for (const reservation of [...state.reservations]) {
    const { job } = reservation
    const count = countPlanned(reservation)
    if (job.row.spec.kind === 'gang' && (count !== job.queued.length || job.live > 0)) {
      releaseReservation(state, reservation)
      continue
    }
    if (!hasCeilingRoom(job.team, job.shape.need, count)) continue
    if (!isReady(reservation)) {
      stopFillers(state, reservation)
      continue
    }
    releaseReservation(state, reservation)
    startMembers(state, job, listPlanned(reservation), 'reserved room is free')
    if (job.lane) job.lane.blockedSinceMs = Infinity
  }
}

function countPlanned (reservation: Reservation): number {
  let count = 0
  for (const planned of reservation.workers.values()) count += planned
  return count
}

function listPlanned (reservation: Reservation): WorkerEntry[] {
  const planned: WorkerEntry[] = []
  for (const [worker, count] of reservation.workers) {
    for (let member = 0; member < count; member++) planned.push(worker)
  }
  return planned
}

/** Replaces urgent reservations whose preempted tasks do not stop in time, except those of gangs. */
export function replaceOverdueUrgentReservations (state: CellState): void {
  for (const reservation of [...state.reservations]) {
    if (!reservation.urgent || state.nowMs - reservation.grantedMs < URGENT_RESERVATION_TIMEOUT_MS) continue
    if (reservation.job.row.spec.kind === 'gang' || isReady(reservation)) continue
    const [worker] = reservation.workers.keys()
    releaseReservation(state, reservation)
    reserveForUrgent(state, reservation.job, worker)
  }
}
