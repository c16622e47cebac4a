/** What the scheduler holds for one worker. */
import type { SchedulerWorker } from '../job/cellScheduler.js'
import type { TaskEntry } from '../job/jobEntry.js'
import type { Reservation } from '../job/reservation.js'
import { addAmounts, createAmounts, createCapacity, type Amounts } from './amounts.js'
import type { IndexSlot } from './placementIndex.js'
import { createWorkerHealth, type WorkerHealth } from './workerHealth.js'

/** One worker; unknown workers may hold restored attempts and have no capacity. */
export interface WorkerEntry {
  readonly id: string
  known: SchedulerWorker | undefined
  capacity: Amounts
  /** Capacity less what attempts are charged for, stopping ones included; negative in no component unless capacity shrank. */
  readonly free: Amounts
  /** Free room that work without accelerators may take; on an accelerator VM less what is kept for the free ones. */
  readonly spareRoom: Amounts
  /** What stopping attempts will release. */
  readonly stopping: Amounts
  /** What reservations hold. */
  readonly held: Amounts
  /** Room for urgent work if checkpointable attempts stop. */
  readonly softRoom: Amounts
  /** Room for urgent work if every attempt of normal priority stops. */
  readonly hardRoom: Amounts
  readonly attempts: Set<TaskEntry>
  /** Reservations with tasks planned here, with the number of those tasks. */
  readonly reservations: Map<Reservation, number>
  readonly health: WorkerHealth
  /** Places in the indexes, by number of the index. */
  readonly slots: (IndexSlot | undefined)[]
}

/** Difference of the free parts of processors and memory from which a worker counts as uneven. */
const UNEVEN_PART = 0.1
/** Part of a component below which it runs short. */
const SHORT_PART = 0.1

/** Creates a worker that nothing is known about yet. */
export function createWorkerEntry (id: string): WorkerEntry {
  return {
    id,
    known: undefined,
    capacity: createAmounts(),
    free: createAmounts(),
    spareRoom: createAmounts(),
    stopping: createAmounts(),
    held: createAmounts(),
    softRoom: createAmounts(),
    hardRoom: createAmounts(),
    attempts: new Set(),
    reservations: new Map(),
    health: createWorkerHealth(),
    slots: []
  }
}

/** Replaces what is known of the worker; its charges stay. */
export function updateKnown (entry: WorkerEntry, known: SchedulerWorker | undefined): void {
  const capacity = known ? createCapacity(known.capacity) : createAmounts()
  addAmounts(entry.free, entry.capacity, -1)
  addAmounts(entry.free, capacity, 1)
  entry.known = known
  entry.capacity = capacity
}

/**
 * Computes the room for work without accelerators again.
 *
 * @param kept what work on accelerators needs for each of them
 */
export function updateSpareRoom ({ capacity, free, spareRoom }: WorkerEntry, kept: Amounts): void {
  const freeAccelerators = Math.max(0, free.accelerators)
  spareRoom.processors = Math.floor(free.processors - kept.processors * freeAccelerators)
  spareRoom.memoryMb = Math.floor(free.memoryMb - kept.memoryMb * freeAccelerators)
  // Whatever the need, a VM's own share of them for each accelerator is enough.
  const freePart = capacity.accelerators > 0 ? freeAccelerators / capacity.accelerators : 0
  spareRoom.processors = Math.max(spareRoom.processors, Math.floor(free.processors - capacity.processors * freePart))
  spareRoom.memoryMb = Math.max(spareRoom.memoryMb, Math.floor(free.memoryMb - capacity.memoryMb * freePart))
}

/**
 * Tells whether a task may be placed without using up the component of which a smaller part is left:
 * once that runs short, only tasks that need less of it than of the other are taken.
 */
export function hasBalancedRoom ({ capacity, free }: WorkerEntry, need: Amounts): boolean {
  const memoryScarce = free.memoryMb * capacity.processors < free.processors * capacity.memoryMb
  const scarce = memoryScarce ? 'memoryMb' : 'processors'
  const other = memoryScarce ? 'processors' : 'memoryMb'
  const needPart = need[scarce] / Math.max(1, capacity[scarce])
  if (needPart <= need[other] / Math.max(1, capacity[other])) return true
  const freePart = free[scarce] / Math.max(1, capacity[scarce])
  if (free[other] / Math.max(1, capacity[other]) - freePart < UNEVEN_PART) return true
  return freePart - needPart >= SHORT_PART
}

/** Computes the rooms for urgent work again from the attempts' sums. */
export function updateUrgentRooms (entry: WorkerEntry): void {
  computeRoom(entry.softRoom, entry)
  for (const task of entry.attempts) {
    if (task.phase === 'assigned' && isSoft(task)) addAmounts(entry.softRoom, task.job.shape.need, 1)
  }
  Object.assign(entry.hardRoom, entry.softRoom)
  for (const task of entry.attempts) {
    if (task.phase === 'assigned' && isHard(task)) addAmounts(entry.hardRoom, task.job.shape.need, 1)
  }
}

function computeRoom (target: Amounts, entry: WorkerEntry): void {
  Object.assign(target, entry.free)
  addAmounts(target, entry.stopping, 1)
  addAmounts(target, entry.held, -1)
}

function isSoft (task: TaskEntry): boolean {
  const { spec } = task.job.row
  return spec.priority === 'normal' && spec.checkpointable && spec.kind === 'batch'
}

function isHard (task: TaskEntry): boolean {
  return task.job.row.spec.priority === 'normal' && !isSoft(task)
}
