/** One round of decisions: takes in what changed and starts what can start. */
import { hasRoom } from '../vm/amounts.js'
import type { WorkerEntry } from '../vm/workerEntry.js'
import { endQuarantine } from '../vm/workerHealth.js'
import { stopAttempt, stopGang } from './attempts.js'
import { stopAboveCeilings } from './ceilings.js'
import { updateBackfill, type CellState } from './cellState.js'
import { grantReservation } from './grants.js'
import { releaseReservation } from './reservation.js'
import { startLane, startReserved, updateUrgentReservations } from './starts.js'
import { createTurns } from './turns.js'

/** Takes decisions until nothing more can start or the outbox holds `maxDecisions`. */
export function decideTasks (state: CellState, maxDecisions: number): void {
  releaseQuarantined(state)
  stopDraining(state)
  stopAboveCeilings(state)
  releaseUnfit(state)
  applyGrown(state)
  startReserved(state)
  updateUrgentReservations(state)
  startAll(state, true, maxDecisions)
  startAll(state, false, maxDecisions)
  grantReservation(state)
}

function startAll (state: CellState, urgent: boolean, maxDecisions: number): void {
  const turns = createTurns(state, urgent)
  while (state.outbox.length < maxDecisions) {
    const lane = turns.chooseLane()
    if (!lane) return
    startLane(state, lane)
  }
}

function releaseQuarantined (state: CellState): void {
  for (const worker of state.quarantined) {
    if (!endQuarantine(worker.health, state.nowMs)) continue
    state.quarantined.delete(worker)
    state.workers.updateWorker(worker, true)
  }
}

/** Moves what can move away from workers that drain. */
function stopDraining (state: CellState): void {
  for (const worker of state.draining) {
    for (const task of worker.attempts) {
      const { kind, checkpointable } = task.job.row.spec
      if (task.phase !== 'assigned' || (kind !== 'service' && !checkpointable)) continue
      if (kind === 'gang') stopGang(state, task.job, 'drained')
      else stopAttempt(state, task, 'drained')
    }
  }
}

/** Gives up reservations on workers that take no tasks any longer; their lanes plan again. */
function releaseUnfit (state: CellState): void {
  for (const worker of state.workers.takeIneligible()) {
    for (const reservation of [...worker.reservations.keys()]) releaseReservation(state, reservation)
    if (!worker.known && worker.attempts.size === 0) state.workers.dropWorker(worker)
  }
}

/** Lets shapes be tried again that may find room on workers that freed some. */
function applyGrown (state: CellState): void {
  const grown = state.workers.takeReleased()
  for (const worker of grown) {
    if (worker.reservations.size > 0) updateBackfill(state, worker)
    else unblockShapes(state, worker)
  }
}

function unblockShapes (state: CellState, worker: WorkerEntry): void {
  for (const shape of state.shapes.values()) {
    if (!shape.blocked) continue
    if (shape.pool !== undefined && shape.pool !== worker.known?.pool) continue
    if (hasRoom(worker.free, shape.need)) shape.blocked = false
  }
}
