/** Lease and task API of the platform's workers, over HTTP with JSON bodies. */
import * as Schema from 'effect/Schema'
import { AttemptId } from './job.js'
import { EndedTask, TaskUsage } from './linkMessage.js'
import { Resources } from './resources.js'

/** `POST /lease`: extends the lease and reads the worker's state; refused with 409 if the worker has seen a higher epoch. */
export const LeaseCommand = Schema.Struct({
  owner: Schema.String,
  epoch: Schema.Int,
  /** Incarnation of the worker whose clock `notAfterMs` refers to; any other incarnation does not extend the lease. */
  workerIncarnation: Schema.String,
  /** End of the tasks' lease on the worker's clock; never shortens the lease; 0 leaves it unchanged. */
  notAfterMs: Schema.Finite,
  /** Ended attempts that the worker may discard. */
  acknowledged: Schema.Array(AttemptId),
  /** Revision of the contents that the caller has; if they are unchanged, the response omits them. */
  knownRevision: Schema.optionalKey(Schema.String)
})
export type LeaseCommand = typeof LeaseCommand.Type

/** Busy slots of one runner. */
export const RunnerReport = Schema.Struct({ service: Schema.String, busy: Schema.Int })

/** Response to `POST /lease`. */
export const LeaseReport = Schema.Struct({
  /** Changes when the worker restarts, after which nothing started before is still running. */
  workerIncarnation: Schema.String,
  /** Highest epoch that the worker has seen. */
  epoch: Schema.Int,
  /** The worker's monotonic clock, in milliseconds. */
  clockMs: Schema.Finite,
  /** End of the tasks' lease on that clock; if it has passed, the lease has expired and nothing can be started under this epoch. */
  leaseNotAfterMs: Schema.Finite,
  running: Schema.Array(AttemptId),
  ended: Schema.Array(EndedTask),
  usage: Schema.Array(TaskUsage),
  runners: Schema.Array(RunnerReport)
})
export type LeaseReport = typeof LeaseReport.Type

/** Fields of a `LeaseReport` about tasks and runners; the other fields change with every response. */
export const LEASE_CONTENTS = ['running', 'ended', 'usage', 'runners'] as const

/** Response to `POST /lease` with the revision of its contents. */
export const FullLeaseResponse = Schema.Struct({ ...LeaseReport.fields, revision: Schema.optionalKey(Schema.String) })
export type FullLeaseResponse = typeof FullLeaseResponse.Type

/** Response to `POST /lease` if the contents have not changed since the revision that the caller knows. */
export const UnchangedLeaseResponse = Schema.Struct({
  unchanged: Schema.Literal(true),
  workerIncarnation: LeaseReport.fields.workerIncarnation,
  epoch: LeaseReport.fields.epoch,
  clockMs: LeaseReport.fields.clockMs,
  leaseNotAfterMs: LeaseReport.fields.leaseNotAfterMs
})
export type UnchangedLeaseResponse = typeof UnchangedLeaseResponse.Type

/** `POST /start`: idempotent per attempt; an attempt that has ended or was stopped is never started. */
export const StartCommand = Schema.Struct({
  epoch: Schema.Int,
  /** Incarnation that the command is addressed to; any other one responds with `otherIncarnation`. */
  workerIncarnation: Schema.String,
  id: AttemptId,
  resources: Resources,
  payload: Schema.String
})
export type StartCommand = typeof StartCommand.Type

/** `POST /stop`: ends an attempt, or prevents its start if it has not started. */
export const StopCommand = Schema.Struct({
  epoch: Schema.Int,
  workerIncarnation: Schema.String,
  id: AttemptId,
  /** `checkpoint` saves the task's state first; `throttle` slows the task down without ending it. */
  mode: Schema.Literals(['stop', 'checkpoint', 'throttle'])
})
export type StopCommand = typeof StopCommand.Type

/** Response to `POST /start` and `POST /stop`. */
export const CommandReport = Schema.Struct({
  result: Schema.Literals(['accepted', 'staleEpoch', 'otherIncarnation', 'leaseLapsed', 'ended', 'noRoom'])
})
export type CommandReport = typeof CommandReport.Type
