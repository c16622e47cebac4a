/** Workers of a cell as the planner sees them, and the room that is left at each. */
import { addResources, hasRoomFor, NO_RESOURCES, subtractResources, type Resources } from '../schema/resources.js'
import { FAILING_WORKER_ENDS, MAX_REFUSAL_PAUSE_MS, REFUSAL_PAUSE_MS } from './constants.js'
import type { Task } from './jobState.js'
import type { JobStep } from './stepJob.js'

/** What a worker says of itself. */
export interface WorkerFacts {
  readonly id: string
  readonly failureDomain: string
  /** Kind and rack, as the worker names them. */
  readonly labels: readonly string[]
  readonly capacity: Resources
  /** It leaves soon and gets nothing new. */
  readonly draining: boolean
}

/** One worker in the planner's memory. */
export interface PartitionWorker {
  facts: WorkerFacts
  /** The holder has its complete list of runs under the current epoch, and it answers. */
  held: boolean
  used: Resources
  readonly tasks: Set<Task>
  /** Runs that it lists and the planner doesn't know; nothing starts beside them. */
  strays: number
  blockedUntilMs: number
  /** An order or poll is without an answer for suspiciously long; nothing starts before this time. */
  suspectUntilMs: number
  /** Failed ends since the last good one. */
  failedEnds: number
  pauseMs: number
}

/** Room that a task of a step takes at its worker. */
export function computeStepRoom (step: JobStep): Resources {
  return step.fills ? { ...step.resources, processors: 0 } : step.resources
}

/** Creates a worker that is not held yet. */
export function createPartitionWorker (facts: WorkerFacts): PartitionWorker {
  return { facts, held: false, used: NO_RESOURCES, tasks: new Set(), strays: 0, blockedUntilMs: 0, suspectUntilMs: 0, failedEnds: 0, pauseMs: REFUSAL_PAUSE_MS }
}

/** Room that is free; components are negative where more runs than the worker has room for. */
export function computeFree (worker: PartitionWorker): Resources {
  return subtractResources(worker.facts.capacity, worker.used)
}

/** Takes room at a worker for a task. */
export function addTaskTo (worker: PartitionWorker, task: Task, step: JobStep): void {
  if (worker.tasks.has(task)) return
  worker.tasks.add(task)
  worker.used = addResources(worker.used, computeStepRoom(step))
}

/** Gives the room of a task back. */
export function removeTaskFrom (worker: PartitionWorker, task: Task, step: JobStep): void {
  if (!worker.tasks.delete(task)) return
  worker.used = subtractResources(worker.used, computeStepRoom(step))
}

/** Tells whether anything may start at a worker now. */
export function isOpen (worker: PartitionWorker, nowMs: number): boolean {
  return worker.held && !worker.facts.draining && worker.strays === 0 && worker.blockedUntilMs <= nowMs && worker.suspectUntilMs <= nowMs
}

/** Tells whether a worker could ever run tasks of a step: its label and its whole capacity. */
export function canEverRun (worker: PartitionWorker, step: JobStep): boolean {
  if (step.requiredLabel !== undefined && !worker.facts.labels.includes(step.requiredLabel)) return false
  return hasRoomFor(worker.facts.capacity, computeStepRoom(step))
}

/** Stops starts at a worker for a while after it refused one. */
export function recordRefusalAt (worker: PartitionWorker, nowMs: number): void {
  worker.blockedUntilMs = nowMs + worker.pauseMs
  worker.pauseMs = Math.min(MAX_REFUSAL_PAUSE_MS, worker.pauseMs * 2)
}

/** Notes how a run ended; a worker that fails one run after the other is tried with pauses that grow. */
export function recordEndAt (worker: PartitionWorker, failed: boolean, nowMs: number): void {
  if (!failed) {
    worker.failedEnds = 0
    worker.pauseMs = REFUSAL_PAUSE_MS
    return
  }
  worker.failedEnds++
  if (worker.failedEnds >= FAILING_WORKER_ENDS) recordRefusalAt(worker, nowMs)
}
