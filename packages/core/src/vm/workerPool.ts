/** All workers of a cell and the indexes that find room among them. */
import type { Shape } from '../job/lane.js'
import { createAmounts, hasRoom, type Amounts } from './amounts.js'
import { createPlacementIndex, type PlacementIndex } from './placementIndex.js'
import { createWorkerEntry, updateSpareRoom, updateUrgentRooms, type WorkerEntry } from './workerEntry.js'

/** Workers by id. */
export interface WorkerPool {
  findWorker: (id: string) => WorkerEntry | undefined
  /** The worker, entered as unknown if it is not there. */
  getWorker: (id: string) => WorkerEntry
  /** Forgets a worker without attempts. */
  dropWorker: (worker: WorkerEntry) => void
  listWorkers: () => Iterable<WorkerEntry>
  countWorkers: () => number
  /** Workers that take any task with room. */
  readonly open: PlacementIndex
  /** The same workers by the room that work without accelerators may take. */
  readonly spare: PlacementIndex
  /** Workers that reservations hold room on. */
  readonly reserved: PlacementIndex
  /** Workers by their room if checkpointable attempts stop; current after `updateUrgent`. */
  readonly soft: PlacementIndex
  /** Workers by their room if all attempts of normal priority stop; current after `updateUrgent`. */
  readonly hard: PlacementIndex
  /** Moves a worker whose room or state changed to where it belongs. */
  updateWorker: (worker: WorkerEntry, grew: boolean) => void
  updateUrgent: () => void
  /** Learns from submitted work what a task on accelerators needs beside each of them. */
  recordAcceleratorNeed: (need: Amounts, tasks: number) => void
  /** Workers that may have room for more since the last call. */
  takeGrown: () => WorkerEntry[]
  /** Workers with reservations that can no longer take tasks, since the last call. */
  takeUnfit: () => WorkerEntry[]
}

/** Tells whether new tasks may start on a worker. */
export function isEligible (worker: WorkerEntry): boolean {
  if (!worker.known?.schedulable || worker.health.quarantinedUntilMs > 0) return false
  return !worker.health.probing || worker.attempts.size === 0
}

/** Tells whether a task of the shape could run on the worker if the worker were empty. */
export function hasCapacityFor (worker: WorkerEntry, shape: Shape): boolean {
  if (!worker.known || (shape.pool !== undefined && worker.known.pool !== shape.pool)) return false
  return hasRoom(worker.capacity, shape.need)
}

/** Tells whether a task of `need` fits beside the room that reservations hold. */
export function hasUnheldRoom (worker: WorkerEntry, need: Amounts): boolean {
  const { free, held } = worker
  return need.processors <= free.processors - held.processors &&
    need.memoryMb <= free.memoryMb - held.memoryMb &&
    need.accelerators <= free.accelerators - held.accelerators
}

/** Weight of one submitted task, and most of one job, in the mean need beside an accelerator. */
const NEED_GAIN = 0.01
const MOST_NEED_GAIN = 0.1

/** Creates a pool without workers. */
export function createWorkerPool (): WorkerPool {
  const workers = new Map<string, WorkerEntry>()
  const open = createPlacementIndex({ number: 0, readRoom: (worker) => worker.free })
  const reserved = createPlacementIndex({ number: 1, readRoom: (worker) => worker.free })
  const soft = createPlacementIndex({ number: 2, readRoom: (worker) => worker.softRoom })
  const hard = createPlacementIndex({ number: 3, readRoom: (worker) => worker.hardRoom })
  const spare = createPlacementIndex({ number: 4, readRoom: (worker) => worker.spareRoom })
  const kept = createAmounts()
  const grown = new Set<WorkerEntry>()
  const unfit = new Set<WorkerEntry>()
  const urgentStale = new Set<WorkerEntry>()

  const getWorker = (id: string): WorkerEntry => {
    const found = workers.get(id)
    if (found) return found
    const created = createWorkerEntry(id)
    workers.set(id, created)
    return created
  }

  const removeFromAll = (worker: WorkerEntry): void => {
    for (const index of [open, spare, reserved, soft, hard]) index.removeWorker(worker)
    urgentStale.delete(worker)
    grown.delete(worker)
  }

  const updateWorker = (worker: WorkerEntry, grew: boolean): void => {
    if (!isEligible(worker)) {
      removeFromAll(worker)
      if (worker.reservations.size > 0) unfit.add(worker)
      return
    }
    const isReserved = worker.reservations.size > 0
    updateSpareRoom(worker, kept)
    if (isReserved) {
      open.removeWorker(worker)
      spare.removeWorker(worker)
      reserved.setWorker(worker)
    } else {
      reserved.removeWorker(worker)
      open.setWorker(worker)
      if (worker.capacity.accelerators > 0) spare.setWorker(worker)
    }
    urgentStale.add(worker)
    if (grew) grown.add(worker)
  }

  const updateUrgent = (): void => {
    for (const worker of urgentStale) {
      updateUrgentRooms(worker)
      soft.setWorker(worker)
      hard.setWorker(worker)
    }
    urgentStale.clear()
  }

  const recordAcceleratorNeed = (need: Amounts, tasks: number): void => {
    const gain = Math.min(MOST_NEED_GAIN, tasks * NEED_GAIN)
    kept.processors += gain * (need.processors / need.accelerators - kept.processors)
    kept.memoryMb += gain * (need.memoryMb / need.accelerators - kept.memoryMb)
  }

  return {
    recordAcceleratorNeed,
    findWorker: (id) => workers.get(id),
    getWorker,
    dropWorker: (worker) => {
      removeFromAll(worker)
      workers.delete(worker.id)
    },
    listWorkers: () => workers.values(),
    countWorkers: () => workers.size,
    open,
    spare,
    reserved,
    soft,
    hard,
    updateWorker,
    updateUrgent,
    takeGrown: () => takeAll(grown),
    takeUnfit: () => takeAll(unfit)
  }
}

function takeAll (workers: Set<WorkerEntry>): WorkerEntry[] {
  const taken = [...workers]
  workers.clear()
  return taken
}
