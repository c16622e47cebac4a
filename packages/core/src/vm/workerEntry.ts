/** Scheduler state of one worker. */
import type { SchedulerWorker } from '../job/cellScheduler.js'
import type { TaskEntry } from '../job/jobEntry.js'
import type { Reservation } from '../job/reservation.js'
import { addAmounts, createAmounts, createCapacity, type Amounts } from './amounts.js'
import type { IndexSlot } from './placementIndex.js'
import { createWorkerHealth, type WorkerHealth } from './workerHealth.js'

/** One worker. Until its description arrives it has no capacity, but it may have attempts restored from committed state. */
export interface WorkerEntry {
  readonly id: string
  description: SchedulerWorker | undefined
  capacity: Amounts
  /** Capacity minus the charges of all attempts, including stopping ones; no component is negative unless capacity shrank. */
  readonly free: Amounts
  /** Free room for tasks without accelerators: on a VM with accelerators, processors and memory for the free accelerators are set aside. */
  readonly cpuOnlyRoom: Amounts
  /** Resources that stopping attempts will release. */
  readonly stopping: Amounts
  /** Resources held by reservations. */
  readonly held: Amounts
  /** Expected room if all checkpointable batch attempts of normal priority were preempted. */
  readonly roomAfterCheckpoint: Amounts
  /** Expected room if all attempts of normal priority were preempted. */
  readonly roomAfterPreemption: Amounts
  readonly attempts: Set<TaskEntry>
  /** Number of tasks planned on this worker, by reservation. */
  readonly reservations: Map<Reservation, number>
  readonly health: WorkerHealth
  /** Positions in the placement indexes, by the index's number. */
  readonly slots: (IndexSlot | undefined)[]
}

/** Difference between the free fractions of processors and memory from which a worker counts as imbalanced. */
const IMBALANCE_THRESHOLD = 0.1
/** Free fraction of a component below which it counts as scarce. */
const SCARCE_FRACTION = 0.1

/** Creates a worker without capacity or attempts. */
export function createWorkerEntry (id: string): WorkerEntry {
  return {
    id,
    description: undefined,
    capacity: createAmounts(),
    free: createAmounts(),
    cpuOnlyRoom: createAmounts(),
    stopping: createAmounts(),
    held: createAmounts(),
    roomAfterCheckpoint: createAmounts(),
    roomAfterPreemption: createAmounts(),
    attempts: new Set(),
    reservations: new Map(),
    health: createWorkerHealth(),
    slots: []
  }
}

/** Replaces the worker's description and capacity; charges are retained. */
export function updateDescription (entry: WorkerEntry, description: SchedulerWorker | undefined): void {
  const capacity = description ? createCapacity(description.capacity) : createAmounts()
  addAmounts(entry.free, entry.capacity, -1)
  addAmounts(entry.free, capacity, 1)
  entry.description = description
  entry.capacity = capacity
}

/**
 * Recomputes the room for tasks without accelerators.
 *
 * @param needPerAccelerator mean processors and memory that accelerator tasks need per accelerator
 */
export function updateCpuOnlyRoom ({ capacity, free, cpuOnlyRoom }: WorkerEntry, needPerAccelerator: Amounts): void {
  const freeAccelerators = Math.max(0, free.accelerators)
  cpuOnlyRoom.processors = Math.floor(free.processors - needPerAccelerator.processors * freeAccelerators)
  cpuOnlyRoom.memoryMb = Math.floor(free.memoryMb - needPerAccelerator.memoryMb * freeAccelerators)
  // Sets aside at most the VM's own ratio of processors and memory to accelerators, whatever the mean need.
  const freeFraction = capacity.accelerators > 0 ? freeAccelerators / capacity.accelerators : 0
  cpuOnlyRoom.processors = Math.max(cpuOnlyRoom.processors, Math.floor(free.processors - capacity.processors * freeFraction))
  cpuOnlyRoom.memoryMb = Math.max(cpuOnlyRoom.memoryMb, Math.floor(free.memoryMb - capacity.memoryMb * freeFraction))
}

/**
 * Checks whether a task may be placed without exhausting the scarcer of processors and memory. If the worker is imbalanced and the
 * placement would leave less than `SCARCE_FRACTION` of that component free, the task may not need a larger fraction of it than of the other.
 */
export function hasBalancedRoom ({ capacity, free }: WorkerEntry, need: Amounts): boolean {
  const memoryScarce = free.memoryMb * capacity.processors < free.processors * capacity.memoryMb
  const scarce = memoryScarce ? 'memoryMb' : 'processors'
  const other = memoryScarce ? 'processors' : 'memoryMb'
  const needFraction = need[scarce] / Math.max(1, capacity[scarce])
  if (needFraction <= need[other] / Math.max(1, capacity[other])) return true
  const freeFraction = free[scarce] / Math.max(1, capacity[scarce])
  if (free[other] / Math.max(1, capacity[other]) - freeFraction < IMBALANCE_THRESHOLD) return true
  return freeFraction - needFraction >= SCARCE_FRACTION
}

/** Recomputes the room available by preemption from the worker's attempts. */
export function updatePreemptionRooms (entry: WorkerEntry): void {
  computeExpectedRoom(entry.roomAfterCheckpoint, entry)
  for (const task of entry.attempts) {
    if (task.phase === 'assigned' && isCheckpointableBatch(task)) addAmounts(entry.roomAfterCheckpoint, task.job.shape.need, 1)
  }
  Object.assign(entry.roomAfterPreemption, entry.roomAfterCheckpoint)
  for (const task of entry.attempts) {
    if (task.phase === 'assigned' && isPreemptibleWithLoss(task)) addAmounts(entry.roomAfterPreemption, task.job.shape.need, 1)
  }
}

/** Computes the room once stopping attempts have ended, without the room held by reservations. */
function computeExpectedRoom (target: Amounts, entry: WorkerEntry): void {
  Object.assign(target, entry.free)
  addAmounts(target, entry.stopping, 1)
  addAmounts(target, entry.held, -1)
}

function isCheckpointableBatch (task: TaskEntry): boolean {
  const { spec } = task.job.row
  return spec.priority === 'normal' && spec.checkpointable && spec.kind === 'batch'
}

function isPreemptibleWithLoss (task: TaskEntry): boolean {
  return task.job.row.spec.priority === 'normal' && !isCheckpointableBatch(task)
}
