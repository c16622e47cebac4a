/** Lower bound of vector packing. */
import type { Resources, SchedulerWorker } from '@fuchsiatally/core'

const COMPONENTS = ['processors', 'memoryMb', 'accelerators'] as const

/** Fewest VMs whose capacities could add up to what is used, component by component. */
export function computeVmBound (workers: readonly SchedulerWorker[], used: Resources): number {
  let bound = 0
  for (const component of COMPONENTS) {
    const sizes = workers.map(({ capacity }) => capacity[component]).sort((a, b) => b - a)
    let left = used[component] - 1e-6
    let count = 0
    while (left > 0 && count < sizes.length) left -= sizes[count++]!
    bound = Math.max(bound, count)
  }
  return bound
}
