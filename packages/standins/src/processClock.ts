/** Clock for multi-process clusters: monotonic timestamps that are comparable across processes of one host. */
import type { Clock } from '@fuchsiatally/core'
import { createSystemClock } from '@fuchsiatally/core/testing/systemClock'

const NS_PER_MS = 1e6

/** Reads the host's monotonic clock, in milliseconds. */
export function readMonotonicMs (): number {
  return Number(process.hrtime.bigint()) / NS_PER_MS
}

/** Creates a clock whose monotonic time is shared by all processes of the host. */
export function createProcessClock (): Clock {
  return { ...createSystemClock(), nowMs: readMonotonicMs }
}
