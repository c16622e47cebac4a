/** State that the parts of the cell's scheduler share. */
import type { Resources } from '../schema/resources.js'
import { createTeamRegistry, type TeamRegistry } from '../team/teamRegistry.js'
import { createNeed } from '../vm/amounts.js'
import type { WorkerEntry } from '../vm/workerEntry.js'
import { createWorkerPool, type WorkerPool } from '../vm/workerPool.js'
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
  /** Grows when backfill may have become possible. */
  reservationsVersion: number
  /** Grows when a lane may have become able to start something. */
  changes: number
  /** Grows when the set of workers or the capacity of one changes. */
  workersVersion: number
  /** Workers in quarantine. */
  readonly quarantined: Set<WorkerEntry>
  readonly changedJobs: Set<string>
  /** Decisions taken but not handed out. */
  readonly outbox: SchedulerDecision[]
  /** Monotonic time of the present call, in milliseconds. */
  nowMs: number
  /** Monotonic time before which no further reservation is granted. */
  nextGrantMs: number
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
    reservationsVersion: 0,
    changes: 0,
    workersVersion: 0,
    quarantined: new Set(),
    changedJobs: new Set(),
    outbox: [],
    nowMs: 0,
    nextGrantMs: 0
  }
}

/** The one shape of tasks that need the same in the same pool. */
export function getShape (state: CellState, resources: Resources, pool: string | undefined): Shape {
  const need = createNeed(resources)
  const key = `${pool ?? '*'}\n${need.processors}\n${need.memoryMb}\n${need.accelerators}`
  const found = state.shapes.get(key)
  if (found) return found
  const created: Shape = { key, need, pool, blocked: false, fitsPlain: false, fitsPlainAt: -1, users: 0 }
  state.shapes.set(key, created)
  return created
}
