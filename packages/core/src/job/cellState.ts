/** State that the parts of the cell's scheduler share. */
import type { Resources } from '../schema/resources.js'
import { createTeamRegistry, type TeamRegistry } from '../team/teamRegistry.js'
import { createNeed, hasRoom } from '../vm/amounts.js'
import { createIndexQuery } from '../vm/placementIndex.js'
import type { WorkerEntry } from '../vm/workerEntry.js'
import { createWorkerPool, hasUnreservedRoom, type WorkerPool } from '../vm/workerPool.js'
import type { SchedulerDecision } from './cellScheduler.js'
import type { JobEntry } from './jobEntry.js'
import type { Shape } from './lane.js'
import type { Reservation } from './reservation.js'
import { createRunTimeEstimates, type RunTimeEstimates } from './runTimeEstimates.js'

/** Everything that decisions are taken from. */
export interface CellState {
  readonly teams: TeamRegistry
  readonly workers: WorkerPool
  readonly jobs: Map<string, JobEntry>
  readonly shapes: Map<string, Shape>
  readonly estimates: RunTimeEstimates
  /** Reservations, oldest first. */
  readonly reservations: Set<Reservation>
  /** Grows when the set of workers or the capacity of one changes. */
  workersVersion: number
  /** Workers in quarantine. */
  readonly quarantined: Set<WorkerEntry>
  /** Workers whose services and checkpointable tasks shall move. */
  readonly draining: Set<WorkerEntry>
  readonly changedJobs: Set<string>
  /** Decisions taken but not handed out. */
  readonly outbox: SchedulerDecision[]
  /** Monotonic time of the present call, in milliseconds. */
  nowMs: number
  /** Monotonic time before which no further reservation is granted. */
  nextGrantMs: number
  /** Latest time at which a reservation's room is due. */
  latestDueMs: number
  /** Worker at which the next plan of a reservation begins to look. */
  planCursor: number
}

/** Creates the state of a cell without workers, teams and jobs. */
export function createCellState (): CellState {
  return {
    teams: createTeamRegistry(),
    workers: createWorkerPool(),
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
    nextGrantMs: 0,
    latestDueMs: 0,
    planCursor: 0
  }
}

/** The one shape of tasks that need the same in the same pool. */
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
    besideVersion: 0,
    withinVersion: 0,
    fitsPlain: false,
    fitsPlainAt: -1,
    users: 0
  }
  state.shapes.set(key, created)
  return created
}

/** Lets lanes try backfill again whose tasks fit into the free room of a worker with reservations. */
export function updateBackfill (state: CellState, worker: WorkerEntry): void {
  for (const shape of state.shapes.values()) {
    if (shape.pool !== undefined && shape.pool !== worker.known?.pool) continue
    if (!hasRoom(worker.free, shape.need)) continue
    shape.withinVersion += 1
    if (hasUnreservedRoom(worker, shape.need)) shape.besideVersion += 1
  }
}
