/** Detects jobs at submission that can never run on the present workers. */
import type { JobSpec } from '../schema/job.js'
import { countFits, createAmounts, createCapacity, createNeed, findLackingComponent, type Amounts } from '../vm/amounts.js'
import type { SchedulerWorker } from './cellScheduler.js'

/** Reason why a job can never run on the present workers. */
export interface NeverFits {
  /** What is missing: a resource of one task, the pool, or room for all members of a gang at once. */
  readonly resource: 'processors' | 'memoryMb' | 'accelerators' | 'pool' | 'gang'
  readonly message: string
}

/** Finds the reason why a job could not run even in an empty cell; `undefined` if it could run. */
export function findNeverFits (spec: JobSpec, workers: readonly SchedulerWorker[]): NeverFits | undefined {
  if (workers.length === 0) return undefined
  const pool = workers.filter((worker) => spec.pool === undefined || worker.pool === spec.pool)
  if (pool.length === 0) {
    return { resource: 'pool', message: `no worker is in pool ${spec.pool}; name one of ${listPools(workers)}` }
  }
  const need = createNeed(spec.resources)
  let members = 0
  const largest = createAmounts()
  for (const worker of pool) {
    const capacity = createCapacity(worker.capacity)
    members += countFits(capacity, need, spec.taskCount)
    updateMaximum(largest, capacity)
  }
  if (members === 0) return describeLackingResource(largest, need, pool)
  if (spec.kind === 'gang' && members < spec.taskCount) {
    const message = `the gang has ${spec.taskCount} tasks, but empty workers hold at most ${members} of them at once; lower taskCount`
    return { resource: 'gang', message }
  }
  return undefined
}

function describeLackingResource (largest: Amounts, need: Amounts, pool: readonly SchedulerWorker[]): NeverFits {
  const resource = findLackingComponent(largest, need)
  if (resource) {
    const message = `a task needs ${formatAmount(resource, need)}, the largest worker offers ${formatAmount(resource, largest)}`
    return { resource, message: `${message}; lower resources.${resource}` }
  }
  const rarest = findRarestShortage(need, pool)
  const message = `no single worker offers all that a task needs; the closest lacks ${rarest}, lower resources.${rarest}`
  return { resource: rarest, message }
}

/** Counts for each worker the first component that it lacks, and returns the component with the lowest count above zero. */
function findRarestShortage (need: Amounts, pool: readonly SchedulerWorker[]): keyof Amounts {
  const lackingCounts = { processors: 0, memoryMb: 0, accelerators: 0 }
  for (const worker of pool) lackingCounts[findLackingComponent(createCapacity(worker.capacity), need)!] += 1
  let rarest: keyof Amounts = 'processors'
  for (const component of ['memoryMb', 'accelerators'] as const) {
    if (lackingCounts[component] > 0 && (lackingCounts[rarest] === 0 || lackingCounts[component] < lackingCounts[rarest])) rarest = component
  }
  return rarest
}

function updateMaximum (largest: Amounts, capacity: Amounts): void {
  largest.processors = Math.max(largest.processors, capacity.processors)
  largest.memoryMb = Math.max(largest.memoryMb, capacity.memoryMb)
  largest.accelerators = Math.max(largest.accelerators, capacity.accelerators)
}

function formatAmount (resource: keyof Amounts, amounts: Amounts): string {
  if (resource === 'processors') return `${amounts.processors / 1000} processors`
  if (resource === 'memoryMb') return `${amounts.memoryMb} MiB of memory`
  return `${amounts.accelerators} accelerators`
}

function listPools (workers: readonly SchedulerWorker[]): string {
  return [...new Set(workers.map((worker) => worker.pool))].sort().join(', ')
}
