/** Limits and defaults of request handling. */

/** Exchange time assumed for a service without samples, in milliseconds. */
export const INITIAL_EXCHANGE_MS = 10
/** Weight of the newest sample in exponentially weighted moving averages. */
export const EWMA_WEIGHT = 0.2
/** Bounds of the retry-after time sent to callers, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 100
export const MAX_RETRY_AFTER_MS = 30_000
/** Added to the estimated wait of a team without an allotment at this entry, in milliseconds. */
export const ALLOTMENT_WAIT_PENALTY_MS = 500
/** Added latency of an exchange with an owner in another failure domain, in milliseconds. */
export const CROSS_DOMAIN_LATENCY_MS = 1.4
/** Maximum age of a peer's report of free slots, in milliseconds. */
export const MAX_SLOT_REPORT_AGE_MS = 3000
/** Consecutive broken exchanges after which an endpoint is ejected. */
export const EJECT_AFTER_FAILURES = 3
/** Initial and maximum ejection time of an endpoint, in milliseconds. */
export const MIN_EJECTION_MS = 1000
export const MAX_EJECTION_MS = 30_000
/** Maximum fraction of a service's endpoints at one owner that may be ejected at the same time. */
export const MAX_EJECTED_FRACTION = 0.5
/** An endpoint slower than the service's median by this factor gets a lower concurrency limit. */
export const SLOW_ENDPOINT_FACTOR = 2
/** Retries added to the budget by each request. */
export const RETRIES_PER_REQUEST = 0.1
/** Maximum retries in the budget. */
export const MAX_RETRY_BUDGET = 20
/** Time after issue within which a ticket must be used, in milliseconds. */
export const TICKET_LIFETIME_MS = 60_000
/** Maximum tickets stored by one entry, and maximum open tickets of one team among them. */
export const MAX_TICKETS = 20_000
export const MAX_OPEN_TICKETS_PER_TEAM = 4000
/** Maximum total size of responses stored for tickets, in bytes. */
export const MAX_TICKET_RESPONSE_BYTES = 8 * 1024 * 1024
/** Maximum number of rejected endpoints listed in a routing decision. */
export const MAX_REPORTED_LOSERS = 8
