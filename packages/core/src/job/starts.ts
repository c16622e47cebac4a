/** Starts what a lane has waiting: single tasks, urgent tasks and gangs. */
import { hasCeilingRoom } from '../team/teamEntry.js'
import { addAmounts, countFits } from '../vm/amounts.js'
import type { WorkerEntry } from '../vm/workerEntry.js'
import { startAttempt } from './attempts.js'
import type { CellState } from './cellState.js'
import type { JobEntry, TaskEntry } from './jobEntry.js'
import type { Lane } from './lane.js'
import { chooseBackfill, chooseOpenWorker, type Placement } from './placement.js'
import { reserveForUrgent, reserveForUrgentGang } from './preemption.js'
import { isReady, releaseReservation, releaseReservations, stopFillers, type Reservation } from './reservation.js'
import { checkCeiling, findUnreserved } from './turns.js'

const GANG_RETRY_MS = 500
const LONGEST_GANG_RETRY_MS = 5000
/** Part of the time waited so far that a gang waits before it is tried again. */
const GANG_RETRY_PART = 0.05
const URGENT_RETRY_MS = 250
/** An urgent task's room that is not free by then is sought elsewhere. */
const URGENT_REPLAN_MS = 1500

/** Starts the lane's next task or gang, or notes why it has to wait. */
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
  startPlaced(state, getNextTask(job), placement)
}

function choosePlacement (state: CellState, lane: Lane, job: JobEntry): Placement | undefined {
  const { shape } = lane
  const placement = shape.blocked ? undefined : chooseOpenWorker(state, job)
  if (placement) return placement
  shape.blocked = true
  const backfill = state.reservations.size > 0 ? chooseBackfill(state, job) : undefined
  if (!backfill) {
    lane.besideTriedAt = shape.besideVersion
    lane.withinTriedAt = shape.withinVersion
  }
  return backfill
}

function startUrgent (state: CellState, lane: Lane): void {
  const job = findUnreserved(lane)!
  const reserved = job.reservations.size
  if (reserved > 0 && !hasCeilingRoom(job.team, job.shape.need, 1 + reserved)) {
    // Not remembered as a refusal: a reservation may end without any charge being released.
    lane.retryAtMs = state.nowMs + URGENT_RETRY_MS
    return
  }
  if (reserved === 0 && !checkCeiling(lane, 1)) return
  const placement = chooseOpenWorker(state, job) ?? chooseBackfill(state, job)
  if (placement) startPlaced(state, getNextTask(job), placement)
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
  lane.retryAtMs = state.nowMs + Math.min(LONGEST_GANG_RETRY_MS, GANG_RETRY_MS + waitedMs * GANG_RETRY_PART)
  if (lane.urgent && job.reservations.size === 0) reserveForUrgentGang(state, job)
}

/** One worker for each queued member, or `undefined`; nothing stays charged. */
function chooseGangWorkers (state: CellState, job: JobEntry): WorkerEntry[] | undefined {
  if (countRoom(state, job) < job.queued.length) return undefined
  const chosen: WorkerEntry[] = []
  while (chosen.length < job.queued.length) {
    const placement = chooseOpenWorker(state, job) ?? chooseBackfill(state, job)
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

/** Upper bound of the members that fit now, counted no further than needed. */
function countRoom (state: CellState, job: JobEntry): number {
  const { need, query, pool } = job.shape
  const wanted = job.queued.length
  let room = 0
  for (const index of [state.workers.unreserved, state.workers.reserved]) {
    for (const accelerated of [false, true]) {
      for (const partition of index.listBuckets(pool, accelerated)) {
        if (room >= wanted) return room
        index.findCandidates(partition, query, (worker) => {
          room += countFits(worker.free, need, wanted)
          return room >= wanted
        })
      }
    }
  }
  return room
}

function startPlaced (state: CellState, task: TaskEntry, placement: Placement): void {
  startAttempt(state, task, placement.worker, placement.reason, placement.losers)
  task.filler = placement.filler ?? false
}

function startMembers (state: CellState, job: JobEntry, workers: readonly WorkerEntry[], reason: string): void {
  for (const worker of workers) startAttempt(state, getNextTask(job), worker, reason, [])
}

function getNextTask (job: JobEntry): TaskEntry {
  return job.tasks[job.queued.at(-1)!]!
}

/** Starts what reserved room has come free for. */
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

/** Seeks other room for urgent tasks whose victims do not stop in time. */
export function updateUrgentReservations (state: CellState): void {
  for (const reservation of [...state.reservations]) {
    if (!reservation.urgent || state.nowMs - reservation.grantedMs < URGENT_REPLAN_MS) continue
    if (reservation.job.row.spec.kind === 'gang' || isReady(reservation)) continue
    const [worker] = reservation.workers.keys()
    releaseReservation(state, reservation)
    reserveForUrgent(state, reservation.job, worker)
  }
}
