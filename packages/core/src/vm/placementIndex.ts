/** Finds workers with room without looking at all of them: workers lie in cells of similar free room. */
import type { Amounts } from './amounts.js'
import { hasRoom } from './amounts.js'
import type { WorkerEntry } from './workerEntry.js'

/** Workers of one pool and failure domain, with or without accelerators. */
export interface Partition {
  readonly pool: string
  readonly failureDomain: string
  readonly accelerated: boolean
  /** Cells by level of free processors, then by memory and accelerators. */
  readonly rows: Map<number, WorkerEntry[]>[]
  size: number
}

/** Where a worker lies in an index. */
export interface IndexSlot {
  readonly partition: Partition
  readonly row: number
  readonly cell: number
  position: number
}

/** Looks at a worker with room; returns `true` to end the search of the partition. */
export type CandidateVisitor = (worker: WorkerEntry) => boolean

/** Index of workers by one of their rooms. */
export interface PlacementIndex {
  /** Enters the worker or moves it to the cell of its present room. */
  setWorker: (worker: WorkerEntry) => void
  removeWorker: (worker: WorkerEntry) => void
  listPartitions: () => readonly Partition[]
  /** Visits workers with room for `need`, those with the fewest free processors first. */
  findCandidates: (partition: Partition, need: Amounts, visit: CandidateVisitor) => void
}

/** Options of an index. */
export interface PlacementIndexOptions {
  /** Number of this index, its place in `WorkerEntry.slots`. */
  readonly number: number
  /** The room by which workers are found. */
  readonly readRoom: (worker: WorkerEntry) => Amounts
}

const LEVELS = 64
/** Cells an octave: neighbouring levels differ by a fifth. */
const LEVELS_PER_OCTAVE = 4
const PROCESSOR_UNIT = 100
const MEMORY_UNIT_MB = 64
const ACCELERATOR_LEVELS = 32

/** Creates an empty index. */
export function createPlacementIndex (options: PlacementIndexOptions): PlacementIndex {
  const { number, readRoom } = options
  const partitions = new Map<string, Partition>()
  const partitionList: Partition[] = []

  const getPartition = (worker: WorkerEntry): Partition => {
    const known = worker.known!
    const accelerated = worker.capacity.accelerators > 0
    const key = `${known.pool}\n${known.failureDomain}\n${accelerated}`
    const found = partitions.get(key)
    if (found) return found
    const rows = Array.from({ length: LEVELS }, () => new Map<number, WorkerEntry[]>())
    const partition = { pool: known.pool, failureDomain: known.failureDomain, accelerated, rows, size: 0 }
    partitions.set(key, partition)
    partitionList.push(partition)
    return partition
  }

  const removeWorker = (worker: WorkerEntry): void => {
    const slot = worker.slots[number]
    if (!slot) return
    worker.slots[number] = undefined
    const row = slot.partition.rows[slot.row]!
    const cell = row.get(slot.cell)!
    const last = cell.pop()!
    if (last !== worker) {
      cell[slot.position] = last
      last.slots[number]!.position = slot.position
    }
    if (cell.length === 0) row.delete(slot.cell)
    slot.partition.size -= 1
  }

  const setWorker = (worker: WorkerEntry): void => {
    const room = readRoom(worker)
    const partition = getPartition(worker)
    const row = computeLevel(room.processors, PROCESSOR_UNIT)
    const cell = computeCell(room)
    const slot = worker.slots[number]
    if (slot && slot.partition === partition && slot.row === row && slot.cell === cell) return
    removeWorker(worker)
    const cells = partition.rows[row]!
    const workers = cells.get(cell)
    if (workers) workers.push(worker)
    else cells.set(cell, [worker])
    worker.slots[number] = { partition, row, cell, position: (workers?.length ?? 1) - 1 }
    partition.size += 1
  }

  const findCandidates = (partition: Partition, need: Amounts, visit: CandidateVisitor): void => {
    if (partition.size === 0) return
    const lowestMemory = computeLevel(need.memoryMb, MEMORY_UNIT_MB)
    const fewestAccelerators = computeAcceleratorLevel(need.accelerators)
    for (let level = computeLevel(need.processors, PROCESSOR_UNIT); level < LEVELS; level++) {
      for (const [cell, workers] of partition.rows[level]!) {
        if (Math.floor(cell / ACCELERATOR_LEVELS) < lowestMemory) continue
        if (cell % ACCELERATOR_LEVELS < fewestAccelerators) continue
        for (const worker of workers) {
          if (hasRoom(readRoom(worker), need) && visit(worker)) return
        }
      }
    }
  }

  return { setWorker, removeWorker, listPartitions: () => partitionList, findCandidates }
}

function computeCell (room: Amounts): number {
  return computeLevel(room.memoryMb, MEMORY_UNIT_MB) * ACCELERATOR_LEVELS + computeAcceleratorLevel(room.accelerators)
}

function computeAcceleratorLevel (accelerators: number): number {
  return Math.max(0, Math.min(ACCELERATOR_LEVELS - 1, accelerators))
}

function computeLevel (amount: number, unit: number): number {
  if (amount < unit) return 0
  return Math.min(LEVELS - 1, 1 + Math.floor(LEVELS_PER_OCTAVE * Math.log2(amount / unit)))
}
