/** Registry of all workers of a cell with their placement indexes. */
import type { Shape } from '../job/lane.js'
import { createAmounts, hasRoom, type Amounts } from './amounts.js'
import { createPlacementIndex, type PlacementIndex } from './placementIndex.js'
import { createWorkerEntry, updateCpuOnlyRoom, updatePreemptionRooms, type WorkerEntry } from './workerEntry.js'

export interface WorkerRegistry {
  findWorker: (id: string) => WorkerEntry | undefined
  /** Returns the worker; adds an empty entry if there is none. */
  getWorker: (id: string) => WorkerEntry
  /** Removes a worker without attempts. */
  dropWorker: (worker: WorkerEntry) => void
  listWorkers: () => Iterable<WorkerEntry>
  countWorkers: () => number
  /** Eligible workers without reservations, by free room. */
  readonly unreserved: PlacementIndex
  /** Eligible workers without reservations that have accelerators, by their room for tasks without accelerators. */
  readonly byCpuOnlyRoom: PlacementIndex
  /** Eligible workers with reservations, by free room. */
  readonly reserved: PlacementIndex
  /** Workers by their room after preemption of checkpointable batch attempts; current after `updatePreemptionIndexes`. */
  readonly afterCheckpoint: PlacementIndex
  /** Workers by their room after preemption of all attempts of normal priority; current after `updatePreemptionIndexes`. */
  readonly afterPreemption: PlacementIndex
  /**
   * Updates the indexes after the worker's room or state changed.
   *
   * @param roomReleased whether room was released that waiting tasks may fit into
   */
  updateWorker: (worker: WorkerEntry, roomReleased: boolean) => void
  updatePreemptionIndexes: () => void
  /** Updates the mean processors and memory that accelerator tasks need per accelerator. */
  recordAcceleratorNeed: (need: Amounts, tasks: number) => void
  /** Takes the workers that released room since the last call. */
  takeReleased: () => WorkerEntry[]
  /** Takes the workers with reservations that became ineligible since the last call. */
  takeIneligible: () => WorkerEntry[]
}

/** Checks whether new tasks may start on a worker: schedulable, not in quarantine and, while probing, idle. */
export function isEligible (worker: WorkerEntry): boolean {
  if (!worker.description?.schedulable || worker.health.quarantinedUntilMs > 0) return false
  return !worker.health.probing || worker.attempts.size === 0
}

/** Checks whether a task of the shape would fit on the worker if the worker were empty. */
export function hasCapacityFor (worker: WorkerEntry, shape: Shape): boolean {
  if (!worker.description || (shape.pool !== undefined && worker.description.pool !== shape.pool)) return false
  return hasRoom(worker.capacity, shape.need)
}

/** Checks whether a task of `need` fits without using room held by reservations. */
export function hasUnreservedRoom (worker: WorkerEntry, need: Amounts): boolean {
  const { free, held } = worker
  return need.processors <= free.processors - held.processors &&
    need.memoryMb <= free.memoryMb - held.memoryMb &&
    need.accelerators <= free.accelerators - held.accelerators
}

/** Weight of one submitted task in the moving mean of the need per accelerator. */
const NEED_GAIN_PER_TASK = 0.01
/** Upper bound of the weight of one job. */
const MAX_NEED_GAIN = 0.1

/** Creates a registry without workers. */
export function createWorkerRegistry (): WorkerRegistry {
  const workers = new Map<string, WorkerEntry>()
  const unreserved = createPlacementIndex({ number: 0, readRoom: (worker) => worker.free })
  const reserved = createPlacementIndex({ number: 1, readRoom: (worker) => worker.free })
  const afterCheckpoint = createPlacementIndex({ number: 2, readRoom: (worker) => worker.roomAfterCheckpoint })
  const afterPreemption = createPlacementIndex({ number: 3, readRoom: (worker) => worker.roomAfterPreemption })
  const byCpuOnlyRoom = createPlacementIndex({ number: 4, readRoom: (worker) => worker.cpuOnlyRoom })
  const needPerAccelerator = createAmounts()
  const released = new Set<WorkerEntry>()
  const ineligible = new Set<WorkerEntry>()
  const stalePreemptionRoom = new Set<WorkerEntry>()

  const getWorker = (id: string): WorkerEntry => {
    const found = workers.get(id)
    if (found) return found
    const created = createWorkerEntry(id)
    workers.set(id, created)
    return created
  }

  const removeFromIndexes = (worker: WorkerEntry): void => {
    for (const index of [unreserved, byCpuOnlyRoom, reserved, afterCheckpoint, afterPreemption]) index.removeWorker(worker)
    stalePreemptionRoom.delete(worker)
    released.delete(worker)
  }

  const updateWorker = (worker: WorkerEntry, roomReleased: boolean): void => {
    if (!isEligible(worker)) {
      removeFromIndexes(worker)
      if (worker.reservations.size > 0) ineligible.add(worker)
      return
    }
    const isReserved = worker.reservations.size > 0
    updateCpuOnlyRoom(worker, needPerAccelerator)
    if (isReserved) {
      unreserved.removeWorker(worker)
      byCpuOnlyRoom.removeWorker(worker)
      reserved.setWorker(worker)
    } else {
      reserved.removeWorker(worker)
      unreserved.setWorker(worker)
      if (worker.capacity.accelerators > 0) byCpuOnlyRoom.setWorker(worker)
    }
    stalePreemptionRoom.add(worker)
    if (roomReleased) released.add(worker)
  }

  const updatePreemptionIndexes = (): void => {
    for (const worker of stalePreemptionRoom) {
      updatePreemptionRooms(worker)
      afterCheckpoint.setWorker(worker)
      afterPreemption.setWorker(worker)
    }
    stalePreemptionRoom.clear()
  }

  const recordAcceleratorNeed = (need: Amounts, tasks: number): void => {
    const gain = Math.min(MAX_NEED_GAIN, tasks * NEED_GAIN_PER_TASK)
    needPerAccelerator.processors += gain * (need.processors / need.accelerators - needPerAccelerator.processors)
    needPerAccelerator.memoryMb += gain * (need.memoryMb / need.accelerators - needPerAccelerator.memoryMb)
  }

  return {
    recordAcceleratorNeed,
    findWorker: (id) => workers.get(id),
    getWorker,
    dropWorker: (worker) => {
      removeFromIndexes(worker)
      workers.delete(worker.id)
    },
    listWorkers: () => workers.values(),
    countWorkers: () => workers.size,
    unreserved,
    byCpuOnlyRoom,
    reserved,
    afterCheckpoint,
    afterPreemption,
    updateWorker,
    updatePreemptionIndexes,
    takeReleased: () => takeAll(released),
    takeIneligible: () => takeAll(ineligible)
  }
}

function takeAll (workers: Set<WorkerEntry>): WorkerEntry[] {
  const taken = [...workers]
  workers.clear()
  return taken
}
