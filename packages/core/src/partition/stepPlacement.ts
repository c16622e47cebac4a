/** Chooses workers for the tasks of a step. */
import { hasRoomFor, subtractResources, type Resources } from '../schema/resources.js'
import { ACCELERATOR_CORES } from './constants.js'
import { canEverRun, computeFree, isOpen, type PartitionWorker } from './partitionWorker.js'
import { hasTicket, type StepRun } from './stepRun.js'
import type { Task } from './jobState.js'

/** Room that waiting steps of a higher rank hold at workers. */
export type HeldRoom = ReadonlyMap<string, Resources>

/** One choice. */
export interface Placement {
  readonly task: Task
  readonly worker: PartitionWorker
}

interface Candidate {
  readonly worker: PartitionWorker
  free: Resources
  /** Tasks of the step that it runs already, where their number is limited. */
  ofStep: number
  readonly isNear: boolean
}

function buildCandidates (run: StepRun, workers: Iterable<PartitionWorker>, held: HeldRoom, nowMs: number): Candidate[] {
  const candidates: Candidate[] = []
  for (const worker of workers) {
    if (!isOpen(worker, nowMs) || !canEverRun(worker, run.step) || !hasTicket(run, worker.facts.id, nowMs)) continue
    if (isDisturbed(run, worker)) continue
    const reserve = held.get(worker.facts.id)
    const free = computeFree(worker)
    const candidate = {
      worker,
      free: reserve === undefined ? free : subtractResources(free, reserve),
      ofStep: run.step.maxPerWorker > 0 ? run.tasks.filter((task) => task.worker === worker.facts.id).length : 0,
      isNear: run.step.dataRack === undefined || worker.facts.labels.includes(run.step.dataRack)
    }
    if (mayTakeOne(run, candidate)) candidates.push(candidate)
  }
  return candidates
}

/** Fillers stay away from workers whose tasks serve users under a latency target. */
function isDisturbed (run: StepRun, worker: PartitionWorker): boolean {
  if (!run.step.fills) return false
  for (const task of worker.tasks) if (task.isServing) return true
  return false
}

function mayTakeOne (run: StepRun, candidate: Candidate): boolean {
  if (run.step.maxPerWorker > 0 && candidate.ofStep >= run.step.maxPerWorker) return false
  return hasRoomFor(candidate.free, run.room)
}

/** Tight fit: what is left after the task, accelerators first, so that large tasks find whole workers. */
function computeLeftOver (run: StepRun, candidate: Candidate): number {
  const left = subtractResources(candidate.free, run.room)
  return left.accelerators * ACCELERATOR_CORES + Math.max(0, left.processors) + left.memoryMb / MEMORY_PER_CORE_MB
}

/** Memory that weighs as much as a core: 64 GB on 16 cores. */
export const MEMORY_PER_CORE_MB = 4096
/** Weight of a worker far from the data against its fit; larger than any left-over room. */
const FAR_PENALTY = 1e6

function chooseCandidate (run: StepRun, candidates: readonly Candidate[]): Candidate | null {
  let best: Candidate | null = null
  let bestScore = Infinity
  for (const candidate of candidates) {
    if (!mayTakeOne(run, candidate)) continue
    const score = computeLeftOver(run, candidate) + (candidate.isNear ? 0 : FAR_PENALTY)
    if (score >= bestScore) continue
    best = candidate
    bestScore = score
  }
  return best
}

function placeAll (run: StepRun, tasks: readonly Task[], candidates: readonly Candidate[]): Placement[] {
  const placements: Placement[] = []
  for (const task of tasks) {
    const chosen = chooseCandidate(run, candidates)
    if (chosen === null) break
    chosen.free = subtractResources(chosen.free, run.room)
    chosen.ofStep++
    placements.push({ task, worker: chosen.worker })
  }
  return placements
}

function collectByRack (candidates: readonly Candidate[]): Candidate[][] {
  const racks = new Map<string, Candidate[]>()
  for (const candidate of candidates) {
    const rack = candidate.worker.facts.labels[1] ?? ''
    const group = racks.get(rack)
    if (group === undefined) racks.set(rack, [candidate])
    else group.push(candidate)
  }
  return [...racks.values()]
}

/**
 * Places as many of the tasks as have room; a gang all or none, a tightly coupled one in one rack where that is possible.
 *
 * @param held room that these tasks must leave to others
 */
export function placeTasks (
  run: StepRun, tasks: readonly Task[], workers: Iterable<PartitionWorker>, held: HeldRoom, nowMs: number
): Placement[] {
  if (tasks.length === 0) return []
  const candidates = buildCandidates(run, workers, held, nowMs)
  if (run.step.tightlyCoupled) {
    for (const rack of collectByRack(candidates.map((candidate) => ({ ...candidate })))) {
      const placements = placeAll(run, tasks, rack)
      if (placements.length === tasks.length) return placements
    }
  }
  const placements = placeAll(run, tasks, candidates)
  return run.step.gang && placements.length < tasks.length ? [] : placements
}
