/** Which tasks may be preempted, and how amounts of resources compare. */
import type { Resources } from '../schema/resources.js'
import { ACCELERATOR_CORES, MAX_PREEMPTIONS } from './constants.js'
import type { Task } from './jobState.js'
import { MEMORY_PER_CORE_MB } from './stepPlacement.js'

/** Missing resources, in cores; negative components of `left` are missing. */
export function computeShortfall (left: Resources): number {
  return Math.max(0, -left.processors) + Math.max(0, -left.accelerators) * ACCELERATOR_CORES + Math.max(0, -left.memoryMb) / MEMORY_PER_CORE_MB
}

/** Size of an amount, in cores. */
export function computeSize (resources: Resources): number {
  return resources.processors + resources.accelerators * ACCELERATOR_CORES + resources.memoryMb / MEMORY_PER_CORE_MB
}

/** Only tasks that resume from a checkpoint are preempted, except gang members and long-running tasks, and each at most `MAX_PREEMPTIONS` times. */
export function mayBePreempted (task: Task, priority: number): boolean {
  if (task.phase !== 'placed' || task.stopping || task.confirmedAtMs === null || task.preemptions >= MAX_PREEMPTIONS) return false
  const { definition } = task
  return task.priority > priority && definition.savesWork && !definition.gang && !definition.longRunning
}
