/** Records of the stand-ins and the load generator; timestamps come from the host's monotonic clock. */
import type { AttemptId, Resources } from '@fuchsiatally/core'

/** One run of a task attempt on a worker. */
export interface TaskRunRecord {
  readonly worker: string
  readonly id: AttemptId
  readonly resources: Resources
  readonly startedAtMs: number
  /** Absent while it runs. */
  readonly endedAtMs?: number
  readonly result?: string
}

/** One request executed by a runner. */
export interface ExecutionRecord {
  readonly worker: string
  readonly service: string
  readonly team: string
  /** Identifier that the caller chose, from the header `x-request-key`. */
  readonly requestKey: string
  readonly startedAtMs: number
  /** Absent while it runs. */
  endedAtMs?: number
}

/** Response of a worker host to `GET /records`. */
export interface WorkerRecords {
  readonly runs: readonly TaskRunRecord[]
  readonly executions: readonly ExecutionRecord[]
  /** Exchanges that runners refused, because all slots were in use or in the mode `refusing`. */
  readonly refusals: number
}

/**
 * How a request ended for its caller; `notRun`: refused with status 503 and reported as not executed; `unknown`: it may have been executed;
 * `rejected`: refused before execution, for example because of an invalid key; `cutOff`: the connection failed before a complete response.
 */
export type CallerOutcome = 'completed' | 'notRun' | 'unknown' | 'rejected' | 'cutOff'

/** One request as observed by its caller. */
export interface RequestRecord {
  readonly requestKey: string
  readonly entry: string
  /** Team on whose behalf the request was sent. */
  readonly team: string
  readonly keyId: string
  readonly idempotent: boolean
  readonly sentAtMs: number
  readonly endedAtMs: number
  readonly outcome: CallerOutcome
  readonly status: number
  /** Human-readable reason if it did not complete. */
  readonly reason: string
  /** Whether the response carries this request's key, the digest of its complete body and all of the filler. */
  readonly isValidResponse: boolean
  readonly hasRetryAfter: boolean
}

/** Configuration version that an entry reported at a point in time. */
export interface ConfigObservation {
  readonly entry: string
  readonly incarnation: string
  readonly version: number
  readonly atMs: number
}
