/** Total capacity of a partition's workers, for questions that don't depend on what runs there. */
import { hasRoomFor, type Resources } from '../schema/resources.js'
import type { PartitionWorker, WorkerInfo } from './partitionWorker.js'
import { createResourceTree, type ResourceTree } from './resourceTree.js'

/** Workers by label and capacity. */
export interface CapacityIndex {
  /** Whether the capacity of any worker, with the label if one is required, has room for `need`. */
  hasWorkerFor: (need: Resources, label: string | undefined) => boolean
  /** Records that a worker is about to be added, changed or removed. */
  recordChange: (previous: WorkerInfo | undefined, next: WorkerInfo | undefined) => void
}

/** Capacities of the workers with one label. */
interface LabelIndex {
  readonly capacities: readonly Resources[]
  readonly tree: ResourceTree
  /** Capacity that the last search found: it mostly has room for the next need, too. */
  lastFound: Resources | null
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
  const indexes = new Map<string | undefined, LabelIndex>()

  const buildIndex = (label: string | undefined): LabelIndex => {
    const capacities: Resources[] = []
    for (const { info } of workers.values()) {
      recordVisit()
      if (label === undefined || info.labels.includes(label)) capacities.push(info.capacity)
    }
    return { capacities, tree: createResourceTree(capacities, recordVisit), lastFound: null }
  }

  return {
    hasWorkerFor: (need, label) => {
      let index = indexes.get(label)
      if (index === undefined) {
        index = buildIndex(label)
        indexes.set(label, index)
      }
      recordVisit()
      if (index.lastFound !== null && hasRoomFor(index.lastFound, need)) return true
      const found = index.capacities[index.tree.findFitting(need, 0)]
      if (found !== undefined) index.lastFound = found
      return found !== undefined
    },
    recordChange: (previous, next) => {
      if (previous === undefined || next === undefined || !isAlike(previous, next)) indexes.clear()
    }
  }
}
