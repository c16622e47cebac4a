/** What the stand-ins and the load generator record; times are of the machine's monotonic clock. */
import type { AttemptId, Resources } from '@fuchsiatally/core'

/** One run of an attempt at a worker. */
export interface TaskRunRecord {
  readonly worker: string
  readonly id: AttemptId
  readonly resources: Resources
  readonly startedAtMs: number
  /** Absent while it runs. */
  readonly endedAtMs?: number
  readonly result?: string
}

/** One request that a runner worked on. */
export interface ExecutionRecord {
  readonly worker: string
  readonly service: string
  readonly team: string
  /** The caller's own name of the request, from the header `x-request-key`. */
  readonly requestKey: string
  readonly startedAtMs: number
  /** Absent while it runs. */
  endedAtMs?: number
}

/** Answer of a worker host's `GET /records`. */
export interface WorkerRecords {
  readonly runs: readonly TaskRunRecord[]
  readonly executions: readonly ExecutionRecord[]
  /** Exchanges refused for want of a slot. */
  readonly refusals: number
}

/**
 * How a request ended for its caller; `cutOff`: the connection broke before an answer;
 * `rejected`: refused at the door, such as for its key.
 */
export type CallerOutcome = 'completed' | 'notRun' | 'unknown' | 'rejected' | 'cutOff'

/** One request as its caller saw it. */
export interface RequestRecord {
  readonly requestKey: string
  readonly entry: string
  /** Team whose key was sent. */
  readonly team: string
  readonly keyId: string
  readonly idempotent: boolean
  readonly sentAtMs: number
  readonly endedAtMs: number
  readonly outcome: CallerOutcome
  readonly status: number
  /** Why it was not answered, in words. */
  readonly reason: string
  /** Whether the answer carries this request's key and its whole body. */
  readonly isOwnAnswer: boolean
  readonly hasRetryAfter: boolean
}

/** Version of the configuration that an entry reported. */
export interface ConfigSighting {
  readonly entry: string
  readonly incarnation: string
  readonly version: number
  readonly atMs: number
}
