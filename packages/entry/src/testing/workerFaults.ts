/** Faults of a worker and how its tasks run. */
import { createDecoder } from '@fuchsiatally/core'
import * as Schema from 'effect/Schema'

/** Switches; change the fields at any time. */
export interface WorkerFaults {
  /** Every task fails soon after its start. */
  failEverything: boolean
  /** Real run time over the run time that the payload asks for. */
  runTimeFactor: number
  /** Real usage over declared resources. */
  usageFactor: number
}

/** Creates switches that are all off. */
export function createWorkerFaults (): WorkerFaults {
  return { failEverything: false, runTimeFactor: 1, usageFactor: 0.8 }
}

/** Payload by which a test tells a task how to run; any other payload gets the default run time. */
export const TaskPayload = Schema.Struct({
  runMs: Schema.Finite,
  result: Schema.optionalKey(Schema.Literals(['completed', 'failed']))
})
export type TaskPayload = typeof TaskPayload.Type

const FAILURE_MS = 50
const decodePayload = createDecoder(TaskPayload)

/** Decides how long a task runs and how it ends. */
export function decideTaskRun (
  payload: string, defaultRunMs: number, faults: WorkerFaults
): { readonly runMs: number, readonly result: 'completed' | 'failed' } {
  if (faults.failEverything) return { runMs: FAILURE_MS, result: 'failed' }
  const asked = parsePayload(payload)
  return { runMs: (asked?.runMs ?? defaultRunMs) * faults.runTimeFactor, result: asked?.result ?? 'completed' }
}

function parsePayload (payload: string): TaskPayload | undefined {
  if (!payload.startsWith('{')) return undefined
  try {
    return decodePayload(JSON.parse(payload)).unwrapOr(undefined)
  } catch {
    return undefined
  }
}
