/** Reserves capacity for steps that could not be placed, and selects lower-priority tasks to preempt for them. */
import { addResources, hasRoomFor, NO_RESOURCES, subtractResources, type Resources } from '../schema/resources.js'
import { canEverRun, computeFree, computeTaskResources, type PartitionWorker } from './partitionWorker.js'
import type { Task } from './jobState.js'
import { createMinimumTree, type MinimumTree } from './minimumTree.js'
import type { PlanningRound } from './planningRound.js'
import { computeShortfall, computeSize, mayBePreempted } from './preemption.js'
import { countTasksByWorker, type StepInstance } from './stepInstance.js'

/** A step that could not be placed. */
export interface ReservationRequest {
  readonly instance: StepInstance
  /** Tasks of the step that could not be placed. */
  readonly tasks: readonly Task[]
  /** Whether lower-priority tasks may be preempted. */
  readonly mayPreempt: boolean
}

/** Reservations of one planning round. */
export interface CapacityReservations {
  /**
   * Reserves capacity for each task at the suitable worker with the lowest cost.
   *
   * @returns tasks to preempt; none for a gang that would still not fit
   */
  reserve: (request: ReservationRequest) => Task[]
}

interface PreemptibleTask {
  readonly task: Task
  readonly resources: Resources
  readonly size: number
}

/** Tasks at a worker as they were at the start of the round. */
interface WorkerTasks {
  /** Resources that will be released by stops in progress. */
  readonly stopping: Resources
  /** Smallest first. */
  readonly preemptible: readonly PreemptibleTask[]
}

interface ReservationCandidate {
  readonly preempted: readonly PreemptibleTask[]
  /** Size of the tasks to preempt, in cores; `WAIT_COST` plus the missing cores if the reservation has to wait; infinite without capacity. */
  readonly cost: number
}

/** Candidates for tasks of one size and priority, shared by all steps with such tasks. */
interface CandidateSearch {
  readonly request: ReservationRequest
  readonly candidates: ReservationCandidate[]
  readonly costs: MinimumTree
  /** Number of changes of the round that the candidates include. */
  changesSeen: number
}

/** Base cost of a reservation that waits for running tasks to complete; any that frees capacity by preemption is preferred. */
const WAIT_COST = 1e6

const NO_CANDIDATE: ReservationCandidate = { preempted: [], cost: Infinity }

function collectTasks (worker: PartitionWorker): WorkerTasks {
  let stopping = NO_RESOURCES
  const preemptible: PreemptibleTask[] = []
  for (const task of worker.tasks) {
    const resources = computeTaskResources(task.definition)
    if (task.stopping) stopping = addResources(stopping, resources)
    else if (mayBePreempted(task, -Infinity)) preemptible.push({ task, resources, size: computeSize(resources) })
  }
  preemptible.sort((a, b) => a.size - b.size)
  return { stopping, preemptible }
}

/** Chooses the smallest task that makes up for the shortfall of `left`, else as few as possible; `null` if all together don't. */
function chooseTasksToPreempt (candidates: readonly PreemptibleTask[], left: Resources): PreemptibleTask[] | null {
  const enough = candidates.find(({ resources }) => computeShortfall(addResources(left, resources)) === 0)
  if (enough !== undefined) return [enough]
  const preempted: PreemptibleTask[] = []
  let remaining = left
  for (let index = candidates.length - 1; index >= 0; index--) {
    const candidate = candidates[index]!
    preempted.push(candidate)
    remaining = addResources(remaining, candidate.resources)
    if (computeShortfall(remaining) === 0) return preempted
  }
  return null
}

function buildSearchKey ({ instance, mayPreempt }: ReservationRequest): string {
  const { processors, memoryMb, accelerators } = instance.taskResources
  return `${instance.job.spec.policy.priority} ${mayPreempt} ${processors} ${memoryMb} ${accelerators} ${instance.step.requiredLabel ?? ''}`
}

/** Creates the reservations of a round. */
export function createCapacityReservations (round: PlanningRound): CapacityReservations {
  const searches = new Map<string, CandidateSearch>()
  const tasksByWorker = new Map<number, WorkerTasks>()
  /** Tasks chosen for preemption by the request being served, by worker. */
  const chosen = new Map<number, PreemptibleTask[]>()

  const readTasks = (index: number): WorkerTasks => {
    const known = tasksByWorker.get(index)
    if (known !== undefined) return known
    const worker = round.workers[index]!
    round.addEvaluations(worker.tasks.size)
    const tasks = collectTasks(worker)
    tasksByWorker.set(index, tasks)
    return tasks
  }

  const buildCandidate = ({ instance, mayPreempt }: ReservationRequest, index: number): ReservationCandidate => {
    round.addEvaluations(1)
    const worker = round.workers[index]!
    if (!canEverRun(worker, instance.step)) return NO_CANDIDATE
    const claimed = addResources(round.readReserved(index), instance.taskResources)
    if (!hasRoomFor(worker.info.capacity, claimed)) return NO_CANDIDATE
    const { stopping, preemptible } = readTasks(index)
    const chosenHere = chosen.get(index) ?? []
    let left = subtractResources(addResources(computeFree(worker), stopping), claimed)
    for (const { resources } of chosenHere) left = addResources(left, resources)
    const shortfall = computeShortfall(left)
    if (shortfall === 0) return { preempted: [], cost: 0 }
    const wait = { preempted: [], cost: WAIT_COST + shortfall }
    if (!mayPreempt) return wait
    round.addEvaluations(preemptible.length)
    const { priority } = instance.job.spec.policy
    const preempted = chooseTasksToPreempt(preemptible.filter((candidate) => mayBePreempted(candidate.task, priority) && !chosenHere.includes(candidate)), left)
    return preempted === null ? wait : { preempted, cost: preempted.reduce((sum, { size }) => sum + size, 0) }
  }

  const findSearch = (request: ReservationRequest): CandidateSearch => {
    const key = buildSearchKey(request)
    const known = searches.get(key)
    if (known !== undefined) return known
    const candidates = round.workers.map((_, index) => buildCandidate(request, index))
    const search = { request, candidates, costs: createMinimumTree(candidates.map(({ cost }) => cost)), changesSeen: round.changes.length }
    searches.set(key, search)
    return search
  }

  /** Evaluates the workers again that have changed since the last call. */
  const updateSearch = (search: CandidateSearch): void => {
    const unseen = round.changes.length - search.changesSeen
    if (unseen === 0) return
    const changed = round.changes.slice(search.changesSeen)
    for (const index of unseen > 1 ? new Set(changed) : changed) {
      const candidate = buildCandidate(search.request, index)
      search.candidates[index] = candidate
      search.costs.set(index, candidate.cost)
    }
    search.changesSeen = round.changes.length
  }

  /** Finds the worker with the lowest cost that the step may use; those that it may not use are passed over and added to `excluded`. */
  const findBest = ({ costs }: CandidateSearch, mayUse: (worker: PartitionWorker) => boolean, excluded: number[]): number => {
    for (let index = costs.findMinimum(); index >= 0; index = costs.findMinimum()) {
      if (mayUse(round.workers[index]!)) return index
      round.addEvaluations(1)
      excluded.push(index)
      costs.set(index, Infinity)
    }
    return -1
  }

  const reserve = (request: ReservationRequest): Task[] => {
    const { instance } = request
    const { maxPerWorker, gang } = instance.step
    const search = findSearch(request)
    updateSearch(search)
    if (search.costs.findMinimum() < 0) return []
    const counts = maxPerWorker > 0 ? countTasksByWorker(instance) : null
    const mayUse = ({ info: { id } }: PartitionWorker): boolean => {
      return !instance.unsuitable.has(id) && (counts === null || (counts.get(id) ?? 0) < maxPerWorker)
    }
    const excluded: number[] = []
    const preempted: Task[] = []
    let isComplete = true
    for (let count = 0; count < request.tasks.length; count++) {
      updateSearch(search)
      const index = findBest(search, mayUse, excluded)
      if (index < 0) {
        isComplete = false
        break
      }
      const best = search.candidates[index]!
      if (best.cost >= WAIT_COST) isComplete = false
      for (const { task } of best.preempted) preempted.push(task)
      if (best.preempted.length > 0) chosen.set(index, [...chosen.get(index) ?? [], ...best.preempted])
      if (counts !== null) {
        const { id } = round.workers[index]!.info
        counts.set(id, (counts.get(id) ?? 0) + 1)
      }
      round.reserve(index, instance.taskResources)
    }
    for (const index of excluded) search.costs.set(index, search.candidates[index]!.cost)
    for (const index of chosen.keys()) round.recordChange(index)
    chosen.clear()
    return gang && !isComplete ? [] : preempted
  }

  return { reserve }
}
