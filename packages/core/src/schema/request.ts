/** Requests to services and their outcomes. */
import * as Schema from 'effect/Schema'

const Headers = Schema.Record(Schema.String, Schema.String)
const Bytes = Schema.instanceOf(Uint8Array)

/** An authenticated request, ready to be forwarded. */
export const ServiceRequest = Schema.Struct({
  /** Random id of the caller's request. */
  id: Schema.String,
  team: Schema.String,
  service: Schema.String,
  method: Schema.String,
  /** Path and query passed to the endpoint. */
  path: Schema.String,
  headers: Headers,
  body: Bytes,
  /** Whether the request may be retried at another endpoint. */
  idempotent: Schema.Boolean,
  /** Time left until the caller's deadline when the message was sent, in milliseconds. */
  remainingMs: Schema.Finite
})
export type ServiceRequest = typeof ServiceRequest.Type

/** Final outcome of a request. */
export const RequestOutcome = Schema.Union([
  Schema.Struct({
    kind: Schema.Literal('completed'),
    status: Schema.Int,
    headers: Headers,
    body: Bytes,
    /** Worker whose endpoint answered. */
    worker: Schema.String
  }),
  Schema.Struct({
    kind: Schema.Literal('notRun'),
    reason: Schema.String,
    /** Delay after which the caller should retry, in milliseconds. */
    retryAfterMs: Schema.Finite
  }),
  Schema.Struct({
    kind: Schema.Literal('unknown'),
    reason: Schema.String
  })
])
export type RequestOutcome = typeof RequestOutcome.Type
