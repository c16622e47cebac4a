/** Chooses a worker for one task: best fit over processors, memory and accelerators together. */
import { hasRoom } from '../vm/amounts.js'
import type { WorkerBucket, PlacementIndex } from '../vm/placementIndex.js'
import { hasBalancedRoom, type WorkerEntry } from '../vm/workerEntry.js'
import { hasCapacityFor, hasUnreservedRoom } from '../vm/workerRegistry.js'
import type { RejectedCandidate } from './cellScheduler.js'
import type { CellState } from './cellState.js'
import type { JobEntry } from './jobEntry.js'
import type { Shape } from './lane.js'

/** The chosen worker, the reason for the choice and the rejected candidates. */
export interface Placement {
  readonly worker: WorkerEntry
  readonly reason: string
  readonly rejected: readonly RejectedCandidate[]
  /** Whether the task is preempted when the reservation needs its room. */
  readonly filler?: boolean
}

/** Candidates to compare over all buckets, and at least in each bucket. */
const MAX_CANDIDATES = 32
const MIN_CANDIDATES_PER_BUCKET = 6
const MAX_REJECTED_CANDIDATES = 3
const RACK_TASK_PENALTY = 10

/** Best candidate so far; a lower score is better. */
interface BestCandidate {
  worker: WorkerEntry | undefined
  score: number
  readonly rejected: RejectedCandidate[]
}

/** Workers of an index with or without accelerators; earlier sources take precedence. */
interface CandidateSource {
  readonly index: PlacementIndex
  readonly accelerated: boolean
}

type WorkerFilter = (worker: WorkerEntry) => boolean

/** Chooses among the workers without reservations. */
export function chooseUnreservedWorker (state: CellState, job: JobEntry): Placement | undefined {
  const { unreserved, byCpuOnlyRoom } = state.workers
  const { shape } = job
  const acceleratedIndex = fitsCpuOnlyWorker(state, shape) ? byCpuOnlyRoom : unreserved
  const sources = shape.need.accelerators > 0
    ? [{ index: unreserved, accelerated: true }]
    : [{ index: unreserved, accelerated: false }, { index: acceleratedIndex, accelerated: true }]
  const choice = chooseAvoidingFailedWorkers(job, sources, (worker) => acceleratedIndex === unreserved || canUseCpuOnlyRoom(job, worker))
  return choice && { ...choice, reason: describeUnreservedPlacement(job) }
}

/**
 * Chooses among the workers with reservations (backfill): a task uses unreserved room, or reserved room
 * if it is expected to end before the reservation needs it.
 */
export function chooseBackfill (state: CellState, job: JobEntry): Placement | undefined {
  const { reserved } = state.workers
  const { need } = job.shape
  const endMs = estimateBackfillEnd(state, job)
  const urgent = job.row.spec.priority === 'urgent'
  const prefersCpuOnlyWorker = need.accelerators === 0 && fitsCpuOnlyWorker(state, job.shape)
  const sources = [{ index: reserved, accelerated: false }, { index: reserved, accelerated: true }]
  const choice = chooseAvoidingFailedWorkers(job, sources, (worker) => {
    if (!hasUnreservedRoom(worker, need) && !canUseReservedRoom(state, worker, endMs, urgent)) return false
    return !prefersCpuOnlyWorker || (hasRoom(worker.cpuOnlyRoom, need) && canUseCpuOnlyRoom(job, worker))
  })
  if (!choice) return undefined
  const filler = endMs === state.nowMs && !hasUnreservedRoom(choice.worker, need)
  const reason = filler
    ? 'filler: in reserved room until it is needed'
    : 'backfill: room beside reservations, or free before they are due'
  return { ...choice, reason, filler }
}

/** Estimates when a task would release reserved room; a filler releases it on demand. */
function estimateBackfillEnd (state: CellState, job: JobEntry): number {
  return isFillerJob(job) ? state.nowMs : state.nowMs + state.estimates.estimateRunTime(job)
}

/** Checks whether tasks of the job may run as fillers in reserved room. */
export function isFillerJob (job: JobEntry): boolean {
  const { checkpointable, kind, priority } = job.row.spec
  return checkpointable && kind === 'batch' && priority === 'normal'
}

/**
 * Checks whether a task that ends at `endMs` may use reserved room on the worker. Room reserved for urgent work, or by a
 * reservation that stops its fillers, is not used; other reserved room is open to urgent tasks whenever they end.
 */
function canUseReservedRoom (state: CellState, worker: WorkerEntry, endMs: number, urgent: boolean): boolean {
  for (const reservation of worker.reservations.keys()) {
    if (reservation.urgent || reservation.closing) return false
    if (!urgent && endMs > Math.max(state.nowMs, reservation.freeAtMs)) return false
  }
  return true
}

/** Checks whether a task that also fits on VMs without accelerators may use an accelerator VM; services and urgent work always may. */
function canUseCpuOnlyRoom (job: JobEntry, worker: WorkerEntry): boolean {
  const { kind, priority } = job.row.spec
  if (worker.capacity.accelerators === 0 || kind === 'service' || priority === 'urgent') return true
  return hasBalancedRoom(worker, job.shape.need)
}

/** Chooses a worker on which tasks of the job failed only if no other has room. */
function chooseAvoidingFailedWorkers (
  job: JobEntry, sources: readonly CandidateSource[], filter: WorkerFilter
): Omit<Placement, 'reason'> | undefined {
  if (job.failedWorkers.size === 0) return chooseBestFit(job, sources, filter)
  const preferred = chooseBestFit(job, sources, (worker) => !job.failedWorkers.has(worker.id) && filter(worker))
  return preferred ?? chooseBestFit(job, sources, filter)
}

function chooseBestFit (
  job: JobEntry, sources: readonly CandidateSource[], filter: WorkerFilter
): Omit<Placement, 'reason'> | undefined {
  const isService = job.row.spec.kind === 'service'
  const choice: BestCandidate = { worker: undefined, score: Infinity, rejected: [] }
  for (const { index, accelerated } of sources) {
    const buckets = index.listBuckets(job.shape.pool, accelerated)
    const limit = Math.max(MIN_CANDIDATES_PER_BUCKET, Math.ceil(MAX_CANDIDATES / buckets.length))
    for (const bucket of isService ? sortByTaskCount(buckets, job) : buckets) {
      compareBucket(choice, job, index, bucket, filter, limit)
      if (isService && choice.worker) break
    }
    if (choice.worker) return { worker: choice.worker, rejected: choice.rejected }
  }
  return undefined
}

/** Sorts buckets by the number of the job's tasks in their failure domain, fewest first. */
function sortByTaskCount (buckets: readonly WorkerBucket[], job: JobEntry): WorkerBucket[] {
  const countTasks = (bucket: WorkerBucket): number => job.tasksByLocation.get(bucket.failureDomain) ?? 0
  return [...buckets].sort((a, b) => countTasks(a) - countTasks(b))
}

function compareBucket (
  choice: BestCandidate, job: JobEntry, index: PlacementIndex, bucket: WorkerBucket, filter: WorkerFilter, limit: number
): void {
  let compared = 0
  index.findCandidates(bucket, job.shape.query, (worker) => {
    if (!filter(worker)) return false
    compared += 1
    compareCandidate(choice, job, worker)
    return compared >= limit
  })
}

function compareCandidate (choice: BestCandidate, job: JobEntry, worker: WorkerEntry): void {
  const score = computeScore(job, worker)
  if (score >= choice.score) {
    if (choice.rejected.length < MAX_REJECTED_CANDIDATES) choice.rejected.push({ worker: worker.id, reason: 'leaves more room unused' })
    return
  }
  if (choice.worker) {
    choice.rejected.unshift({ worker: choice.worker.id, reason: 'leaves more room unused' })
    choice.rejected.length = Math.min(choice.rejected.length, MAX_REJECTED_CANDIDATES)
  }
  choice.worker = worker
  choice.score = score
}

/** Computes the score of a worker: the sum of the fractions left unused, with penalties for imbalance and for racks that already run tasks of the service. */
function computeScore (job: JobEntry, worker: WorkerEntry): number {
  const { need } = job.shape
  const { capacity, free } = worker
  const processors = (free.processors - need.processors) / Math.max(1, capacity.processors)
  const memory = (free.memoryMb - need.memoryMb) / Math.max(1, capacity.memoryMb)
  const accelerators = (free.accelerators - need.accelerators) / Math.max(1, capacity.accelerators)
  const leftover = processors + memory + accelerators + Math.abs(processors - memory)
  if (job.row.spec.kind !== 'service') return leftover
  const { failureDomain, rack } = worker.description!
  return leftover + RACK_TASK_PENALTY * (job.tasksByLocation.get(`${failureDomain}/${rack}`) ?? 0)
}

/** Checks whether a worker without accelerators can run the shape; accelerator VMs are set aside for work that needs them, unless a task fits nowhere else. */
function fitsCpuOnlyWorker (state: CellState, shape: Shape): boolean {
  if (shape.fitsCpuOnlyWorkerVersion !== state.workersVersion) {
    shape.fitsCpuOnlyWorkerVersion = state.workersVersion
    shape.fitsCpuOnlyWorker = hasCpuOnlyWorkerFor(state, shape)
  }
  return shape.fitsCpuOnlyWorker
}

function hasCpuOnlyWorkerFor (state: CellState, shape: Shape): boolean {
  for (const worker of state.workers.listWorkers()) {
    if (worker.capacity.accelerators === 0 && hasCapacityFor(worker, shape)) return true
  }
  return false
}

function describeUnreservedPlacement (job: JobEntry): string {
  if (job.row.spec.kind === 'service') return 'failure domain and rack with the fewest tasks of the service'
  return 'least room left unused'
}
