/** The lease and task interface that the platform's workers offer over HTTP with JSON bodies. */
import * as Schema from 'effect/Schema'
import { AttemptId } from './job.js'
import { EndedTask, TaskUsage } from './linkMessage.js'
import { Resources } from './resources.js'

/** `POST /lease`: contact with a worker; refused with 409 if the worker has seen a higher epoch. */
export const LeaseCommand = Schema.Struct({
  owner: Schema.String,
  epoch: Schema.Int,
  /** Incarnation of the worker whose clock `notAfterMs` is a time of; another one extends nothing. */
  workerIncarnation: Schema.String,
  /** Time on the worker's clock until which its tasks may run; never shortens; 0 extends nothing. */
  notAfterMs: Schema.Finite,
  /** Ended attempts that the worker may forget. */
  acknowledged: Schema.Array(AttemptId),
  /** Revision of the contents that the caller holds; if they are unchanged, the answer leaves them out. */
  knownRevision: Schema.optionalKey(Schema.String)
})
export type LeaseCommand = typeof LeaseCommand.Type

/** Busy slots of one runner. */
export const RunnerReport = Schema.Struct({ service: Schema.String, busy: Schema.Int })

/** Answer to `POST /lease`. */
export const LeaseReport = Schema.Struct({
  /** Changes when the worker restarts; nothing started before runs any longer then. */
  workerIncarnation: Schema.String,
  /** Highest epoch that the worker has seen. */
  epoch: Schema.Int,
  /** The worker's monotonic clock, in milliseconds. */
  clockMs: Schema.Finite,
  /** Time on that clock at which the tasks' lease ends; past means lapsed: no start under this epoch. */
  leaseNotAfterMs: Schema.Finite,
  running: Schema.Array(AttemptId),
  ended: Schema.Array(EndedTask),
  usage: Schema.Array(TaskUsage),
  runners: Schema.Array(RunnerReport)
})
export type LeaseReport = typeof LeaseReport.Type

/** What a `LeaseReport` says of tasks and runners; the rest of it changes with each answer. */
export const LEASE_CONTENTS = ['running', 'ended', 'usage', 'runners'] as const

/** Answer to `POST /lease` with the revision of its contents. */
export const FullLeaseAnswer = Schema.Struct({ ...LeaseReport.fields, revision: Schema.optionalKey(Schema.String) })
export type FullLeaseAnswer = typeof FullLeaseAnswer.Type

/** Answer to `POST /lease` whose contents are those of the revision that the caller knows. */
export const UnchangedLeaseAnswer = Schema.Struct({
  unchanged: Schema.Literal(true),
  workerIncarnation: LeaseReport.fields.workerIncarnation,
  epoch: LeaseReport.fields.epoch,
  clockMs: LeaseReport.fields.clockMs,
  leaseNotAfterMs: LeaseReport.fields.leaseNotAfterMs
})
export type UnchangedLeaseAnswer = typeof UnchangedLeaseAnswer.Type

/** `POST /start`: idempotent for one attempt; an attempt that has ended or been stopped never starts. */
export const StartCommand = Schema.Struct({
  epoch: Schema.Int,
  /** Incarnation that the command is meant for; another one answers `otherIncarnation`. */
  workerIncarnation: Schema.String,
  id: AttemptId,
  resources: Resources,
  payload: Schema.String
})
export type StartCommand = typeof StartCommand.Type

/** `POST /stop`: ends an attempt, or forbids its start if it has not begun. */
export const StopCommand = Schema.Struct({
  epoch: Schema.Int,
  workerIncarnation: Schema.String,
  id: AttemptId,
  /** `checkpoint` saves the task's work first; `throttle` slows it down without ending it. */
  mode: Schema.Literals(['stop', 'checkpoint', 'throttle'])
})
export type StopCommand = typeof StopCommand.Type

/** Answer to `POST /start` and `POST /stop`. */
export const CommandReport = Schema.Struct({
  result: Schema.Literals(['accepted', 'staleEpoch', 'otherIncarnation', 'leaseLapsed', 'ended', 'noRoom'])
})
export type CommandReport = typeof CommandReport.Type
