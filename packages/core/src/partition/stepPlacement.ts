/** Places the tasks of a step on workers. */
import { hasRoomFor, subtractResources, type Resources } from '../schema/resources.js'
import { ACCELERATOR_CORES } from './constants.js'
import { canEverRun, computeFree, isSchedulable, type PartitionWorker } from './partitionWorker.js'
import { hasTicket, type StepInstance } from './stepInstance.js'
import type { Task } from './jobState.js'

/** Resources reserved for waiting steps of a higher rank, by worker. */
export type ReservedResources = ReadonlyMap<string, Resources>

/** A task and the worker chosen for it. */
export interface Placement {
  readonly task: Task
  readonly worker: PartitionWorker
}

interface Candidate {
  readonly worker: PartitionWorker
  free: Resources
  /** Tasks of the step already at the worker; counted only if `maxPerWorker` limits them. */
  stepTasks: number
  readonly isDataLocal: boolean
}

function buildCandidates (instance: StepInstance, workers: Iterable<PartitionWorker>, reserved: ReservedResources, nowMs: number): Candidate[] {
  const candidates: Candidate[] = []
  for (const worker of workers) {
    if (!isSchedulable(worker, nowMs) || !canEverRun(worker, instance.step) || !hasTicket(instance, worker.info.id, nowMs)) continue
    if (isAvoidedByFiller(instance, worker)) continue
    const reservation = reserved.get(worker.info.id)
    const free = computeFree(worker)
    const candidate = {
      worker,
      free: reservation === undefined ? free : subtractResources(free, reservation),
      stepTasks: instance.step.maxPerWorker > 0 ? instance.tasks.filter((task) => task.worker === worker.info.id).length : 0,
      isDataLocal: instance.step.dataRack === undefined || worker.info.labels.includes(instance.step.dataRack)
    }
    if (canTakeTask(instance, candidate)) candidates.push(candidate)
  }
  return candidates
}

/** Whether a step of filler tasks avoids the worker because it runs a task that serves requests under a latency target. */
function isAvoidedByFiller (instance: StepInstance, worker: PartitionWorker): boolean {
  if (!instance.step.fills) return false
  for (const task of worker.tasks) if (task.isServing) return true
  return false
}

function canTakeTask (instance: StepInstance, candidate: Candidate): boolean {
  if (instance.step.maxPerWorker > 0 && candidate.stepTasks >= instance.step.maxPerWorker) return false
  return hasRoomFor(candidate.free, instance.taskResources)
}

/** Best fit: computes what is left after placing the task, with accelerators weighted most, so that workers stay free for large tasks. */
function computeLeftover (instance: StepInstance, candidate: Candidate): number {
  const left = subtractResources(candidate.free, instance.taskResources)
  return left.accelerators * ACCELERATOR_CORES + Math.max(0, left.processors) + left.memoryMb / MEMORY_PER_CORE_MB
}

/** Memory that weighs as much as one core, in MB: 64 GB on 16 cores. */
export const MEMORY_PER_CORE_MB = 4096
/** Penalty for a worker outside the rack of the data; larger than any leftover capacity. */
const REMOTE_DATA_PENALTY = 1e6

function chooseCandidate (instance: StepInstance, candidates: readonly Candidate[]): Candidate | null {
  let best: Candidate | null = null
  let bestScore = Infinity
  for (const candidate of candidates) {
    if (!canTakeTask(instance, candidate)) continue
    const score = computeLeftover(instance, candidate) + (candidate.isDataLocal ? 0 : REMOTE_DATA_PENALTY)
    if (score >= bestScore) continue
    best = candidate
    bestScore = score
  }
  return best
}

function placeAll (instance: StepInstance, tasks: readonly Task[], candidates: readonly Candidate[]): Placement[] {
  const placements: Placement[] = []
  for (const task of tasks) {
    const chosen = chooseCandidate(instance, candidates)
    if (chosen === null) break
    chosen.free = subtractResources(chosen.free, instance.taskResources)
    chosen.stepTasks++
    placements.push({ task, worker: chosen.worker })
  }
  return placements
}

function collectByRack (candidates: readonly Candidate[]): Candidate[][] {
  const racks = new Map<string, Candidate[]>()
  for (const candidate of candidates) {
    const rack = candidate.worker.info.labels[1] ?? ''
    const group = racks.get(rack)
    if (group === undefined) racks.set(rack, [candidate])
    else group.push(candidate)
  }
  return [...racks.values()]
}

/**
 * Places as many of the tasks as fit; a gang all or none, a tightly coupled step in one rack if possible.
 *
 * @param reserved resources that these tasks must not use
 */
export function placeTasks (
  instance: StepInstance, tasks: readonly Task[], workers: Iterable<PartitionWorker>, reserved: ReservedResources, nowMs: number
): Placement[] {
  if (tasks.length === 0) return []
  const candidates = buildCandidates(instance, workers, reserved, nowMs)
  if (instance.step.tightlyCoupled) {
    for (const rack of collectByRack(candidates.map((candidate) => ({ ...candidate })))) {
      const placements = placeAll(instance, tasks, rack)
      if (placements.length === tasks.length) return placements
    }
  }
  const placements = placeAll(instance, tasks, candidates)
  return instance.step.gang && placements.length < tasks.length ? [] : placements
}
