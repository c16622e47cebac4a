/** Sweep-line computation of the peak resource use of overlapping intervals. */
import { addResources, NO_RESOURCES, type Resources, subtractResources } from '@fuchsiatally/core'

/** An interval of time during which resources are held. */
export interface Interval {
  readonly startedAtMs: number
  /** Absent while the interval is open. */
  readonly endedAtMs?: number
  readonly resources: Resources
}

/** Peak of each resource, taken independently, and peak number of concurrent intervals. */
export interface PeakUse {
  readonly processors: number
  readonly memoryMb: number
  readonly accelerators: number
  readonly count: number
}

interface Boundary {
  readonly atMs: number
  readonly isStart: boolean
  readonly resources: Resources
}

/** Computes the peaks over all intervals; they are half-open, so one that ends when another starts does not overlap it. */
export function computePeak (intervals: readonly Interval[]): PeakUse {
  const boundaries = intervals.flatMap((interval): Boundary[] => [
    { atMs: interval.startedAtMs, isStart: true, resources: interval.resources },
    { atMs: interval.endedAtMs ?? Infinity, isStart: false, resources: interval.resources }
  ])
  boundaries.sort((a, b) => a.atMs - b.atMs || Number(a.isStart) - Number(b.isStart))
  let sum = NO_RESOURCES
  let openCount = 0
  let peak: PeakUse = { ...NO_RESOURCES, count: 0 }
  for (const boundary of boundaries) {
    sum = boundary.isStart ? addResources(sum, boundary.resources) : subtractResources(sum, boundary.resources)
    openCount += boundary.isStart ? 1 : -1
    peak = {
      processors: Math.max(peak.processors, sum.processors),
      memoryMb: Math.max(peak.memoryMb, sum.memoryMb),
      accelerators: Math.max(peak.accelerators, sum.accelerators),
      count: Math.max(peak.count, openCount)
    }
  }
  return peak
}

export function collectBy<T> (items: readonly T[], readKey: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const key = readKey(item)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [item])
    else group.push(item)
  }
  return groups
}
