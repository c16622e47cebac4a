/** Finds workers with room without looking at all of them: workers lie in cells of similar free room. */
import type { Amounts } from './amounts.js'
import { hasRoom } from './amounts.js'
import type { WorkerEntry } from './workerEntry.js'

/** Workers of one pool and failure domain, with or without accelerators. */
export interface WorkerBucket {
  readonly pool: string
  readonly failureDomain: string
  readonly accelerated: boolean
  /** Cells by level of free processors. */
  readonly rows: Row[]
  size: number
}

/** Cells of one level of free processors that hold workers, with their levels of memory and accelerators. */
interface Row {
  readonly cells: Cell[]
}

interface Cell {
  readonly memoryLevel: number
  readonly acceleratorLevel: number
  readonly workers: WorkerEntry[]
}

/** Where a worker lies in an index. */
export interface IndexSlot {
  readonly partition: WorkerBucket
  readonly row: number
  readonly cell: Cell
  position: number
}

/** What is looked for, with its levels. */
export interface IndexQuery {
  readonly need: Amounts
  readonly row: number
  readonly memoryLevel: number
  readonly acceleratorLevel: number
}

/** Looks at a worker with room; returns `true` to end the search of the partition. */
export type CandidateVisitor = (worker: WorkerEntry) => boolean

/** Index of workers by one of their rooms. */
export interface PlacementIndex {
  /** Enters the worker or moves it to the cell of its present room. */
  setWorker: (worker: WorkerEntry) => void
  removeWorker: (worker: WorkerEntry) => void
  /** Partitions of a pool, or of all pools, with or without accelerators. */
  listBuckets: (pool: string | undefined, accelerated: boolean) => readonly WorkerBucket[]
  /** Visits workers with room for `need`, those with the fewest free processors first. */
  findCandidates: (partition: WorkerBucket, query: IndexQuery, visit: CandidateVisitor) => void
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
  const partitions = new Map<string, WorkerBucket>()
  const lists = new Map<string, WorkerBucket[]>()

  const listPartitions = (pool: string | undefined, accelerated: boolean): WorkerBucket[] => {
    const key = `${pool ?? '*'}\n${accelerated}`
    const found = lists.get(key)
    if (found) return found
    const created: WorkerBucket[] = []
    lists.set(key, created)
    return created
  }

  const getPartition = (worker: WorkerEntry): WorkerBucket => {
    const known = worker.known!
    const accelerated = worker.capacity.accelerators > 0
    const key = `${known.pool}\n${known.failureDomain}\n${accelerated}`
    const found = partitions.get(key)
    if (found) return found
    const rows = Array.from({ length: LEVELS }, () => ({ cells: [] }))
    const partition = { pool: known.pool, failureDomain: known.failureDomain, accelerated, rows, size: 0 }
    partitions.set(key, partition)
    listPartitions(undefined, accelerated).push(partition)
    listPartitions(known.pool, accelerated).push(partition)
    return partition
  }

  const removeWorker = (worker: WorkerEntry): void => {
    const slot = worker.slots[number]
    if (!slot) return
    worker.slots[number] = undefined
    const { workers } = slot.cell
    const last = workers.pop()!
    if (last !== worker) {
      workers[slot.position] = last
      last.slots[number]!.position = slot.position
    }
    if (workers.length === 0) removeCell(slot.partition.rows[slot.row]!, slot.cell)
    slot.partition.size -= 1
  }

  const setWorker = (worker: WorkerEntry): void => {
    const room = readRoom(worker)
    const partition = getPartition(worker)
    const row = computeLevel(room.processors, PROCESSOR_UNIT)
    const memoryLevel = computeLevel(room.memoryMb, MEMORY_UNIT_MB)
    const acceleratorLevel = computeAcceleratorLevel(room.accelerators)
    const slot = worker.slots[number]
    if (slot && slot.partition === partition && slot.row === row &&
      slot.cell.memoryLevel === memoryLevel && slot.cell.acceleratorLevel === acceleratorLevel) return
    removeWorker(worker)
    const cell = getCell(partition.rows[row]!, memoryLevel, acceleratorLevel)
    cell.workers.push(worker)
    worker.slots[number] = { partition, row, cell, position: cell.workers.length - 1 }
    partition.size += 1
  }

  const findCandidates = (partition: WorkerBucket, query: IndexQuery, visit: CandidateVisitor): void => {
    if (partition.size === 0) return
    for (let level = query.row; level < LEVELS; level++) {
      for (const cell of partition.rows[level]!.cells) {
        if (cell.memoryLevel < query.memoryLevel || cell.acceleratorLevel < query.acceleratorLevel) continue
        for (const worker of cell.workers) {
          if (hasRoom(readRoom(worker), query.need) && visit(worker)) return
        }
      }
    }
  }

  return { setWorker, removeWorker, listBuckets: listPartitions, findCandidates }
}

/** Computes the levels of a need once for many searches. */
export function createIndexQuery (need: Amounts): IndexQuery {
  return {
    need,
    row: computeLevel(need.processors, PROCESSOR_UNIT),
    memoryLevel: computeLevel(need.memoryMb, MEMORY_UNIT_MB),
    acceleratorLevel: computeAcceleratorLevel(need.accelerators)
  }
}

function getCell (row: Row, memoryLevel: number, acceleratorLevel: number): Cell {
  for (const cell of row.cells) {
    if (cell.memoryLevel === memoryLevel && cell.acceleratorLevel === acceleratorLevel) return cell
  }
  const created = { memoryLevel, acceleratorLevel, workers: [] }
  row.cells.push(created)
  return created
}

function removeCell (row: Row, cell: Cell): void {
  const last = row.cells.pop()!
  if (last !== cell) row.cells[row.cells.indexOf(cell)] = last
}

function computeAcceleratorLevel (accelerators: number): number {
  return Math.max(0, Math.min(ACCELERATOR_LEVELS - 1, accelerators))
}

function computeLevel (amount: number, unit: number): number {
  if (amount < unit) return 0
  return Math.min(LEVELS - 1, 1 + Math.floor(LEVELS_PER_OCTAVE * Math.log2(amount / unit)))
}
