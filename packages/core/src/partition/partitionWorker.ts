/** The planner's view of a partition's workers and their free resources. */
import { addResources, hasRoomFor, NO_RESOURCES, subtractResources, type Resources } from '../schema/resources.js'
import { FAILING_WORKER_THRESHOLD, MAX_WORKER_BACKOFF_MS, MIN_WORKER_BACKOFF_MS } from './constants.js'
import type { Task } from './jobState.js'
import type { JobStep } from './stepJob.js'

/** Properties of a worker, as listed by the platform. */
export interface WorkerInfo {
  readonly id: string
  readonly failureDomain: string
  /** Kind and rack of the worker, in this order. */
  readonly labels: readonly string[]
  readonly capacity: Resources
  /** The worker is being drained and accepts no new tasks. */
  readonly draining: boolean
}

/** Planning state of one worker. */
export interface PartitionWorker {
  info: WorkerInfo
  /** The holder has the worker's complete list of runs under the current epoch, and the worker responds. */
  synced: boolean
  used: Resources
  readonly tasks: Set<Task>
  /** Number of runs in the last report that are not allocated to the worker; nothing is started until they are gone. */
  strayRuns: number
  backoffUntilMs: number
  /** Nothing is started before this time because an order or poll is overdue. */
  suspectUntilMs: number
  /** Time of the last report. */
  respondedAtMs: number
  /** Failed runs since the last run that ended in any other way. */
  consecutiveFailures: number
  backoffMs: number
  /** Set apart for suspected tasks. */
  isolated: boolean
}

/** Returns the rack of a worker; empty if unknown. */
export function readRack ({ labels }: WorkerInfo): string {
  return labels[1] ?? ''
}

/** Resources that a task of a step occupies at its worker. */
export function computeTaskResources (step: JobStep): Resources {
  return step.fills ? { ...step.resources, processors: 0 } : step.resources
}

/** Creates a worker that is not synced yet. */
export function createPartitionWorker (info: WorkerInfo): PartitionWorker {
  return { info, synced: false, used: NO_RESOURCES, tasks: new Set(), strayRuns: 0, backoffUntilMs: 0, suspectUntilMs: 0, respondedAtMs: -Infinity, consecutiveFailures: 0, backoffMs: MIN_WORKER_BACKOFF_MS, isolated: false }
}

/** Free resources; components are negative if the worker is overcommitted. */
export function computeFree (worker: PartitionWorker): Resources {
  return subtractResources(worker.info.capacity, worker.used)
}

/** Allocates the resources of a task at a worker. */
export function addTaskTo (worker: PartitionWorker, task: Task, step: JobStep): void {
  if (worker.tasks.has(task)) return
  worker.tasks.add(task)
  worker.used = addResources(worker.used, computeTaskResources(step))
}

/** Releases the resources of a task. */
export function removeTaskFrom (worker: PartitionWorker, task: Task, step: JobStep): void {
  if (!worker.tasks.delete(task)) return
  worker.used = subtractResources(worker.used, computeTaskResources(step))
}

/** Tells whether tasks may be started at a worker now that is not set apart. */
export function isSchedulable (worker: PartitionWorker, nowMs: number): boolean {
  return !worker.isolated && isAvailable(worker, nowMs)
}

/** Tells whether a worker accepts starts now. */
export function isAvailable (worker: PartitionWorker, nowMs: number): boolean {
  return worker.synced && !worker.info.draining && worker.strayRuns === 0 && worker.backoffUntilMs <= nowMs && worker.suspectUntilMs <= nowMs
}

/** Tells whether a worker's label and total capacity allow tasks of a step. */
export function canEverRun (worker: PartitionWorker, step: JobStep): boolean {
  if (step.requiredLabel !== undefined && !worker.info.labels.includes(step.requiredLabel)) return false
  return hasRoomFor(worker.info.capacity, computeTaskResources(step))
}

/** Backs off from a worker that refused a start, fails consecutive runs or has a stalled run; the backoff doubles until a run ends without failing. */
export function startWorkerBackoff (worker: PartitionWorker, nowMs: number): void {
  worker.backoffUntilMs = nowMs + worker.backoffMs
  worker.backoffMs = Math.min(MAX_WORKER_BACKOFF_MS, worker.backoffMs * 2)
}

/** Records the end of a run; a worker that fails consecutive runs is backed off from exponentially. */
export function recordWorkerEnd (worker: PartitionWorker, failed: boolean, nowMs: number): void {
  if (!failed) {
    worker.consecutiveFailures = 0
    worker.backoffMs = MIN_WORKER_BACKOFF_MS
    return
  }
  worker.consecutiveFailures++
  if (worker.consecutiveFailures >= FAILING_WORKER_THRESHOLD) startWorkerBackoff(worker, nowMs)
}
