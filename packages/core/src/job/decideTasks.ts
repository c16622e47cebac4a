/** One scheduling round: applies changes of workers and ceilings, then starts the tasks that fit. */
import { hasRoom } from '../vm/amounts.js'
import type { WorkerEntry } from '../vm/workerEntry.js'
import { endQuarantine } from '../vm/workerHealth.js'
import { stopAttempt, stopGang } from './attempts.js'
import { stopTasksAboveCeilings } from './ceilings.js'
import { unblockBackfill, type CellState } from './cellState.js'
import { grantReservation } from './reservationGrants.js'
import { releaseReservation } from './reservation.js'
import { startLane, startReserved, replaceOverdueUrgentReservations } from './startTasks.js'
import { createFairShareQueue } from './fairShareQueue.js'

/** Computes decisions until no more tasks can start or the outbox holds `maxDecisions`. */
export function decideTasks (state: CellState, maxDecisions: number): void {
  endQuarantines(state)
  drainWorkers(state)
  stopTasksAboveCeilings(state)
  releaseIneligibleReservations(state)
  unblockAfterRelease(state)
  startReserved(state)
  replaceOverdueUrgentReservations(state)
  startLanes(state, true, maxDecisions)
  startLanes(state, false, maxDecisions)
  grantReservation(state)
}

function startLanes (state: CellState, urgent: boolean, maxDecisions: number): void {
  const queue = createFairShareQueue(state, urgent)
  while (state.outbox.length < maxDecisions) {
    const lane = queue.chooseLane()
    if (!lane) return
    startLane(state, lane)
  }
}

function endQuarantines (state: CellState): void {
  for (const worker of state.quarantined) {
    if (!endQuarantine(worker.health, state.nowMs)) continue
    state.quarantined.delete(worker)
    state.workers.updateWorker(worker, true)
  }
}

/** Stops service and checkpointable tasks on draining workers; they start again elsewhere. */
function drainWorkers (state: CellState): void {
  for (const worker of state.draining) {
    for (const task of worker.attempts) {
      const { kind, checkpointable } = task.job.row.spec
      if (task.phase !== 'assigned' || (kind !== 'service' && !checkpointable)) continue
      if (kind === 'gang') stopGang(state, task.job, 'drained')
      else stopAttempt(state, task, 'drained')
    }
  }
}

/** Releases reservations on workers that became ineligible; their lanes may reserve room elsewhere. */
function releaseIneligibleReservations (state: CellState): void {
  for (const worker of state.workers.takeIneligible()) {
    for (const reservation of [...worker.reservations.keys()]) releaseReservation(state, reservation)
    if (!worker.description && worker.attempts.size === 0) state.workers.dropWorker(worker)
  }
}

/** Unblocks the shapes that may fit on workers that released room; for workers with reservations, unblocks backfill. */
function unblockAfterRelease (state: CellState): void {
  const workers = state.workers.takeReleased()
  for (const worker of workers) {
    if (worker.reservations.size > 0) unblockBackfill(state, worker)
    else unblockShapes(state, worker)
  }
}

function unblockShapes (state: CellState, worker: WorkerEntry): void {
  for (const shape of state.shapes.values()) {
    if (!shape.blocked) continue
    if (shape.pool !== undefined && shape.pool !== worker.description?.pool) continue
    if (hasRoom(worker.free, shape.need)) shape.blocked = false
  }
}
