/** How long suspected tasks wait for a worker set apart, before they run among others like any task. */
import { LIKELY_CAUSE_WAIT_MS, MAX_UNPROVEN_CRASHES, SUSPECT_WAIT_MS } from './constants.js'
import { countUnprovenCrashes, isSuspected, type Task } from './jobState.js'
import { listStartable, listSuspected, type StepInstance } from './stepInstance.js'

/** Startable tasks of a step by where they may start. */
export interface StartableTasks {
  /** At workers set apart only. */
  readonly apart: readonly Task[]
  /** At any other worker. */
  readonly shared: readonly Task[]
}

/** Whether a task has crashed a worker of its own already, or its step was the only one that had just started at a crash. */
export function isLikelyCause ({ soloCrashes, isPrimeSuspect }: Task): boolean {
  return soloCrashes > 0 || isPrimeSuspect
}

/**
 * Whether a suspected task has waited for long enough to start among others: a crash there proves nothing, so that only tasks with few such crashes may.
 * One that may well be the cause would take sound runs with it, and waits for longer.
 */
function mayShare (task: Task, { waitingSinceMs }: StepInstance, nowMs: number): boolean {
  if (countUnprovenCrashes(task) >= MAX_UNPROVEN_CRASHES) return false
  const waitedMs = nowMs - (task.releasedAtMs ?? waitingSinceMs ?? nowMs)
  return waitedMs > (isLikelyCause(task) || task.hasCrashedAtStart ? LIKELY_CAUSE_WAIT_MS : SUSPECT_WAIT_MS)
}

/** Lists the startable tasks of a step by where they may start; leaves out those that wait for the proof of a crash. */
export function listStartableByPlace (instance: StepInstance, nowMs: number): StartableTasks {
  const startable = listStartable(instance)
  if (listSuspected(instance).length === 0) return { apart: [], shared: startable }
  const apart: Task[] = []
  const shared: Task[] = []
  for (const task of startable) {
    if (!isSuspected(task)) shared.push(task)
    else if (task.verdictDueMs > nowMs) continue
    else if (mayShare(task, instance, nowMs)) shared.push(task)
    else apart.push(task)
  }
  return { apart, shared }
}
