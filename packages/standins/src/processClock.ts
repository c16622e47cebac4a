/** Monotonic time of the machine, comparable between processes, and its randomness. */
import type { Clock } from '@fuchsiatally/core'
import { createSystemClock } from '@fuchsiatally/core/testing/systemClock'

const NS_PER_MS = 1e6

/** Milliseconds of the machine's monotonic clock. */
export function readMachineMs (): number {
  return Number(process.hrtime.bigint()) / NS_PER_MS
}

/** Creates a clock whose monotonic time all processes of the machine share. */
export function createProcessClock (): Clock {
  return { ...createSystemClock(), nowMs: readMachineMs }
}
