/** Limits and intervals of request handling. */

/** Interval at which queues are swept for requests that cannot complete before their deadline. */
export const SWEEP_INTERVAL_MS = 50
/** Retry-after time when no endpoint of the service is reachable. */
export const NO_ENDPOINT_RETRY_MS = 1000
/** Maximum exchanges for one request at one owner, and maximum owners tried by the ingress. */
export const MAX_ATTEMPTS = 3
export const MAX_OWNER_ATTEMPTS = 3
/** An attempt of an idempotent request times out after this many average exchange times, but not before the minimum. */
export const ATTEMPT_TIMEOUT_FACTOR = 10
export const MIN_ATTEMPT_TIMEOUT_MS = 500
/** It times out after half of the remaining time at the latest, provided that is at least this many average exchange times. */
export const MIN_ATTEMPT_TIMEOUT_FACTOR = 2
/** Margin between the end of a forwarded request and the caller's deadline, so that a definite outcome arrives in time. */
export const MIN_FORWARD_MARGIN_MS = 5
export const MAX_FORWARD_MARGIN_MS = 25
export const FORWARD_MARGIN_RATIO = 0.05
/** Interval at which pending exchanges are checked for owners whose session is gone. */
export const OWNER_CHECK_INTERVAL_MS = 200
/** Maximum time-out that a caller may request. */
export const MAX_TIMEOUT_MS = 3_600_000
/** Size limit of the outcomes kept for each peer, which answer its duplicates and queries. */
export const MAX_REPLY_CACHE_BYTES = 4 * 1024 * 1024
/** Size limit of bodies on all routes; services set lower limits. */
export const MAX_ROUTE_BODY_BYTES = 64 * 1024 * 1024
/** Retry-after time of a request with a ticket. */
export const TICKET_RETRY_MS = 1000
export const CONNECT_TIMEOUT_MS = 1000
/** Idle time after which a connection is closed instead of reused. */
export const MAX_IDLE_MS = 4000
/** Lower limit for non-idempotent requests: a new connection fails before anything was sent, a reused one may fail after. */
export const MAX_IDLE_NON_IDEMPOTENT_MS = 1000
