/** Reservations of room on workers for tasks that could not be placed: gangs, large tasks and urgent work. */
import { addAmounts, countFits, hasRoom, type Amounts } from '../vm/amounts.js'
import type { WorkerEntry } from '../vm/workerEntry.js'
import { hasCapacityFor, isEligible } from '../vm/workerRegistry.js'
import { stopAttempt } from './attempts.js'
import { unblockBackfill, type CellState } from './cellState.js'
import type { JobEntry, TaskEntry } from './jobEntry.js'

/** Room reserved for one job while other tasks may still use it. */
export interface Reservation {
  readonly job: JobEntry
  readonly urgent: boolean
  /** Number of tasks planned for each worker. */
  readonly workers: ReadonlyMap<WorkerEntry, number>
  /** Monotonic time at which the room is expected to be free; backfill must be expected to end by then. */
  readonly freeAtMs: number
  readonly grantedMs: number
  /** Fillers are being stopped; no further task may use the reserved room. */
  closing: boolean
}

/** Planned workers with the number of tasks for each. */
export interface ReservationPlan {
  readonly workers: Map<WorkerEntry, number>
  readonly freeAtMs: number
}

/** Expected time for an attempt to stop. */
const EXPECTED_STOP_MS = 1000
/** Openings (times at which one more task is expected to fit on a worker) that a plan compares: this many per task, plus a fixed number. */
const OPENINGS_PER_TASK = 3
const EXTRA_OPENINGS = 200
/** Least expected remaining time of an attempt, as a fraction of its run time so far; applies near and beyond the estimate. */
const OVERRUN_FRACTION = 0.25

/** Reserves the planned room. */
export function addReservation (
  state: CellState, job: JobEntry, plan: ReservationPlan, urgent: boolean
): Reservation {
  const reservation: Reservation = {
    job,
    urgent,
    workers: plan.workers,
    freeAtMs: plan.freeAtMs,
    grantedMs: state.nowMs,
    closing: false
  }
  state.reservations.add(reservation)
  state.latestFreeAtMs = Math.max(state.latestFreeAtMs, plan.freeAtMs)
  job.reservations.add(reservation)
  for (const [worker, count] of plan.workers) {
    worker.reservations.set(reservation, count)
    addAmounts(worker.held, job.shape.need, count)
    state.workers.updateWorker(worker, false)
    unblockBackfill(state, worker)
  }
  return reservation
}

/** Releases the reserved room. */
export function releaseReservation (state: CellState, reservation: Reservation): void {
  if (!state.reservations.delete(reservation)) return
  reservation.job.reservations.delete(reservation)
  updateLatestFreeAt(state)
  for (const [worker, count] of reservation.workers) {
    worker.reservations.delete(reservation)
    addAmounts(worker.held, reservation.job.shape.need, -count)
    state.workers.updateWorker(worker, true)
  }
}

function updateLatestFreeAt (state: CellState): void {
  state.latestFreeAtMs = 0
  for (const { freeAtMs } of state.reservations) state.latestFreeAtMs = Math.max(state.latestFreeAtMs, freeAtMs)
}

/** Releases all reservations of a job. */
export function releaseReservations (state: CellState, job: JobEntry): void {
  for (const reservation of [...job.reservations]) releaseReservation(state, reservation)
}

/** Checks whether all reserved room is free and its workers are eligible. */
export function isReady (reservation: Reservation): boolean {
  const { need } = reservation.job.shape
  for (const [worker, count] of reservation.workers) {
    if (!isEligible(worker) || !hasRoom(worker.free, need, count)) return false
  }
  return true
}

/**
 * Plans the workers on which `count` tasks of a job will have room earliest if nothing else starts there.
 *
 * @returns `undefined` if too few tasks are expected to fit: services do not end, and ineligible and reserved workers are skipped
 */
export function buildReservationPlan (state: CellState, job: JobEntry, count: number): ReservationPlan | undefined {
  const candidates = [...state.workers.listWorkers()]
  const offset = state.planOffset % Math.max(1, candidates.length)
  state.planOffset += 1
  const maxOpenings = count * OPENINGS_PER_TASK + EXTRA_OPENINGS
  const openings: { atMs: number, worker: WorkerEntry }[] = []
  for (const worker of [...candidates.slice(offset), ...candidates.slice(0, offset)]) {
    if (openings.length >= maxOpenings) break
    if (worker.reservations.size > 0 || !isEligible(worker) || !hasCapacityFor(worker, job.shape)) continue
    for (const atMs of listOpenings(state, worker, job.shape.need, count)) openings.push({ atMs, worker })
  }
  if (openings.length < count) return undefined
  openings.sort((a, b) => a.atMs - b.atMs)
  const workers = new Map<WorkerEntry, number>()
  for (const { worker } of openings.slice(0, count)) workers.set(worker, (workers.get(worker) ?? 0) + 1)
  return { workers, freeAtMs: openings[count - 1]!.atMs }
}

/** Lists the times at which one more task of `need` is expected to fit on the worker, at most `limit`. */
function listOpenings (state: CellState, worker: WorkerEntry, need: Amounts, limit: number): number[] {
  const room = { ...worker.free }
  const openings: number[] = new Array(countFits(room, need, limit)).fill(state.nowMs)
  if (openings.length === limit) return openings
  const ends = [...worker.attempts].map((task) => ({ task, endMs: estimateEnd(state, task) }))
  ends.sort((a, b) => a.endMs - b.endMs)
  for (const { task, endMs } of ends) {
    if (endMs === Infinity) break
    addAmounts(room, task.job.shape.need, 1)
    const fits = countFits(room, need, limit)
    while (openings.length < fits) openings.push(endMs)
    if (openings.length === limit) break
  }
  return openings
}

/** Estimates the monotonic time at which an attempt ends; `Infinity` for services that are not stopping. */
export function estimateEnd (state: CellState, task: TaskEntry): number {
  if (task.phase === 'stopping') return state.nowMs + EXPECTED_STOP_MS
  const ranMs = state.nowMs - task.startedMs
  const leftMs = state.estimates.estimateRunTime(task.job) - ranMs
  return state.nowMs + Math.max(leftMs, ranMs * OVERRUN_FRACTION)
}

/** Stops the fillers of a reservation once no other task occupies its room. */
export function stopFillers (state: CellState, reservation: Reservation): void {
  if (reservation.closing) return
  const { need } = reservation.job.shape
  const fillers: TaskEntry[] = []
  for (const [worker, count] of reservation.workers) {
    const room = { ...worker.free }
    addAmounts(room, worker.stopping, 1)
    for (const task of worker.attempts) {
      if (hasRoom(room, need, count)) break
      if (!task.filler || task.phase !== 'assigned') continue
      addAmounts(room, task.job.shape.need, 1)
      fillers.push(task)
    }
    if (!hasRoom(room, need, count)) return
  }
  reservation.closing = true
  for (const filler of fillers) stopAttempt(state, filler, 'preempted')
}
