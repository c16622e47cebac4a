/** What overlaps in time: sums of amounts over spans. */
import { addResources, NO_RESOURCES, type Resources, subtractResources } from '@fuchsiatally/core'

/** Something that holds an amount for a time. */
export interface Span {
  readonly startedAtMs: number
  /** Absent while it lasts. */
  readonly endedAtMs?: number
  readonly resources: Resources
}

/** Highest sum of a component, each on its own, and the most spans at once. */
export interface Peak {
  readonly processors: number
  readonly memoryMb: number
  readonly accelerators: number
  readonly count: number
}

interface Change {
  readonly atMs: number
  readonly isStart: boolean
  readonly resources: Resources
}

/** Computes the peaks of overlapping spans; a span that ends when another starts does not overlap it. */
export function computePeak (spans: readonly Span[]): Peak {
  const changes = spans.flatMap((span): Change[] => [
    { atMs: span.startedAtMs, isStart: true, resources: span.resources },
    { atMs: span.endedAtMs ?? Infinity, isStart: false, resources: span.resources }
  ])
  changes.sort((a, b) => a.atMs - b.atMs || Number(a.isStart) - Number(b.isStart))
  let sum = NO_RESOURCES
  let running = 0
  let peak: Peak = { ...NO_RESOURCES, count: 0 }
  for (const change of changes) {
    sum = change.isStart ? addResources(sum, change.resources) : subtractResources(sum, change.resources)
    running += change.isStart ? 1 : -1
    peak = {
      processors: Math.max(peak.processors, sum.processors),
      memoryMb: Math.max(peak.memoryMb, sum.memoryMb),
      accelerators: Math.max(peak.accelerators, sum.accelerators),
      count: Math.max(peak.count, running)
    }
  }
  return peak
}

/** Groups items by a name. */
export function collectBy<T> (items: readonly T[], readName: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const name = readName(item)
    const group = groups.get(name)
    if (group === undefined) groups.set(name, [item])
    else group.push(item)
  }
  return groups
}
