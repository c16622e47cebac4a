/** Room of the workers for reservations in one planning round, in flat arrays: a search goes through all workers. */
import { addResources, NO_RESOURCES, subtractResources, type Resources } from '../schema/resources.js'
import { ACCELERATOR_CORES } from './constants.js'
import { computeFree, computeTaskResources, type PartitionWorker } from './partitionWorker.js'
import type { Task } from './jobState.js'
import type { PlanningRound } from './planningRound.js'
import { computeSize, mayBePreempted } from './preemption.js'
import { MEMORY_PER_CORE_MB } from './stepPlacement.js'

/** A task that may be preempted for more urgent ones. */
export interface PreemptibleTask {
  readonly task: Task
  readonly resources: Resources
  readonly size: number
}

/** Tasks at a worker as they were at the start of the round. */
interface WorkerTasks {
  /** Resources that will be released by stops in progress. */
  readonly stopping: Resources
  /** Smallest first. */
  readonly preemptible: readonly PreemptibleTask[]
}

/** Rooms of all workers of a round; workers go by their index in it. */
export interface ReservationRooms {
  /** Brings the workers that have changed in the round up to date. */
  update: () => void
  /** Resources that `need` lacks at a worker, in cores; infinite if it doesn't fit the worker's capacity less what is reserved. */
  computeShortfall: (index: number, need: Resources) => number
  /** The same for all workers. */
  listShortfalls: (need: Resources) => Float64Array
  /** Resources that are left after `need`; negative components are missing. */
  computeLeft: (index: number, need: Resources) => Resources
  /** Whether `need` could fit if all tasks that may be preempted for anything were. */
  mayFree: (index: number, need: Resources) => boolean
  readPreemptible: (index: number) => readonly PreemptibleTask[]
  /** Counts tasks that will be preempted as room, until `dropChosen`. */
  addChosen: (index: number, tasks: readonly PreemptibleTask[]) => void
  readChosen: (index: number) => readonly PreemptibleTask[]
  dropChosen: () => void
}

/** Units of processors in a core; whole numbers need no rounding after each sum. */
const UNITS_PER_CORE = 1e6

const NO_TASKS: readonly PreemptibleTask[] = []
const NO_WORKER_TASKS: WorkerTasks = { stopping: NO_RESOURCES, preemptible: NO_TASKS }

function collectTasks (worker: PartitionWorker): WorkerTasks {
  if (worker.tasks.size === 0) return NO_WORKER_TASKS
  let stopping = NO_RESOURCES
  const preemptible: PreemptibleTask[] = []
  for (const task of worker.tasks) {
    if (task.stopping) stopping = addResources(stopping, computeTaskResources(task.definition))
    else if (mayBePreempted(task, -Infinity)) {
      const resources = computeTaskResources(task.definition)
      preemptible.push({ task, resources, size: computeSize(resources) })
    }
  }
  if (preemptible.length > 1) preemptible.sort((a, b) => a.size - b.size)
  return { stopping, preemptible }
}

/** Amounts by index. */
function createAmounts (count: number) {
  const units = new Float64Array(count)
  const memoryMb = new Float64Array(count)
  const accelerators = new Float64Array(count)
  const set = (index: number, amount: Resources): void => {
    units[index] = Math.round(amount.processors * UNITS_PER_CORE)
    memoryMb[index] = amount.memoryMb
    accelerators[index] = amount.accelerators
  }
  return { units, memoryMb, accelerators, set }
}

/** Creates the rooms of a round. */
export function createReservationRooms (round: PlanningRound): ReservationRooms {
  const { workers, changes } = round
  const tasks = workers.map((worker) => {
    round.addEvaluations(1 + worker.tasks.size)
    return collectTasks(worker)
  })
  /** Capacity less what is reserved. */
  const unreserved = createAmounts(workers.length)
  /** The same less what is in use and not about to be released. */
  const room = createAmounts(workers.length)
  /** Sum of the tasks that may be preempted. */
  const preemptible = createAmounts(workers.length)
  const chosen = new Map<number, PreemptibleTask[]>()
  let changesSeen = changes.length

  const updateWorker = (index: number): void => {
    const worker = workers[index]!
    const reserved = round.readReserved(index)
    let free = addResources(computeFree(worker), tasks[index]!.stopping)
    for (const { resources } of chosen.get(index) ?? NO_TASKS) free = addResources(free, resources)
    unreserved.set(index, subtractResources(worker.info.capacity, reserved))
    room.set(index, subtractResources(free, reserved))
  }
  for (let index = 0; index < workers.length; index++) {
    updateWorker(index)
    preemptible.set(index, tasks[index]!.preemptible.reduce((sum, { resources }) => addResources(sum, resources), NO_RESOURCES))
  }

  const computeShortfall = (index: number, { processors, memoryMb, accelerators }: Resources): number => {
    const units = Math.round(processors * UNITS_PER_CORE)
    if (units > unreserved.units[index]! || memoryMb > unreserved.memoryMb[index]! || accelerators > unreserved.accelerators[index]!) return Infinity
    return Math.max(0, units - room.units[index]!) / UNITS_PER_CORE +
      Math.max(0, accelerators - room.accelerators[index]!) * ACCELERATOR_CORES +
      Math.max(0, memoryMb - room.memoryMb[index]!) / MEMORY_PER_CORE_MB
  }

  return {
    update: () => {
      for (; changesSeen < changes.length; changesSeen++) updateWorker(changes[changesSeen]!)
    },
    computeShortfall,
    listShortfalls: (need) => {
      const shortfalls = new Float64Array(workers.length)
      for (let index = 0; index < shortfalls.length; index++) shortfalls[index] = computeShortfall(index, need)
      return shortfalls
    },
    computeLeft: (index, need) => subtractResources({
      processors: room.units[index]! / UNITS_PER_CORE,
      memoryMb: room.memoryMb[index]!,
      accelerators: room.accelerators[index]!
    }, need),
    mayFree: (index, { processors, memoryMb, accelerators }) => {
      return processors * UNITS_PER_CORE <= room.units[index]! + preemptible.units[index]! + 1 &&
        memoryMb <= room.memoryMb[index]! + preemptible.memoryMb[index]! &&
        accelerators <= room.accelerators[index]! + preemptible.accelerators[index]!
    },
    readPreemptible: (index) => tasks[index]!.preemptible,
    addChosen: (index, more) => { chosen.set(index, [...chosen.get(index) ?? NO_TASKS, ...more]) },
    readChosen: (index) => chosen.get(index) ?? NO_TASKS,
    dropChosen: () => {
      for (const index of chosen.keys()) round.recordChange(index)
      chosen.clear()
    }
  }
}
