/** Index of workers by room: workers are binned by logarithmic levels, so that a search skips those without room. */
import type { Amounts } from './amounts.js'
import { hasRoom } from './amounts.js'
import type { WorkerEntry } from './workerEntry.js'

/** Workers of one pool and failure domain, with or without accelerators. */
export interface WorkerBucket {
  readonly pool: string
  readonly failureDomain: string
  readonly accelerated: boolean
  /** Indexed by level of free processors. */
  readonly processorLevels: ProcessorLevel[]
  size: number
}

/** Non-empty bins of one level of free processors, one for each pair of memory and accelerator levels. */
interface ProcessorLevel {
  readonly bins: LevelBin[]
}

interface LevelBin {
  readonly memoryLevel: number
  readonly acceleratorLevel: number
  readonly workers: WorkerEntry[]
}

/** Position of a worker in an index, for removal in constant time. */
export interface IndexSlot {
  readonly bucket: WorkerBucket
  readonly processorLevel: number
  readonly bin: LevelBin
  position: number
}

/** Resources to search for, with their precomputed levels. */
export interface IndexQuery {
  readonly need: Amounts
  readonly processorLevel: number
  readonly memoryLevel: number
  readonly acceleratorLevel: number
}

/** Visits a worker with room; returns `true` to end the search of the bucket. */
export type CandidateVisitor = (worker: WorkerEntry) => boolean

/** Index of workers by their free room, or by their room under other assumptions such as preemption. */
export interface PlacementIndex {
  /** Adds the worker or moves it to the bin of its current room. */
  setWorker: (worker: WorkerEntry) => void
  removeWorker: (worker: WorkerEntry) => void
  /** Buckets of a pool, or of all pools, with or without accelerators. */
  listBuckets: (pool: string | undefined, accelerated: boolean) => readonly WorkerBucket[]
  /** Visits the workers that fit the query's need, in ascending order of their level of free processors. */
  findCandidates: (bucket: WorkerBucket, query: IndexQuery, visit: CandidateVisitor) => void
}

/** Options of an index. */
export interface PlacementIndexOptions {
  /** Position of this index in `WorkerEntry.slots`. */
  readonly number: number
  /** Reads the amounts by which workers are indexed. */
  readonly readRoom: (worker: WorkerEntry) => Amounts
}

const LEVELS = 64
/** Levels per doubling: neighbouring levels differ by about a fifth. */
const LEVELS_PER_OCTAVE = 4
const PROCESSOR_LEVEL_UNIT_MILLICORES = 100
const MEMORY_LEVEL_UNIT_MB = 64
const ACCELERATOR_LEVELS = 32

/** Creates an empty index. */
export function createPlacementIndex (options: PlacementIndexOptions): PlacementIndex {
  const { number, readRoom } = options
  const buckets = new Map<string, WorkerBucket>()
  const bucketsByPool = new Map<string, WorkerBucket[]>()

  const listBuckets = (pool: string | undefined, accelerated: boolean): WorkerBucket[] => {
    const key = `${pool ?? '*'}\n${accelerated}`
    const found = bucketsByPool.get(key)
    if (found) return found
    const created: WorkerBucket[] = []
    bucketsByPool.set(key, created)
    return created
  }

  const getBucket = (worker: WorkerEntry): WorkerBucket => {
    const description = worker.description!
    const accelerated = worker.capacity.accelerators > 0
    const key = `${description.pool}\n${description.failureDomain}\n${accelerated}`
    const found = buckets.get(key)
    if (found) return found
    const processorLevels = Array.from({ length: LEVELS }, () => ({ bins: [] }))
    const bucket = { pool: description.pool, failureDomain: description.failureDomain, accelerated, processorLevels, size: 0 }
    buckets.set(key, bucket)
    listBuckets(undefined, accelerated).push(bucket)
    listBuckets(description.pool, accelerated).push(bucket)
    return bucket
  }

  const removeWorker = (worker: WorkerEntry): void => {
    const slot = worker.slots[number]
    if (!slot) return
    worker.slots[number] = undefined
    const { workers } = slot.bin
    const last = workers.pop()!
    if (last !== worker) {
      workers[slot.position] = last
      last.slots[number]!.position = slot.position
    }
    if (workers.length === 0) removeBin(slot.bucket.processorLevels[slot.processorLevel]!, slot.bin)
    slot.bucket.size -= 1
  }

  const setWorker = (worker: WorkerEntry): void => {
    const room = readRoom(worker)
    const bucket = getBucket(worker)
    const processorLevel = computeLevel(room.processors, PROCESSOR_LEVEL_UNIT_MILLICORES)
    const memoryLevel = computeLevel(room.memoryMb, MEMORY_LEVEL_UNIT_MB)
    const acceleratorLevel = computeAcceleratorLevel(room.accelerators)
    const slot = worker.slots[number]
    if (slot && slot.bucket === bucket && slot.processorLevel === processorLevel &&
      slot.bin.memoryLevel === memoryLevel && slot.bin.acceleratorLevel === acceleratorLevel) return
    removeWorker(worker)
    const bin = getBin(bucket.processorLevels[processorLevel]!, memoryLevel, acceleratorLevel)
    bin.workers.push(worker)
    worker.slots[number] = { bucket, processorLevel, bin, position: bin.workers.length - 1 }
    bucket.size += 1
  }

  const findCandidates = (bucket: WorkerBucket, query: IndexQuery, visit: CandidateVisitor): void => {
    if (bucket.size === 0) return
    for (let level = query.processorLevel; level < LEVELS; level++) {
      for (const bin of bucket.processorLevels[level]!.bins) {
        if (bin.memoryLevel < query.memoryLevel || bin.acceleratorLevel < query.acceleratorLevel) continue
        for (const worker of bin.workers) {
          if (hasRoom(readRoom(worker), query.need) && visit(worker)) return
        }
      }
    }
  }

  return { setWorker, removeWorker, listBuckets, findCandidates }
}

/** Computes the levels of a need, for use in many searches. */
export function createIndexQuery (need: Amounts): IndexQuery {
  return {
    need,
    processorLevel: computeLevel(need.processors, PROCESSOR_LEVEL_UNIT_MILLICORES),
    memoryLevel: computeLevel(need.memoryMb, MEMORY_LEVEL_UNIT_MB),
    acceleratorLevel: computeAcceleratorLevel(need.accelerators)
  }
}

function getBin (processorLevel: ProcessorLevel, memoryLevel: number, acceleratorLevel: number): LevelBin {
  for (const bin of processorLevel.bins) {
    if (bin.memoryLevel === memoryLevel && bin.acceleratorLevel === acceleratorLevel) return bin
  }
  const created = { memoryLevel, acceleratorLevel, workers: [] }
  processorLevel.bins.push(created)
  return created
}

function removeBin (processorLevel: ProcessorLevel, bin: LevelBin): void {
  const last = processorLevel.bins.pop()!
  if (last !== bin) processorLevel.bins[processorLevel.bins.indexOf(bin)] = last
}

function computeAcceleratorLevel (accelerators: number): number {
  return Math.max(0, Math.min(ACCELERATOR_LEVELS - 1, accelerators))
}

function computeLevel (amount: number, unit: number): number {
  if (amount < unit) return 0
  return Math.min(LEVELS - 1, 1 + Math.floor(LEVELS_PER_OCTAVE * Math.log2(amount / unit)))
}
