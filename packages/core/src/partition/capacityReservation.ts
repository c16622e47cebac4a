/** Reserves capacity for steps that could not be placed, and selects lower-priority tasks to preempt for them. */
import { addResources, hasRoomFor, NO_RESOURCES, subtractResources, type Resources } from '../schema/resources.js'
import { computeFree, computeTaskResources, isSchedulable, type PartitionWorker } from './partitionWorker.js'
import { ACCELERATOR_CORES, MAX_PREEMPTIONS } from './constants.js'
import type { Task } from './jobState.js'
import { MEMORY_PER_CORE_MB } from './stepPlacement.js'
import type { JobStep } from './stepJob.js'
import { mayBeSuitable, type StepInstance } from './stepInstance.js'

/** Properties of a running task that decide whether it may be preempted. */
export interface TaskInfo {
  readonly step: JobStep
  readonly priority: number
}

/** Options of `reserveCapacity`. */
export interface ReservationOptions {
  readonly instance: StepInstance
  /** Tasks of the step that could not be placed. */
  readonly tasks: readonly Task[]
  readonly workers: Iterable<PartitionWorker>
  /** Resources reserved so far, by worker; new reservations are added. */
  readonly reserved: Map<string, Resources>
  readonly readTaskInfo: (task: Task) => TaskInfo
  /** Whether lower-priority tasks may be preempted. */
  readonly mayPreempt: boolean
  readonly nowMs: number
}

interface ReservationCandidate {
  readonly worker: PartitionWorker
  readonly preempted: readonly Task[]
  /** Size of the tasks to preempt, in cores; `WAIT_COST` plus the missing cores if the reservation has to wait. */
  readonly cost: number
}

/** Base cost of a reservation that waits for running tasks to complete; any that frees capacity by preemption is preferred. */
const WAIT_COST = 1e6

function computeShortfall (left: Resources): number {
  return Math.max(0, -left.processors) + Math.max(0, -left.accelerators) * ACCELERATOR_CORES + Math.max(0, -left.memoryMb) / MEMORY_PER_CORE_MB
}

function computeSize (resources: Resources): number {
  return resources.processors + resources.accelerators * ACCELERATOR_CORES + resources.memoryMb / MEMORY_PER_CORE_MB
}

/** Only tasks that resume from a checkpoint are preempted, except gang members and long-running tasks, and each at most `MAX_PREEMPTIONS` times. */
function mayBePreempted (task: Task, info: TaskInfo, priority: number): boolean {
  if (task.phase !== 'placed' || task.stopping || task.confirmedAtMs === null || task.preemptions >= MAX_PREEMPTIONS) return false
  return info.priority > priority && info.step.savesWork && !info.step.gang && !info.step.longRunning
}

function chooseTasksToPreempt (options: ReservationOptions, worker: PartitionWorker, left: Resources, alreadyChosen: ReadonlySet<Task>): Task[] | null {
  const { priority } = options.instance.job.spec.policy
  const candidates: { task: Task, resources: Resources }[] = []
  for (const task of worker.tasks) {
    const info = options.readTaskInfo(task)
    if (!alreadyChosen.has(task) && mayBePreempted(task, info, priority)) candidates.push({ task, resources: computeTaskResources(info.step) })
  }
  candidates.sort((a, b) => computeSize(a.resources) - computeSize(b.resources))
  const enough = candidates.find(({ resources }) => computeShortfall(addResources(left, resources)) === 0)
  if (enough !== undefined) return [enough.task]
  const preempted: Task[] = []
  let remaining = left
  for (const { task, resources } of candidates.reverse()) {
    preempted.push(task)
    remaining = addResources(remaining, resources)
    if (computeShortfall(remaining) === 0) return preempted
  }
  return null
}

/** Resources that will be released by stops in progress. */
function sumStopping (options: ReservationOptions, worker: PartitionWorker, alreadyChosen: ReadonlySet<Task>): Resources {
  let sum = NO_RESOURCES
  for (const task of worker.tasks) {
    if (task.stopping || alreadyChosen.has(task)) sum = addResources(sum, computeTaskResources(options.readTaskInfo(task).step))
  }
  return sum
}

function buildCandidate (options: ReservationOptions, worker: PartitionWorker, alreadyChosen: ReadonlySet<Task>): ReservationCandidate | null {
  const claimed = addResources(options.reserved.get(worker.info.id) ?? NO_RESOURCES, options.instance.taskResources)
  if (!hasRoomFor(worker.info.capacity, claimed)) return null
  const left = subtractResources(addResources(computeFree(worker), sumStopping(options, worker, alreadyChosen)), claimed)
  const shortfall = computeShortfall(left)
  if (shortfall === 0) return { worker, preempted: [], cost: 0 }
  const preempted = options.mayPreempt ? chooseTasksToPreempt(options, worker, left, alreadyChosen) : null
  if (preempted === null) return { worker, preempted: [], cost: WAIT_COST + shortfall }
  return { worker, preempted, cost: preempted.reduce((sum, task) => sum + computeSize(computeTaskResources(options.readTaskInfo(task).step)), 0) }
}

/**
 * Reserves capacity for each task at the suitable worker with the lowest cost.
 *
 * @returns tasks to preempt; none for a gang that would still not fit
 */
export function reserveCapacity (options: ReservationOptions): Task[] {
  const { instance, reserved, nowMs } = options
  const allowed: PartitionWorker[] = []
  for (const worker of options.workers) if (isSchedulable(worker, nowMs) && mayBeSuitable(instance, worker)) allowed.push(worker)
  const counts = new Map<string, number>()
  for (const task of instance.tasks) if (task.worker !== '') counts.set(task.worker, (counts.get(task.worker) ?? 0) + 1)
  const preempted = new Set<Task>()
  let isComplete = true
  for (let index = 0; index < options.tasks.length; index++) {
    let best: ReservationCandidate | null = null
    for (const worker of allowed) {
      if (instance.step.maxPerWorker > 0 && (counts.get(worker.info.id) ?? 0) >= instance.step.maxPerWorker) continue
      const candidate = buildCandidate(options, worker, preempted)
      if (candidate !== null && (best === null || candidate.cost < best.cost)) best = candidate
    }
    if (best === null) {
      isComplete = false
      break
    }
    const { id } = best.worker.info
    if (best.cost >= WAIT_COST) isComplete = false
    for (const task of best.preempted) preempted.add(task)
    counts.set(id, (counts.get(id) ?? 0) + 1)
    reserved.set(id, addResources(reserved.get(id) ?? NO_RESOURCES, instance.taskResources))
  }
  return instance.step.gang && !isComplete ? [] : [...preempted]
}

/** Options of `chooseCeilingPreemptions`. */
export interface CeilingPreemptionOptions {
  /** Priority of the waiting tasks. */
  readonly priority: number
  /** Resources by which the waiting tasks exceed the team's limit; components of 0 or less need no preemption. */
  readonly shortfall: Resources
  /** The team's allocated tasks. */
  readonly tasks: Iterable<Task>
  readonly readTaskInfo: (task: Task) => TaskInfo
}

/** Chooses lower-priority tasks of a team to preempt so that its urgent tasks fit its limit. */
export function chooseCeilingPreemptions (options: CeilingPreemptionOptions): Task[] {
  let left = subtractResources(NO_RESOURCES, options.shortfall)
  const candidates: { task: Task, info: TaskInfo }[] = []
  for (const task of options.tasks) {
    const info = options.readTaskInfo(task)
    if (task.stopping) left = addResources(left, info.step.resources)
    else if (mayBePreempted(task, info, options.priority)) candidates.push({ task, info })
  }
  candidates.sort((a, b) => b.info.priority - a.info.priority || a.task.percent - b.task.percent)
  const preempted: Task[] = []
  for (const { task, info } of candidates) {
    if (computeShortfall(left) === 0) break
    if (!canReduceShortfall(left, info.step.resources)) continue
    left = addResources(left, info.step.resources)
    preempted.push(task)
  }
  return preempted
}

/** Whether an amount reduces the shortfall in any component; negative components of `left` are missing. */
function canReduceShortfall (left: Resources, amount: Resources): boolean {
  return (left.processors < 0 && amount.processors > 0) || (left.memoryMb < 0 && amount.memoryMb > 0) || (left.accelerators < 0 && amount.accelerators > 0)
}
