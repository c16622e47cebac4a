/** Room held on workers for tasks that could not be placed: gangs, large tasks and urgent work. */
import { addAmounts, countFits, hasRoom, type Amounts } from '../vm/amounts.js'
import type { WorkerEntry } from '../vm/workerEntry.js'
import { hasCapacityFor, isEligible } from '../vm/workerPool.js'
import { stopAttempt } from './attempts.js'
import { updateBackfill, type CellState } from './cellState.js'
import type { JobEntry, TaskEntry } from './jobEntry.js'

/** A claim of one job on room that others still use. */
export interface Reservation {
  readonly job: JobEntry
  readonly urgent: boolean
  /** Tasks planned for each worker. */
  readonly workers: ReadonlyMap<WorkerEntry, number>
  /** Monotonic time at which the room should be free; no backfill may be expected to run beyond it. */
  readonly freeAtMs: number
  readonly grantedMs: number
  /** Fillers are being stopped; nothing more may use the held room. */
  closing: boolean
}

/** A planned set of workers. */
export interface ReservationPlan {
  readonly workers: Map<WorkerEntry, number>
  readonly freeAtMs: number
}

/** Time that a stopping attempt is expected to take, in milliseconds. */
const STOPPING_MS = 1000
/** A plan compares this many openings for each task, and this many besides. */
const PLAN_SURPLUS = 3
const PLAN_WORKERS = 200
/** Part of its run so far that an attempt beyond its estimate is expected to go on for. */
const OVERDUE_PART = 0.25

/** Holds the planned room. */
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
  state.latestDueMs = Math.max(state.latestDueMs, plan.freeAtMs)
  job.reservations.add(reservation)
  for (const [worker, count] of plan.workers) {
    worker.reservations.set(reservation, count)
    addAmounts(worker.held, job.shape.need, count)
    state.workers.updateWorker(worker, false)
    updateBackfill(state, worker)
  }
  return reservation
}

/** Gives the held room back. */
export function releaseReservation (state: CellState, reservation: Reservation): void {
  if (!state.reservations.delete(reservation)) return
  reservation.job.reservations.delete(reservation)
  updateLatestDue(state)
  for (const [worker, count] of reservation.workers) {
    worker.reservations.delete(reservation)
    addAmounts(worker.held, reservation.job.shape.need, -count)
    state.workers.updateWorker(worker, true)
  }
}

function updateLatestDue (state: CellState): void {
  state.latestDueMs = 0
  for (const { freeAtMs } of state.reservations) state.latestDueMs = Math.max(state.latestDueMs, freeAtMs)
}

/** Gives back all that is held for a job. */
export function releaseReservations (state: CellState, job: JobEntry): void {
  for (const reservation of [...job.reservations]) releaseReservation(state, reservation)
}

/** Tells whether all held room is free. */
export function isReady (reservation: Reservation): boolean {
  const { need } = reservation.job.shape
  for (const [worker, count] of reservation.workers) {
    if (!isEligible(worker) || !hasRoom(worker.free, need, count)) return false
  }
  return true
}

/**
 * Plans where `count` tasks of a job will find room first if nothing else starts there.
 *
 * @returns `undefined` if long-running work would have to end first
 */
export function buildReservationPlan (state: CellState, job: JobEntry, count: number): ReservationPlan | undefined {
  const candidates = [...state.workers.listWorkers()]
  const begin = state.planCursor % Math.max(1, candidates.length)
  state.planCursor += 1
  const enough = count * PLAN_SURPLUS + PLAN_WORKERS
  const openings: { atMs: number, worker: WorkerEntry }[] = []
  for (const worker of [...candidates.slice(begin), ...candidates.slice(0, begin)]) {
    if (openings.length >= enough) break
    if (worker.reservations.size > 0 || !isEligible(worker) || !hasCapacityFor(worker, job.shape)) continue
    for (const atMs of listOpenings(state, worker, job.shape.need, count)) openings.push({ atMs, worker })
  }
  if (openings.length < count) return undefined
  openings.sort((a, b) => a.atMs - b.atMs)
  const workers = new Map<WorkerEntry, number>()
  for (const { worker } of openings.slice(0, count)) workers.set(worker, (workers.get(worker) ?? 0) + 1)
  return { workers, freeAtMs: openings[count - 1]!.atMs }
}

/** Times at which one more task of `need` fits onto the worker, at most `limit`. */
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

/** Estimates when an attempt ends, as monotonic time. */
export function estimateEnd (state: CellState, task: TaskEntry): number {
  if (task.phase === 'stopping') return state.nowMs + STOPPING_MS
  const ranMs = state.nowMs - task.startedMs
  const leftMs = state.estimates.estimateRunTime(task.job) - ranMs
  return state.nowMs + Math.max(leftMs, ranMs * OVERDUE_PART)
}

/** Stops the fillers of a reservation once nothing else is in its way. */
export function stopFillers (state: CellState, reservation: Reservation): void {
  if (reservation.closing) return
  const { need } = reservation.job.shape
  const victims: TaskEntry[] = []
  for (const [worker, count] of reservation.workers) {
    const room = { ...worker.free }
    addAmounts(room, worker.stopping, 1)
    for (const task of worker.attempts) {
      if (hasRoom(room, need, count)) break
      if (!task.filler || task.phase !== 'assigned') continue
      addAmounts(room, task.job.shape.need, 1)
      victims.push(task)
    }
    if (!hasRoom(room, need, count)) return
  }
  reservation.closing = true
  for (const victim of victims) stopAttempt(state, victim, 'preempted')
}
