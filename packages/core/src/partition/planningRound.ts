/** Capacity of the schedulable workers during one planning round, net of what is reserved in it. */
import { addResources, NO_RESOURCES, subtractResources, type Resources } from '../schema/resources.js'
import { computeFree, isSchedulable, type PartitionWorker } from './partitionWorker.js'
import { createResourceTree, type ResourceTree } from './resourceTree.js'

/** Capacity in one planning round; workers go by their index in `workers`. */
export interface PlanningRound {
  readonly nowMs: number
  /** The schedulable workers. */
  readonly workers: readonly PartitionWorker[]
  /** Resources reserved at a worker for waiting steps of a higher rank. */
  readReserved: (index: number) => Resources
  reserve: (index: number, amount: Resources) => void
  /** Holds resources that a step will use once it has advice, so that lower-ranked steps don't query advice for them. */
  reserveForAdvice: (index: number, amount: Resources) => void
  /** Workers whose free resources or tasks have changed in this round, in order of the changes. */
  readonly changes: readonly number[]
  recordChange: (index: number) => void
  /** Records a change by the worker's id. */
  recordTaskChange: (worker: string) => void
  /** Brings the free resources of a worker up to date after a task was started. */
  updateFree: (index: number) => void
  /** Free resources less those reserved. */
  readFree: (index: number) => Resources
  /** Workers whose free, unreserved resources have room for `need`. */
  listFitting: (need: Resources) => number[]
  /** Free resources less those reserved, for advice too. */
  readUnclaimed: (index: number) => Resources
  /** Workers whose unclaimed resources have room for `need`. */
  listUnclaimedFitting: (need: Resources) => number[]
  /** Finds the first worker from `from` on whose unclaimed resources have room for `need`; -1 if none. */
  findUnclaimedFitting: (need: Resources, from: number) => number
  /** Counts evaluations of a worker or task. */
  addEvaluations: (count: number) => void
  countEvaluations: () => number
}

/** Creates the round of the workers that are schedulable now. */
export function createPlanningRound (all: Iterable<PartitionWorker>, nowMs: number): PlanningRound {
  const workers: PartitionWorker[] = []
  let evaluations = 0
  for (const worker of all) {
    evaluations++
    if (isSchedulable(worker, nowMs)) workers.push(worker)
  }
  const recordVisit = (): void => { evaluations++ }
  const free = workers.map(computeFree)
  const unclaimed = [...free]
  const reserved = new Map<number, Resources>()
  const awaitingAdvice = new Map<number, Resources>()
  const freeTree = createResourceTree(free, recordVisit)
  /** Created when first searched: many rounds send no advice query. */
  let unclaimedTree: ResourceTree | null = null
  /** Workers whose amounts are outdated in the trees: most change several times between two searches. */
  const outdated = new Set<number>()
  const changes: number[] = []
  let indexes: Map<string, number> | null = null
  const readReserved = (index: number): Resources => reserved.get(index) ?? NO_RESOURCES

  const updateWorker = (index: number): void => {
    const freeHere = computeFree(workers[index]!)
    const reservedHere = readReserved(index)
    const awaitingHere = awaitingAdvice.get(index)
    free[index] = subtractResources(freeHere, reservedHere)
    unclaimed[index] = awaitingHere === undefined ? free[index] : subtractResources(freeHere, addResources(reservedHere, awaitingHere))
    outdated.add(index)
  }

  const updateTrees = (): void => {
    for (const index of outdated) {
      freeTree.set(index, free[index]!)
      unclaimedTree?.set(index, unclaimed[index]!)
    }
    outdated.clear()
  }

  const readUnclaimedTree = (): ResourceTree => {
    updateTrees()
    unclaimedTree ??= createResourceTree(unclaimed, recordVisit)
    return unclaimedTree
  }

  const updateFree = (index: number): void => {
    updateWorker(index)
    changes.push(index)
  }

  return {
    nowMs,
    workers,
    readReserved,
    reserve: (index, amount) => {
      reserved.set(index, addResources(readReserved(index), amount))
      updateFree(index)
    },
    reserveForAdvice: (index, amount) => {
      awaitingAdvice.set(index, addResources(awaitingAdvice.get(index) ?? NO_RESOURCES, amount))
      updateWorker(index)
    },
    changes,
    recordChange: (index) => { changes.push(index) },
    recordTaskChange: (worker) => {
      indexes ??= new Map(workers.map(({ info }, index) => [info.id, index]))
      const index = indexes.get(worker)
      if (index !== undefined) changes.push(index)
    },
    updateFree,
    readFree: (index) => free[index]!,
    listFitting: (need) => {
      updateTrees()
      return freeTree.listFitting(need)
    },
    readUnclaimed: (index) => unclaimed[index]!,
    listUnclaimedFitting: (need) => readUnclaimedTree().listFitting(need),
    findUnclaimedFitting: (need, from) => readUnclaimedTree().findFitting(need, from),
    addEvaluations: (count) => { evaluations += count },
    countEvaluations: () => evaluations
  }
}
