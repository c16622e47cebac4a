/** Lower bound for vector bin packing. */
import type { Resources, SchedulerWorker } from '@fuchsiatally/core'

const RESOURCE_NAMES = ['processors', 'memoryMb', 'accelerators'] as const

/** Computes the minimum number of VMs whose summed capacity covers the usage, taken separately for each resource. */
export function computeVmBound (workers: readonly SchedulerWorker[], used: Resources): number {
  let bound = 0
  for (const resource of RESOURCE_NAMES) {
    const capacities = workers.map(({ capacity }) => capacity[resource]).sort((a, b) => b - a)
    let remaining = used[resource] - 1e-6
    let count = 0
    while (remaining > 0 && count < capacities.length) remaining -= capacities[count++]!
    bound = Math.max(bound, count)
  }
  return bound
}
