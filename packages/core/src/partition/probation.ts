/** When a suspected task has run for long enough that other tasks may join it. */
import { LONG_PROBATION_MS, PROBATION_MS, RECENT_START_SUSPICION, START_PROBATION_MS } from './constants.js'
import { isSuspected, type Task } from './jobState.js'
import type { PartitionWorker } from './partitionWorker.js'

/** Crashes from which a task stays apart for longer: it must not have many more. */
const LONG_PROBATION_CRASHES = 3

/** Tells whether each crash that was counted against a suspected task came right after its start; if it is the cause, it crashes the next worker at once, too. */
export function isSuspectedAtStart (task: Task): boolean {
  return task.suspicion >= RECENT_START_SUSPICION * task.crashes
}

/** Tells whether a task is suspected, and its current run shows that it is probably not the cause of the crashes. */
export function hasPassedProbation (task: Task, worker: PartitionWorker, nowMs: number): boolean {
  if (!isSuspected(task) || task.confirmedAtMs === null) return false
  const ageMs = nowMs - task.confirmedAtMs
  const isRepeated = task.crashes >= LONG_PROBATION_CRASHES
  if (ageMs > Math.max(isRepeated ? LONG_PROBATION_MS : PROBATION_MS, 2 * task.crashAgeMs)) return true
  // A worker that falls silent when it crashes seems to be up until its next response is overdue.
  return !isRepeated && isSuspectedAtStart(task) && worker.respondedAtMs - task.confirmedAtMs > Math.max(START_PROBATION_MS, 2 * task.crashAgeMs)
}
