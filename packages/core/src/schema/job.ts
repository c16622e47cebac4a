/** Jobs as callers submit them and as the table keeps them. */
import * as Schema from 'effect/Schema'
import { Resources } from './resources.js'

const Positive = Schema.Int.check(Schema.isGreaterThanOrEqualTo(1))
const NotNegative = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))
const Name = Schema.String.check(Schema.isPattern(/^[a-z0-9][a-z0-9._-]{0,62}$/))

/** What a caller submits. */
export const JobSpec = Schema.Struct({
  name: Name,
  /** `batch`: independent tasks; `gang`: all tasks at once or none; `service`: tasks that run until cancelled. */
  kind: Schema.Literals(['batch', 'gang', 'service']),
  priority: Schema.Literals(['normal', 'urgent']),
  taskCount: Positive.check(Schema.isLessThanOrEqualTo(2000)),
  /** What each task needs. */
  resources: Resources,
  /** Declared run time of one task, in milliseconds; only an estimate. */
  runTimeMs: Positive,
  /** How often a failed task is tried again. */
  maxRetries: NotNegative.check(Schema.isLessThanOrEqualTo(20)),
  /** Whether a task can be stopped and resumed without losing its work. */
  checkpointable: Schema.Boolean,
  /** Pool of workers that the tasks must run in; any pool where absent. */
  pool: Schema.optionalKey(Schema.String),
  /** Opaque text handed to the task. */
  payload: Schema.String.check(Schema.isMaxLength(65536))
})
export type JobSpec = typeof JobSpec.Type

/** Row `job/<id>`: written once when the job is accepted. */
export const JobRow = Schema.Struct({
  team: Schema.String,
  spec: JobSpec,
  /** Wall clock of acceptance, in milliseconds since 1970; only for people and for order. */
  acceptedAtMs: Schema.Finite
})
export type JobRow = typeof JobRow.Type

/** State of one task of a job. */
export const TaskState = Schema.Struct({
  phase: Schema.Literals(['queued', 'assigned', 'stopping', 'completed', 'failed', 'cancelled']),
  /** Number of the current or last attempt; 0 before the first. */
  attempt: NotNegative,
  failures: NotNegative,
  /** Worker that the current attempt is assigned to. */
  worker: Schema.optionalKey(Schema.String),
  /** Why a task that is not running waits or ended. */
  reason: Schema.optionalKey(Schema.String)
})
export type TaskState = typeof TaskState.Type

/** Row `jobState/<id>`: written only by the holder of the cell's scheduler role. */
export const JobStateRow = Schema.Struct({
  phase: Schema.Literals(['queued', 'running', 'completed', 'failed', 'cancelled']),
  tasks: Schema.Array(TaskState)
})
export type JobStateRow = typeof JobStateRow.Type

/** Identity of one attempt of one task. */
export const AttemptId = Schema.Struct({
  job: Schema.String,
  /** Index of the task in its job, from 0. */
  task: NotNegative,
  attempt: Positive
})
export type AttemptId = typeof AttemptId.Type

/** Formats an attempt as `job/task/attempt`, unique across the cell and for ever. */
export function formatAttempt (id: AttemptId): string {
  return `${id.job}/${id.task}/${id.attempt}`
}
