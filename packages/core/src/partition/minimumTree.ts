/** Tournament tree over costs. */

/** Costs by index. */
export interface MinimumTree {
  read: (index: number) => number
  set: (index: number, cost: number) => void
  /** Finds the first index of the lowest cost; -1 if all costs are infinite. */
  findMinimum: () => number
}

/** Creates a tree of `costs`. */
export function createMinimumTree (costs: ArrayLike<number>): MinimumTree {
  let size = 1
  while (size < costs.length) size *= 2
  const values = new Float64Array(size).fill(Infinity)
  values.set(costs)
  /** Index of the lowest cost below each node; the leaves are implied. */
  const winners = new Int32Array(2 * size)
  for (let index = 0; index < size; index++) winners[size + index] = index

  const updateNode = (node: number): void => {
    const left = winners[2 * node]!
    const right = winners[2 * node + 1]!
    winners[node] = values[right]! < values[left]! ? right : left
  }
  for (let node = size - 1; node > 0; node--) updateNode(node)

  return {
    read: (index) => values[index]!,
    set: (index, cost) => {
      if (values[index] === cost) return
      values[index] = cost
      for (let node = (size + index) >> 1; node > 0; node >>= 1) updateNode(node)
    },
    findMinimum: () => {
      const winner = winners[1]!
      return values[winner]! < Infinity ? winner : -1
    }
  }
}
