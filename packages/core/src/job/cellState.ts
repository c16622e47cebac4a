/** In-memory state of the cell's scheduler. */
import type { Resources } from '../schema/resources.js'
import { createTeamRegistry, type TeamRegistry } from '../team/teamRegistry.js'
import { createNeed, hasRoom } from '../vm/amounts.js'
import { createIndexQuery } from '../vm/placementIndex.js'
import type { WorkerEntry } from '../vm/workerEntry.js'
import { createWorkerRegistry, hasUnreservedRoom, type WorkerRegistry } from '../vm/workerRegistry.js'
import type { SchedulerDecision } from './cellScheduler.js'
import type { JobEntry } from './jobEntry.js'
import type { Shape } from './lane.js'
import type { Reservation } from './reservation.js'
import { createRunTimeEstimates, type RunTimeEstimates } from './runTimeEstimates.js'

/** State from which decisions are computed. */
export interface CellState {
  readonly teams: TeamRegistry
  readonly workers: WorkerRegistry
  readonly jobs: Map<string, JobEntry>
  readonly shapes: Map<string, Shape>
  readonly estimates: RunTimeEstimates
  /** Reservations, oldest first. */
  readonly reservations: Set<Reservation>
  /** Incremented when the set of workers, or a worker's capacity, pool, failure domain or rack changes. */
  workersVersion: number
  readonly quarantined: Set<WorkerEntry>
  /** Workers whose service and checkpointable tasks are moved to other workers. */
  readonly draining: Set<WorkerEntry>
  readonly changedJobs: Set<string>
  /** Decisions that `decide` has not returned yet. */
  readonly outbox: SchedulerDecision[]
  /** Monotonic time of the current call, in milliseconds. */
  nowMs: number
  /** Monotonic time before which no further reservation is granted. */
  nextReservationMs: number
  /** Latest time at which any reservation's room is expected to be free. */
  latestFreeAtMs: number
  /** Offset in the list of workers at which the next reservation plan starts its search. */
  planOffset: number
}

/** Creates the state of a cell without workers, teams and jobs. */
export function createCellState (): CellState {
  return {
    teams: createTeamRegistry(),
    workers: createWorkerRegistry(),
    jobs: new Map(),
    shapes: new Map(),
    estimates: createRunTimeEstimates(),
    reservations: new Set(),
    workersVersion: 0,
    quarantined: new Set(),
    draining: new Set(),
    changedJobs: new Set(),
    outbox: [],
    nowMs: 0,
    nextReservationMs: 0,
    latestFreeAtMs: 0,
    planOffset: 0
  }
}

/** Returns the shared shape of tasks with equal resources and pool. */
export function getShape (state: CellState, resources: Resources, pool: string | undefined): Shape {
  const need = createNeed(resources)
  const key = `${pool ?? '*'}\n${need.processors}\n${need.memoryMb}\n${need.accelerators}`
  const found = state.shapes.get(key)
  if (found) return found
  const created: Shape = {
    key,
    need,
    query: createIndexQuery(need),
    pool,
    blocked: false,
    unreservedRoomVersion: 0,
    reservedRoomVersion: 0,
    fitsCpuOnlyWorker: false,
    fitsCpuOnlyWorkerVersion: -1,
    jobCount: 0
  }
  state.shapes.set(key, created)
  return created
}

/** Allows lanes to retry backfill if their tasks fit into the free room of a worker with reservations. */
export function unblockBackfill (state: CellState, worker: WorkerEntry): void {
  for (const shape of state.shapes.values()) {
    if (shape.pool !== undefined && shape.pool !== worker.description?.pool) continue
    if (!hasRoom(worker.free, shape.need)) continue
    shape.reservedRoomVersion += 1
    if (hasUnreservedRoom(worker, shape.need)) shape.unreservedRoomVersion += 1
  }
}
