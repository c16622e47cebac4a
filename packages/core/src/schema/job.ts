/** Jobs, as submitted by callers and stored in the table. */
import * as Schema from 'effect/Schema'
import { Resources } from './resources.js'

const Positive = Schema.Int.check(Schema.isGreaterThanOrEqualTo(1))
const NonNegative = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))
const Name = Schema.String.check(Schema.isPattern(/^[a-z0-9][a-z0-9._-]{0,62}$/))

/** Specification of a job, as submitted by a caller. */
export const JobSpec = Schema.Struct({
  name: Name,
  /** `batch`: independent tasks; `gang`: gang scheduling, all tasks run at once or none; `service`: tasks that run until cancelled. */
  kind: Schema.Literals(['batch', 'gang', 'service']),
  priority: Schema.Literals(['normal', 'urgent']),
  taskCount: Positive.check(Schema.isLessThanOrEqualTo(2000)),
  /** Resources of each task. */
  resources: Resources,
  /** Estimated run time of one task, in milliseconds. */
  runTimeMs: Positive,
  /** Maximum number of retries of a failed task. */
  maxRetries: NonNegative.check(Schema.isLessThanOrEqualTo(20)),
  /** Whether a stopped task can resume from a checkpoint. */
  checkpointable: Schema.Boolean,
  /** Pool of workers that the tasks must run in; any pool if absent. */
  pool: Schema.optionalKey(Schema.String),
  /** Opaque text passed to the task. */
  payload: Schema.String.check(Schema.isMaxLength(65536))
})
export type JobSpec = typeof JobSpec.Type

/** Row `job/<id>`; immutable, written when the job is accepted. */
export const JobRow = Schema.Struct({
  team: Schema.String,
  spec: JobSpec,
  /** Wall-clock time of acceptance, in milliseconds since 1970; for display and ordering only. */
  acceptedAtMs: Schema.Finite
})
export type JobRow = typeof JobRow.Type

/** State of one task of a job. */
export const TaskState = Schema.Struct({
  phase: Schema.Literals(['queued', 'assigned', 'stopping', 'completed', 'failed', 'cancelled']),
  /** Sequence number of the current or last attempt; 0 before the first. */
  attempt: NonNegative,
  failures: NonNegative,
  /** Worker that the current attempt is assigned to. */
  worker: Schema.optionalKey(Schema.String),
  /** Reason why a task that is not running waits or has ended. */
  reason: Schema.optionalKey(Schema.String)
})
export type TaskState = typeof TaskState.Type

/** Row `jobState/<id>`: written only by the holder of the cell's scheduler role. */
export const JobStateRow = Schema.Struct({
  phase: Schema.Literals(['queued', 'running', 'completed', 'failed', 'cancelled']),
  tasks: Schema.Array(TaskState)
})
export type JobStateRow = typeof JobStateRow.Type

/** Identifier of one attempt of one task. */
export const AttemptId = Schema.Struct({
  job: Schema.String,
  /** Index of the task in its job, from 0. */
  task: NonNegative,
  attempt: Positive
})
export type AttemptId = typeof AttemptId.Type

/** Formats an attempt as `job/task/attempt`, which is unique in the cell and never reused. */
export function formatAttempt (id: AttemptId): string {
  return `${id.job}/${id.task}/${id.attempt}`
}
