/** Search tree over amounts of resources: finds those with room for a need without looking at the others. */
import type { Resources } from '../schema/resources.js'

/** Amounts by index, with the component-wise maximum of each subtree. */
export interface ResourceTree {
  set: (index: number, amount: Resources) => void
  /** Finds the first index from `from` on whose amount has room for `need`; -1 if none. */
  findFitting: (need: Resources, from: number) => number
  /** Lists all indexes whose amounts have room for `need`, in ascending order. */
  listFitting: (need: Resources) => number[]
}

/**
 * Creates a tree of `amounts`.
 *
 * @param recordVisit called for each node visited by a search
 */
export function createResourceTree (amounts: readonly Resources[], recordVisit: () => void): ResourceTree {
  let size = 1
  while (size < amounts.length) size *= 2
  const processors = new Float64Array(2 * size).fill(-Infinity)
  const memoryMb = new Float64Array(2 * size).fill(-Infinity)
  const accelerators = new Float64Array(2 * size).fill(-Infinity)

  const setLeaf = (index: number, amount: Resources): void => {
    processors[size + index] = amount.processors
    memoryMb[size + index] = amount.memoryMb
    accelerators[size + index] = amount.accelerators
  }

  const updateNode = (node: number): void => {
    const left = 2 * node
    processors[node] = Math.max(processors[left]!, processors[left + 1]!)
    memoryMb[node] = Math.max(memoryMb[left]!, memoryMb[left + 1]!)
    accelerators[node] = Math.max(accelerators[left]!, accelerators[left + 1]!)
  }

  const fits = (node: number, need: Resources): boolean => {
    recordVisit()
    return need.processors <= processors[node]! && need.memoryMb <= memoryMb[node]! && need.accelerators <= accelerators[node]!
  }

  /** Searches the subtree of `node`, which covers `count` indexes beginning with `first`. */
  const findBelow = (node: number, first: number, count: number, need: Resources, from: number): number => {
    if (first + count <= from || !fits(node, need)) return -1
    if (count === 1) return first
    const half = count / 2
    const found = findBelow(2 * node, first, half, need, from)
    return found >= 0 ? found : findBelow(2 * node + 1, first + half, half, need, from)
  }

  const collectBelow = (node: number, need: Resources, found: number[]): void => {
    if (!fits(node, need)) return
    if (node >= size) {
      found.push(node - size)
      return
    }
    collectBelow(2 * node, need, found)
    collectBelow(2 * node + 1, need, found)
  }

  for (const [index, amount] of amounts.entries()) setLeaf(index, amount)
  for (let node = size - 1; node > 0; node--) updateNode(node)

  return {
    set: (index, amount) => {
      setLeaf(index, amount)
      for (let node = (size + index) >> 1; node > 0; node >>= 1) updateNode(node)
    },
    findFitting: (need, from) => findBelow(1, 0, size, need, from),
    listFitting: (need) => {
      const found: number[] = []
      collectBelow(1, need, found)
      return found
    }
  }
}
