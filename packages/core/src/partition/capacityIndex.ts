/** Total capacity of a partition's workers, for questions that don't depend on what runs there. */
import type { Resources } from '../schema/resources.js'
import type { PartitionWorker, WorkerInfo } from './partitionWorker.js'
import { createResourceTree, type ResourceTree } from './resourceTree.js'

/** Workers by label and capacity. */
export interface CapacityIndex {
  /** Whether the capacity of any worker, with the label if one is required, has room for `need`. */
  hasWorkerFor: (need: Resources, label: string | undefined) => boolean
  /** Records that a worker is about to be added, changed or removed. */
  recordChange: (previous: WorkerInfo | undefined, next: WorkerInfo | undefined) => void
}

function isAlike (a: WorkerInfo, b: WorkerInfo): boolean {
  return a.capacity.processors === b.capacity.processors && a.capacity.memoryMb === b.capacity.memoryMb &&
    a.capacity.accelerators === b.capacity.accelerators && a.labels.length === b.labels.length && a.labels.every((label, index) => label === b.labels[index])
}

/**
 * Creates an index that is built when first asked, and again after a change of capacity or labels.
 *
 * @param recordVisit called for each evaluation of a worker
 */
export function createCapacityIndex (workers: ReadonlyMap<string, PartitionWorker>, recordVisit: () => void): CapacityIndex {
  const trees = new Map<string | undefined, ResourceTree>()

  const buildTree = (label: string | undefined): ResourceTree => {
    const capacities: Resources[] = []
    for (const { info } of workers.values()) {
      recordVisit()
      if (label === undefined || info.labels.includes(label)) capacities.push(info.capacity)
    }
    return createResourceTree(capacities, recordVisit)
  }

  return {
    hasWorkerFor: (need, label) => {
      let tree = trees.get(label)
      if (tree === undefined) {
        tree = buildTree(label)
        trees.set(label, tree)
      }
      return tree.findFitting(need, 0) >= 0
    },
    recordChange: (previous, next) => {
      if (previous === undefined || next === undefined || !isAlike(previous, next)) trees.clear()
    }
  }
}
