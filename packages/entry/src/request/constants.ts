/** Limits and intervals of request handling. */

/** Interval at which queues are swept for requests that cannot complete before their deadline. */
export const SWEEP_INTERVAL_MS = 50
/** Retry-after time when no endpoint of the service is reachable. */
export const NO_ENDPOINT_RETRY_MS = 1000
/** Maximum exchanges for one request at one owner, and maximum owners tried by the ingress. */
export const MAX_EXCHANGE_ATTEMPTS = 3
export const MAX_OWNER_ATTEMPTS = 3
/** An attempt of an idempotent request times out after this many average exchange times, but not before the minimum. */
export const ATTEMPT_TIMEOUT_FACTOR = 10
export const MIN_ATTEMPT_TIMEOUT_MS = 500
/** Its timeout is also at most half of the remaining time; if that is less than this many average exchange times, the attempt may take all of it. */
export const MIN_ATTEMPT_TIMEOUT_FACTOR = 2
/** Margin between the end of a forwarded request and the caller's deadline, so that a definite outcome arrives in time: a ratio of the remaining time within limits. */
export const MIN_FORWARD_MARGIN_MS = 5
export const MAX_FORWARD_MARGIN_MS = 25
export const FORWARD_MARGIN_RATIO = 0.05
/** Interval at which pending exchanges are checked for owners whose session is gone. */
export const OWNER_CHECK_INTERVAL_MS = 200
/** Maximum timeout that a caller may request. */
export const MAX_TIMEOUT_MS = 3_600_000
/** Size limit of the outcomes cached for each peer, from which its duplicates and queries are answered. */
export const MAX_REPLY_CACHE_BYTES = 4 * 1024 * 1024
/** Size limit of bodies on all routes; services set lower limits. */
export const MAX_ROUTE_BODY_BYTES = 64 * 1024 * 1024
/** Retry-after time of a request with a ticket whose outcome is unknown, and of a ticket that was not issued. */
export const TICKET_RETRY_MS = 1000
export const CONNECT_TIMEOUT_MS = 1000
/** Idle time after which a connection is closed instead of reused. */
export const MAX_IDLE_MS = 4000
/** Stricter limit for non-idempotent requests: unlike a new connection, a reused one may fail after data was sent, and they are then not retried. */
export const MAX_IDLE_NON_IDEMPOTENT_MS = 1000
