/** Chooses a worker for one task: best fit over processors, memory and accelerators together. */
import { hasRoom } from '../vm/amounts.js'
import type { Partition, PlacementIndex } from '../vm/placementIndex.js'
import type { WorkerEntry } from '../vm/workerEntry.js'
import { computeUnheld, hasCapacityFor } from '../vm/workerPool.js'
import type { LosingCandidate } from './cellScheduler.js'
import type { CellState } from './cellState.js'
import type { JobEntry } from './jobEntry.js'
import type { Shape } from './lane.js'

/** The chosen worker and why. */
export interface Placement {
  readonly worker: WorkerEntry
  readonly reason: string
  readonly losers: readonly LosingCandidate[]
}

/** Candidates compared in one partition. */
const CANDIDATES_PER_PARTITION = 24
const MAX_LOSERS = 3
/**
 * Part of an accelerator VM's processors and memory for each free accelerator that work without
 * accelerators leaves alone.
 */
const KEPT_FOR_ACCELERATORS = 0.5
const RACK_PENALTY = 10

/** Best candidate so far. */
interface Choice {
  worker: WorkerEntry | undefined
  score: number
  readonly losers: LosingCandidate[]
}

type Filter = (worker: WorkerEntry) => boolean

/** Chooses among the workers that no reservation holds room on. */
export function chooseOpenWorker (state: CellState, job: JobEntry): Placement | undefined {
  const choice = chooseAvoiding(state, job, state.workers.open, (worker) => isKeptOpen(state, worker, job.shape))
  return choice && { ...choice, reason: describeOpen(job) }
}

/**
 * Chooses among the workers with reservations: beside the held room, or within it by a task
 * that is expected to end before the room is due.
 */
export function chooseBackfill (state: CellState, job: JobEntry): Placement | undefined {
  const endMs = state.nowMs + state.estimates.estimateRunTime(job)
  const urgent = job.row.spec.priority === 'urgent'
  const choice = chooseAvoiding(state, job, state.workers.reserved, (worker) => {
    if (!hasRoom(computeUnheld(worker), job.shape.need) && !canUseHeld(worker, endMs, urgent)) return false
    return isKeptOpen(state, worker, job.shape)
  })
  return choice && { ...choice, reason: 'backfill: room beside reservations, or free before they are due' }
}

/** Tells whether a task ending at `endMs` may use room that reservations hold on the worker. */
function canUseHeld (worker: WorkerEntry, endMs: number, urgent: boolean): boolean {
  for (const reservation of worker.reservations.keys()) {
    if (reservation.urgent) return false
    if (!urgent && endMs > reservation.freeAtMs) return false
  }
  return true
}

/** Workers that tasks of the job failed on come last. */
function chooseAvoiding (
  state: CellState, job: JobEntry, index: PlacementIndex, filter: Filter
): Omit<Placement, 'reason'> | undefined {
  if (job.failedOn.size === 0) return chooseFrom(state, job, index, filter)
  const trusted = chooseFrom(state, job, index, (worker) => !job.failedOn.has(worker.id) && filter(worker))
  return trusted ?? chooseFrom(state, job, index, filter)
}

function chooseFrom (
  state: CellState, job: JobEntry, index: PlacementIndex, filter: Filter
): Omit<Placement, 'reason'> | undefined {
  const { shape } = job
  const partitions = index.listPartitions().filter((partition) => isCandidatePartition(partition, shape))
  const isService = job.row.spec.kind === 'service'
  if (isService) sortForSpread(partitions, job)
  const choice: Choice = { worker: undefined, score: Infinity, losers: [] }
  for (const accelerated of [false, true]) {
    for (const partition of partitions) {
      if (partition.accelerated !== accelerated) continue
      updateChoice(choice, job, index, partition, filter)
      if (isService && choice.worker) break
    }
    if (choice.worker) return { worker: choice.worker, losers: choice.losers }
  }
  return undefined
}

function isCandidatePartition (partition: Partition, shape: Shape): boolean {
  if (partition.size === 0) return false
  if (shape.need.accelerators > 0 && !partition.accelerated) return false
  return shape.pool === undefined || partition.pool === shape.pool
}

/** Failure domains with the fewest tasks of the job come first. */
function sortForSpread (partitions: Partition[], job: JobEntry): void {
  const countTasks = (partition: Partition): number => job.spread.get(partition.failureDomain) ?? 0
  partitions.sort((a, b) => countTasks(a) - countTasks(b))
}

function updateChoice (
  choice: Choice, job: JobEntry, index: PlacementIndex, partition: Partition, filter: Filter
): void {
  let compared = 0
  index.findCandidates(partition, job.shape.need, (worker) => {
    if (!filter(worker)) return false
    compared += 1
    compareCandidate(choice, job, worker)
    return compared >= CANDIDATES_PER_PARTITION
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

/** Keeps accelerator VMs for the work that needs them, unless the task fits nowhere else. */
function isKeptOpen (state: CellState, worker: WorkerEntry, shape: Shape): boolean {
  const { capacity, free } = worker
  if (shape.need.accelerators > 0 || capacity.accelerators === 0 || free.accelerators <= 0) return true
  const kept = KEPT_FOR_ACCELERATORS * free.accelerators / capacity.accelerators
  const leavesKept = free.processors - shape.need.processors >= kept * capacity.processors &&
    free.memoryMb - shape.need.memoryMb >= kept * capacity.memoryMb
  return leavesKept || !fitsPlainWorker(state, shape)
}

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
