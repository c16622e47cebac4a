/** Bounds and defaults of request handling. */

/** Exchange time assumed for a service before one was measured, in milliseconds. */
export const INITIAL_EXCHANGE_MS = 10
/** Weight of the newest sample in moving averages. */
export const SAMPLE_WEIGHT = 0.2
/** Shortest and longest time after which a caller is told to come back, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 100
export const MAX_RETRY_AFTER_MS = 30_000
/** Added to the estimated wait of a team that holds no part of its ceiling here, in milliseconds. */
export const ALLOTMENT_WAIT_MS = 500
/** Added latency of an exchange with an owner in another failure domain, in milliseconds. */
export const CROSS_DOMAIN_MS = 1.4
/** Age at which a peer's report of free slots is no longer used, in milliseconds. */
export const SLOTS_MAX_AGE_MS = 3000
/** Broken exchanges in a row that eject an endpoint. */
export const EJECT_AFTER_FAILURES = 3
/** First and longest time that an endpoint stays ejected, in milliseconds. */
export const MIN_EJECT_MS = 1000
export const MAX_EJECT_MS = 30_000
/** Largest part of a service's endpoints at one owner that may be ejected at once. */
export const MAX_EJECTED_PART = 0.5
/** An endpoint this many times slower than the service's average loses concurrency. */
export const SLOW_FACTOR = 2
/** Part of a retry that each request earns. */
export const RETRY_EARNED = 0.1
/** Most retries saved up. */
export const MAX_SAVED_RETRIES = 20
/** Time within which a ticket must be used, in milliseconds. */
export const TICKET_LIFETIME_MS = 60_000
/** Tickets remembered by one entry, and open ones of one team among them. */
export const MAX_TICKETS = 20_000
export const MAX_OPEN_TICKETS_OF_TEAM = 4000
/** Bytes of answers kept for tickets. */
export const MAX_TICKET_ANSWER_BYTES = 8 * 1024 * 1024
/** Endpoints that lost which a decision names. */
export const MAX_NAMED_LOSERS = 8
