/** Reserves capacity for steps that could not be placed, and selects lower-priority tasks to preempt for them. */
import { addResources, type Resources } from '../schema/resources.js'
import type { PartitionWorker } from './partitionWorker.js'
import type { Task } from './jobState.js'
import { createMinimumTree, type MinimumTree } from './minimumTree.js'
import type { PlanningRound } from './planningRound.js'
import { computeShortfall, mayBePreempted } from './preemption.js'
import { createReservationRooms, type PreemptibleTask, type ReservationRooms } from './reservationRooms.js'
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

/** Candidates for tasks of one size and priority, shared by all steps with such tasks. */
interface CandidateSearch {
  readonly request: ReservationRequest
  /**
   * Cost of each worker: size of the tasks to preempt, in cores; `WAIT_COST` plus the missing cores if the reservation has to wait; infinite
   * without capacity.
   */
  readonly costs: MinimumTree
  /** Tasks to preempt, by worker. */
  readonly preempted: Map<number, readonly PreemptibleTask[]>
  /** Number of changes of the round that the candidates include. */
  changesSeen: number
}

/** Base cost of a reservation that waits for running tasks to complete; any that frees capacity by preemption is preferred. */
const WAIT_COST = 1e6

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
  /** Created when first needed: many rounds reserve nothing. */
  let rooms: ReservationRooms | null = null

  const readRooms = (): ReservationRooms => {
    rooms ??= createReservationRooms(round)
    rooms.update()
    return rooms
  }

  /** Computes the cost of a worker by what it lacks, and records the tasks that would be preempted there. */
  const computeCost = ({ request, preempted }: Pick<CandidateSearch, 'request' | 'preempted'>, index: number, shortfall: number, all: ReservationRooms): number => {
    const { instance, mayPreempt } = request
    const { step, taskResources } = instance
    if (step.requiredLabel !== undefined && !round.workers[index]!.info.labels.includes(step.requiredLabel)) return Infinity
    if (shortfall === 0 || shortfall === Infinity) return shortfall
    if (!mayPreempt || !all.mayFree(index, taskResources)) return WAIT_COST + shortfall
    const preemptible = all.readPreemptible(index)
    round.addEvaluations(preemptible.length)
    const chosen = all.readChosen(index)
    const { priority } = instance.job.spec.policy
    const candidates = preemptible.filter((candidate) => mayBePreempted(candidate.task, priority) && !chosen.includes(candidate))
    const tasks = chooseTasksToPreempt(candidates, all.computeLeft(index, taskResources))
    if (tasks === null) return WAIT_COST + shortfall
    preempted.set(index, tasks)
    return tasks.reduce((sum, { size }) => sum + size, 0)
  }

  const findSearch = (request: ReservationRequest): CandidateSearch => {
    const key = buildSearchKey(request)
    const known = searches.get(key)
    if (known !== undefined) return known
    const all = readRooms()
    const preempted = new Map<number, readonly PreemptibleTask[]>()
    const costs = all.listShortfalls(request.instance.taskResources)
    for (let index = 0; index < costs.length; index++) costs[index] = computeCost({ request, preempted }, index, costs[index]!, all)
    round.addEvaluations(costs.length)
    const search = { request, costs: createMinimumTree(costs), preempted, changesSeen: round.changes.length }
    searches.set(key, search)
    return search
  }

  /** Evaluates the workers again that have changed since the last call. */
  const updateSearch = (search: CandidateSearch): void => {
    const unseen = round.changes.length - search.changesSeen
    if (unseen === 0) return
    const all = readRooms()
    const changed = round.changes.slice(search.changesSeen)
    for (const index of unseen > 1 ? new Set(changed) : changed) {
      round.addEvaluations(1)
      search.preempted.delete(index)
      search.costs.set(index, computeCost(search, index, all.computeShortfall(index, search.request.instance.taskResources), all))
    }
    search.changesSeen = round.changes.length
  }

  /** Finds the worker with the lowest cost that the step may use; those that it may not use are passed over and added to `excluded`. */
  const findBest = ({ costs }: CandidateSearch, mayUse: (worker: PartitionWorker) => boolean, excluded: Map<number, number>): number => {
    for (let index = costs.findMinimum(); index >= 0; index = costs.findMinimum()) {
      if (mayUse(round.workers[index]!)) return index
      round.addEvaluations(1)
      excluded.set(index, costs.read(index))
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
    const excluded = new Map<number, number>()
    const preempted: Task[] = []
    let isComplete = true
    for (let count = 0; count < request.tasks.length; count++) {
      updateSearch(search)
      const index = findBest(search, mayUse, excluded)
      if (index < 0) {
        isComplete = false
        break
      }
      if (search.costs.read(index) >= WAIT_COST) isComplete = false
      const tasks = search.preempted.get(index)
      if (tasks !== undefined) {
        for (const { task } of tasks) preempted.push(task)
        readRooms().addChosen(index, tasks)
      }
      if (counts !== null) {
        const { id } = round.workers[index]!.info
        counts.set(id, (counts.get(id) ?? 0) + 1)
      }
      round.reserve(index, instance.taskResources)
    }
    for (const [index, cost] of excluded) search.costs.set(index, cost)
    readRooms().dropChosen()
    return gang && !isComplete ? [] : preempted
  }

  return { reserve }
}
