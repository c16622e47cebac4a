/** Chooses a worker for one task: best fit over processors, memory and accelerators together. */
import { hasRoom } from '../vm/amounts.js'
import type { WorkerBucket, PlacementIndex } from '../vm/placementIndex.js'
import { hasBalancedRoom, type WorkerEntry } from '../vm/workerEntry.js'
import { hasCapacityFor, hasUnreservedRoom } from '../vm/workerPool.js'
import type { LosingCandidate } from './cellScheduler.js'
import type { CellState } from './cellState.js'
import type { JobEntry } from './jobEntry.js'
import type { Shape } from './lane.js'

/** The chosen worker and why. */
export interface Placement {
  readonly worker: WorkerEntry
  readonly reason: string
  readonly losers: readonly LosingCandidate[]
  /** Whether the task makes way when the reservation needs the room. */
  readonly filler?: boolean
}

/** Candidates compared in all partitions together, and in each of many. */
const CANDIDATES = 32
const LEAST_CANDIDATES = 6
const MAX_LOSERS = 3
const RACK_PENALTY = 10

/** Best candidate so far. */
interface Choice {
  worker: WorkerEntry | undefined
  score: number
  readonly losers: LosingCandidate[]
}

/** Workers of an index with or without accelerators; earlier sources go first. */
interface Source {
  readonly index: PlacementIndex
  readonly accelerated: boolean
}

type Filter = (worker: WorkerEntry) => boolean

/** Chooses among the workers that no reservation holds room on. */
export function chooseOpenWorker (state: CellState, job: JobEntry): Placement | undefined {
  const { unreserved: open, cpuOnly: spare } = state.workers
  const { shape } = job
  const beside = fitsPlainWorker(state, shape) ? spare : open
  const sources = shape.need.accelerators > 0
    ? [{ index: open, accelerated: true }]
    : [{ index: open, accelerated: false }, { index: beside, accelerated: true }]
  const choice = chooseAvoiding(job, sources, (worker) => beside === open || canTakeBeside(job, worker))
  return choice && { ...choice, reason: describeOpen(job) }
}

/**
 * Chooses among the workers with reservations: beside the held room, or within it by a task
 * that is expected to end before the room is due.
 */
export function chooseBackfill (state: CellState, job: JobEntry): Placement | undefined {
  const { reserved } = state.workers
  const { need } = job.shape
  const endMs = computeBackfillEnd(state, job)
  const urgent = job.row.spec.priority === 'urgent'
  const plain = need.accelerators === 0 && fitsPlainWorker(state, job.shape)
  const sources = [{ index: reserved, accelerated: false }, { index: reserved, accelerated: true }]
  const choice = chooseAvoiding(job, sources, (worker) => {
    if (!hasUnreservedRoom(worker, need) && !canUseHeld(state, worker, endMs, urgent)) return false
    return !plain || (hasRoom(worker.cpuOnlyRoom, need) && canTakeBeside(job, worker))
  })
  if (!choice) return undefined
  const filler = endMs === state.nowMs && !hasUnreservedRoom(choice.worker, need)
  const reason = filler
    ? 'filler: in reserved room until it is needed'
    : 'backfill: room beside reservations, or free before they are due'
  return { ...choice, reason, filler }
}

/** When a task would leave held room; a checkpointable one leaves it whenever it is needed. */
function computeBackfillEnd (state: CellState, job: JobEntry): number {
  return isFillerJob(job) ? state.nowMs : state.nowMs + state.estimates.estimateRunTime(job)
}

/** Tells whether tasks of the job may run in held room until it is needed. */
export function isFillerJob (job: JobEntry): boolean {
  const { checkpointable, kind, priority } = job.row.spec
  return checkpointable && kind === 'batch' && priority === 'normal'
}

/** Tells whether a task ending at `endMs` may use room that reservations hold on the worker. */
function canUseHeld (state: CellState, worker: WorkerEntry, endMs: number, urgent: boolean): boolean {
  for (const reservation of worker.reservations.keys()) {
    if (reservation.urgent || reservation.closing) return false
    if (!urgent && endMs > Math.max(state.nowMs, reservation.freeAtMs)) return false
  }
  return true
}

/** Tells whether a task that other VMs can hold too may take room beside accelerators; services and urgent work always may. */
function canTakeBeside (job: JobEntry, worker: WorkerEntry): boolean {
  const { kind, priority } = job.row.spec
  if (worker.capacity.accelerators === 0 || kind === 'service' || priority === 'urgent') return true
  return hasBalancedRoom(worker, job.shape.need)
}

/** Workers that tasks of the job failed on come last. */
function chooseAvoiding (
  job: JobEntry, sources: readonly Source[], filter: Filter
): Omit<Placement, 'reason'> | undefined {
  if (job.failedOn.size === 0) return chooseFrom(job, sources, filter)
  const trusted = chooseFrom(job, sources, (worker) => !job.failedOn.has(worker.id) && filter(worker))
  return trusted ?? chooseFrom(job, sources, filter)
}

function chooseFrom (
  job: JobEntry, sources: readonly Source[], filter: Filter
): Omit<Placement, 'reason'> | undefined {
  const isService = job.row.spec.kind === 'service'
  const choice: Choice = { worker: undefined, score: Infinity, losers: [] }
  for (const { index, accelerated } of sources) {
    const candidates = index.listBuckets(job.shape.pool, accelerated)
    const limit = Math.max(LEAST_CANDIDATES, Math.ceil(CANDIDATES / candidates.length))
    for (const partition of isService ? sortForSpread(candidates, job) : candidates) {
      updateChoice(choice, job, index, partition, filter, limit)
      if (isService && choice.worker) break
    }
    if (choice.worker) return { worker: choice.worker, losers: choice.losers }
  }
  return undefined
}

/** Failure domains with the fewest tasks of the job come first. */
function sortForSpread (partitions: readonly WorkerBucket[], job: JobEntry): WorkerBucket[] {
  const countTasks = (partition: WorkerBucket): number => job.spread.get(partition.failureDomain) ?? 0
  return [...partitions].sort((a, b) => countTasks(a) - countTasks(b))
}

function updateChoice (
  choice: Choice, job: JobEntry, index: PlacementIndex, partition: WorkerBucket, filter: Filter, limit: number
): void {
  let compared = 0
  index.findCandidates(partition, job.shape.query, (worker) => {
    if (!filter(worker)) return false
    compared += 1
    compareCandidate(choice, job, worker)
    return compared >= limit
  })
}

function compareCandidate (choice: Choice, job: JobEntry, worker: WorkerEntry): void {
  const score = computeScore(job, worker)
  if (score >= choice.score) {
    if (choice.losers.length < MAX_LOSERS) choice.losers.push({ worker: worker.id, reason: 'leaves more room unused' })
    return
  }
  if (choice.worker) {
    choice.losers.unshift({ worker: choice.worker.id, reason: 'leaves more room unused' })
    choice.losers.length = Math.min(choice.losers.length, MAX_LOSERS)
  }
  choice.worker = worker
  choice.score = score
}

/** Room left over, as parts of the VM, with uneven leftovers and used racks counted against it. */
function computeScore (job: JobEntry, worker: WorkerEntry): number {
  const { need } = job.shape
  const { capacity, free } = worker
  const processors = (free.processors - need.processors) / Math.max(1, capacity.processors)
  const memory = (free.memoryMb - need.memoryMb) / Math.max(1, capacity.memoryMb)
  const accelerators = (free.accelerators - need.accelerators) / Math.max(1, capacity.accelerators)
  const leftover = processors + memory + accelerators + Math.abs(processors - memory)
  if (job.row.spec.kind !== 'service') return leftover
  const { failureDomain, rack } = worker.known!
  return leftover + RACK_PENALTY * (job.spread.get(`${failureDomain}/${rack}`) ?? 0)
}

/** Accelerator VMs are kept for the work that needs them, unless a task fits nowhere else. */
function fitsPlainWorker (state: CellState, shape: Shape): boolean {
  if (shape.fitsPlainAt !== state.workersVersion) {
    shape.fitsPlainAt = state.workersVersion
    shape.fitsPlain = hasPlainWorkerFor(state, shape)
  }
  return shape.fitsPlain
}

function hasPlainWorkerFor (state: CellState, shape: Shape): boolean {
  for (const worker of state.workers.listWorkers()) {
    if (worker.capacity.accelerators === 0 && hasCapacityFor(worker, shape)) return true
  }
  return false
}

function describeOpen (job: JobEntry): string {
  if (job.row.spec.kind === 'service') return 'failure domain and rack with the fewest tasks of the service'
  return 'least room left unused'
}
