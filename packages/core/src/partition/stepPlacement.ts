/** Places the tasks of a step on workers. */
import { hasRoomFor, subtractResources, type Resources } from '../schema/resources.js'
import { ACCELERATOR_CORES } from './constants.js'
import { canEverRun, readRack, type PartitionWorker } from './partitionWorker.js'
import type { PlanningRound } from './planningRound.js'
import { countTasksByWorker, hasTicket, mayHaveTicket, type StepInstance } from './stepInstance.js'
import type { Task } from './jobState.js'
import { createMinimumTree } from './minimumTree.js'

/** A task and the worker chosen for it. */
export interface Placement {
  readonly task: Task
  /** Index of the worker in the planning round. */
  readonly worker: number
}

interface Candidate {
  readonly worker: PartitionWorker
  readonly index: number
  readonly free: Resources
  /** Number of the step's tasks that the worker may take in addition. */
  readonly allowed: number
  readonly isDataLocal: boolean
}

function buildCandidates (instance: StepInstance, round: PlanningRound): Candidate[] {
  const { maxPerWorker, dataRack } = instance.step
  // Most steps that wait for advice have no valid ticket at all.
  if (!mayHaveTicket(instance, round.nowMs)) return []
  const fitting = round.listFitting(instance.taskResources)
  round.addEvaluations(fitting.length)
  if (fitting.length === 0) return []
  const counts = maxPerWorker > 0 ? countTasksByWorker(instance) : null
  const candidates: Candidate[] = []
  for (const index of fitting) {
    const worker = round.workers[index]!
    const { id, labels } = worker.info
    if (!canEverRun(worker, instance.step) || !hasTicket(instance, id, round.nowMs) || isAvoidedByFiller(instance, worker)) continue
    const allowed = counts === null ? Infinity : maxPerWorker - (counts.get(id) ?? 0)
    if (allowed > 0) candidates.push({ worker, index, free: round.readFree(index), allowed, isDataLocal: dataRack === undefined || labels.includes(dataRack) })
  }
  return candidates
}

/** Whether a step of filler tasks avoids the worker because it runs a task that serves requests under a latency target. */
function isAvoidedByFiller (instance: StepInstance, worker: PartitionWorker): boolean {
  if (!instance.step.fills) return false
  for (const task of worker.tasks) if (task.isServing) return true
  return false
}

/** Best fit: computes what is left after placing the task, with accelerators weighted most, so that workers stay free for large tasks. */
function computeScore (instance: StepInstance, candidate: Candidate): number {
  const left = subtractResources(candidate.free, instance.taskResources)
  const leftover = left.accelerators * ACCELERATOR_CORES + Math.max(0, left.processors) + left.memoryMb / MEMORY_PER_CORE_MB
  return leftover + (candidate.isDataLocal ? 0 : REMOTE_DATA_PENALTY)
}

/** Memory that weighs as much as one core, in MB: 64 GB on 16 cores. */
export const MEMORY_PER_CORE_MB = 4096
/** Penalty for a worker outside the rack of the data; larger than any leftover capacity. */
const REMOTE_DATA_PENALTY = 1e6

/** Fills the workers one after the other by score: a worker that takes a task remains the best fit for the next. */
function placeAll (instance: StepInstance, tasks: readonly Task[], candidates: readonly Candidate[]): Placement[] {
  const placements: Placement[] = []
  const scores = createMinimumTree(candidates.map((candidate) => computeScore(instance, candidate)))
  for (let best = scores.findMinimum(); best >= 0; best = scores.findMinimum()) {
    const { index, free, allowed } = candidates[best]!
    let left = free
    for (let count = 0; count < allowed && hasRoomFor(left, instance.taskResources); count++) {
      const task = tasks[placements.length]
      if (task === undefined) return placements
      left = subtractResources(left, instance.taskResources)
      placements.push({ task, worker: index })
    }
    scores.set(best, Infinity)
  }
  return placements
}

function collectByRack (candidates: readonly Candidate[]): Candidate[][] {
  const racks = new Map<string, Candidate[]>()
  for (const candidate of candidates) {
    const rack = readRack(candidate.worker.info)
    const group = racks.get(rack)
    if (group === undefined) racks.set(rack, [candidate])
    else group.push(candidate)
  }
  return [...racks.values()]
}

/** Places as many of the tasks as fit; a gang all or none, a tightly coupled step in one rack if possible. */
export function placeTasks (instance: StepInstance, tasks: readonly Task[], round: PlanningRound): Placement[] {
  if (tasks.length === 0) return []
  const candidates = buildCandidates(instance, round)
  if (candidates.length === 0) return []
  if (instance.step.tightlyCoupled) {
    for (const rack of collectByRack(candidates)) {
      const placements = placeAll(instance, tasks, rack)
      if (placements.length === tasks.length) return placements
    }
  }
  const placements = placeAll(instance, tasks, candidates)
  return instance.step.gang && placements.length < tasks.length ? [] : placements
}
