/** Holds room for steps that found none, and chooses running tasks of less urgent work to make way for them. */
import { addResources, hasRoomFor, NO_RESOURCES, subtractResources, type Resources } from '../schema/resources.js'
import { computeFree, computeStepRoom, isOpen, type PartitionWorker } from './partitionWorker.js'
import { ACCELERATOR_CORES, MAX_PREEMPTIONS } from './constants.js'
import type { Task } from './jobState.js'
import { MEMORY_PER_CORE_MB } from './stepPlacement.js'
import type { JobStep } from './stepJob.js'
import { mayBeSuitable, type StepRun } from './stepRun.js'

/** What is known of a running task. */
export interface TaskFacts {
  readonly step: JobStep
  readonly priority: number
}

/** Options of one search. */
export interface RoomMakingOptions {
  readonly run: StepRun
  /** Tasks of the run that found no room. */
  readonly tasks: readonly Task[]
  readonly workers: Iterable<PartitionWorker>
  /** Room held so far by worker; what this search holds is added. */
  readonly held: Map<string, Resources>
  readonly readFacts: (task: Task) => TaskFacts
  /** Whether tasks of less urgent work may be stopped. */
  readonly mayPreempt: boolean
  readonly nowMs: number
}

interface Offer {
  readonly worker: PartitionWorker
  readonly victims: readonly Task[]
  /** Cores that are missing or have to be freed. */
  readonly cost: number
}

/** Cost of an offer that only waits for work to end by itself, on top of what is missing: any that frees the room goes before. */
const WAITING_COST = 1e6

function computeMissing (left: Resources): number {
  return Math.max(0, -left.processors) + Math.max(0, -left.accelerators) * ACCELERATOR_CORES + Math.max(0, -left.memoryMb) / MEMORY_PER_CORE_MB
}

function computeSize (room: Resources): number {
  return room.processors + room.accelerators * ACCELERATOR_CORES + room.memoryMb / MEMORY_PER_CORE_MB
}

/** Only work that resumes from what it saved is stopped, and none again and again. */
function mayBeStopped (task: Task, facts: TaskFacts, priority: number): boolean {
  if (task.phase !== 'placed' || task.stopping || task.confirmedAtMs === null || task.preemptions >= MAX_PREEMPTIONS) return false
  return facts.priority > priority && facts.step.savesWork && !facts.step.gang && !facts.step.longRunning
}

function chooseVictims (options: RoomMakingOptions, worker: PartitionWorker, left: Resources, taken: ReadonlySet<Task>): Task[] | null {
  const { priority } = options.run.job.spec.policy
  const candidates: { task: Task, room: Resources }[] = []
  for (const task of worker.tasks) {
    const facts = options.readFacts(task)
    if (!taken.has(task) && mayBeStopped(task, facts, priority)) candidates.push({ task, room: computeStepRoom(facts.step) })
  }
  candidates.sort((a, b) => computeSize(a.room) - computeSize(b.room))
  const enough = candidates.find(({ room }) => computeMissing(addResources(left, room)) === 0)
  if (enough !== undefined) return [enough.task]
  const victims: Task[] = []
  let remaining = left
  for (const { task, room } of candidates.reverse()) {
    victims.push(task)
    remaining = addResources(remaining, room)
    if (computeMissing(remaining) === 0) return victims
  }
  return null
}

/** Room that running stops are about to give back. */
function sumStopping (options: RoomMakingOptions, worker: PartitionWorker, taken: ReadonlySet<Task>): Resources {
  let sum = NO_RESOURCES
  for (const task of worker.tasks) {
    if (task.stopping || taken.has(task)) sum = addResources(sum, computeStepRoom(options.readFacts(task).step))
  }
  return sum
}

function buildOffer (options: RoomMakingOptions, worker: PartitionWorker, taken: ReadonlySet<Task>): Offer | null {
  const claimed = addResources(options.held.get(worker.facts.id) ?? NO_RESOURCES, options.run.room)
  if (!hasRoomFor(worker.facts.capacity, claimed)) return null
  const left = subtractResources(addResources(computeFree(worker), sumStopping(options, worker, taken)), claimed)
  const missing = computeMissing(left)
  if (missing === 0) return { worker, victims: [], cost: 0 }
  const victims = options.mayPreempt ? chooseVictims(options, worker, left, taken) : null
  if (victims === null) return { worker, victims: [], cost: WAITING_COST + missing }
  return { worker, victims, cost: victims.reduce((sum, task) => sum + computeSize(computeStepRoom(options.readFacts(task).step)), 0) }
}

/**
 * Holds room for each task at the allowed worker where it costs least.
 *
 * @returns tasks to be stopped; none for a gang that would still lack room
 */
export function reserveRoom (options: RoomMakingOptions): Task[] {
  const { run, held, nowMs } = options
  const allowed: PartitionWorker[] = []
  for (const worker of options.workers) if (isOpen(worker, nowMs) && mayBeSuitable(run, worker)) allowed.push(worker)
  const counts = new Map<string, number>()
  for (const task of run.tasks) if (task.worker !== '') counts.set(task.worker, (counts.get(task.worker) ?? 0) + 1)
  const victims = new Set<Task>()
  let isComplete = true
  for (let index = 0; index < options.tasks.length; index++) {
    let best: Offer | null = null
    for (const worker of allowed) {
      if (run.step.maxPerWorker > 0 && (counts.get(worker.facts.id) ?? 0) >= run.step.maxPerWorker) continue
      const offer = buildOffer(options, worker, victims)
      if (offer !== null && (best === null || offer.cost < best.cost)) best = offer
    }
    if (best === null) {
      isComplete = false
      break
    }
    const { id } = best.worker.facts
    if (best.cost >= WAITING_COST) isComplete = false
    for (const task of best.victims) victims.add(task)
    counts.set(id, (counts.get(id) ?? 0) + 1)
    held.set(id, addResources(held.get(id) ?? NO_RESOURCES, run.room))
  }
  return run.step.gang && !isComplete ? [] : [...victims]
}

/** Options of a search below a ceiling. */
export interface CeilingVictimOptions {
  /** Priority of the tasks that wait. */
  readonly priority: number
  /** What the team's ceiling lacks for them; components that are not positive lack nothing. */
  readonly missing: Resources
  /** The team's tasks that hold room. */
  readonly tasks: Iterable<Task>
  readonly readFacts: (task: Task) => TaskFacts
}

/** Chooses less urgent tasks of a team so that its urgent ones fit below its ceiling. */
export function chooseCeilingVictims (options: CeilingVictimOptions): Task[] {
  let left = subtractResources(NO_RESOURCES, options.missing)
  const candidates: { task: Task, facts: TaskFacts }[] = []
  for (const task of options.tasks) {
    const facts = options.readFacts(task)
    if (task.stopping) left = addResources(left, facts.step.resources)
    else if (mayBeStopped(task, facts, options.priority)) candidates.push({ task, facts })
  }
  candidates.sort((a, b) => b.facts.priority - a.facts.priority || a.task.percent - b.task.percent)
  const victims: Task[] = []
  for (const { task, facts } of candidates) {
    if (computeMissing(left) === 0) break
    if (!isHelpful(left, facts.step.resources)) continue
    left = addResources(left, facts.step.resources)
    victims.push(task)
  }
  return victims
}

/** Whether an amount has something of what is missing. */
function isHelpful (left: Resources, amount: Resources): boolean {
  return (left.processors < 0 && amount.processors > 0) || (left.memoryMb < 0 && amount.memoryMb > 0) || (left.accelerators < 0 && amount.accelerators > 0)
}
