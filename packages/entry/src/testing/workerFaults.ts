/** Faults of a worker model and the simulated execution of its tasks. */
import { createDecoder } from '@fuchsiatally/core'
import * as Schema from 'effect/Schema'

/** Fault settings; the fields may change at any time. */
export interface WorkerFaults {
  /** Every task fails shortly after its start. */
  failAllTasks: boolean
  /** Ratio of the actual run time to the run time in the payload. */
  runTimeFactor: number
  /** Ratio of actual usage to declared resources. */
  usageFactor: number
}

/** Creates settings without any fault. */
export function createWorkerFaults (): WorkerFaults {
  return { failAllTasks: false, runTimeFactor: 1, usageFactor: 0.8 }
}

/** Payload that sets how a task runs in a test; any other payload gets the default run time. */
export const TaskPayload = Schema.Struct({
  runMs: Schema.Finite,
  result: Schema.optionalKey(Schema.Literals(['completed', 'failed']))
})
export type TaskPayload = typeof TaskPayload.Type

const FAILURE_DELAY_MS = 50
const decodePayload = createDecoder(TaskPayload)

/** Decides how long a task runs and how it ends. */
export function decideTaskRun (
  payload: string, defaultRunMs: number, faults: WorkerFaults
): { readonly runMs: number, readonly result: 'completed' | 'failed' } {
  if (faults.failAllTasks) return { runMs: FAILURE_DELAY_MS, result: 'failed' }
  const requested = parsePayload(payload)
  return { runMs: (requested?.runMs ?? defaultRunMs) * faults.runTimeFactor, result: requested?.result ?? 'completed' }
}

function parsePayload (payload: string): TaskPayload | undefined {
  if (!payload.startsWith('{')) return undefined
  try {
    return decodePayload(JSON.parse(payload)).unwrapOr(undefined)
  } catch {
    return undefined
  }
}
