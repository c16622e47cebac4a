/** Bounds of request handling in the entry. */

/** How often queues are swept for requests that cannot make it, in milliseconds. */
export const SWEEP_INTERVAL_MS = 50
/** Time to come back when no endpoint of the service is in reach, in milliseconds. */
export const NO_ENDPOINT_RETRY_MS = 1000
/** Exchanges tried for one request at one owner, and owners tried by the ingress. */
export const MAX_TRIES = 3
export const MAX_OWNERS_TRIED = 3
/** A try of an idempotent request is cut off after this many average exchanges, but not before the minimum. */
export const TRY_TIMEOUT_FACTOR = 10
export const MIN_TRY_TIMEOUT_MS = 500
/** It is cut off at half of the time left at the latest, if that is worth this many average exchanges. */
export const MIN_TRY_AVERAGES = 2
/** Time by which a forwarded request ends before the caller's deadline, so that a certain outcome arrives in time. */
export const MIN_FORWARD_MARGIN_MS = 5
export const MAX_FORWARD_MARGIN_MS = 25
export const FORWARD_MARGIN_PART = 0.05
/** How often waiting exchanges are checked for owners whose session is gone, in milliseconds. */
export const OWNER_CHECK_INTERVAL_MS = 200
/** Longest time that a caller may ask for, in milliseconds. */
export const MAX_TIMEOUT_MS = 3_600_000
/** Bytes of outcomes kept for the peers' questions, for each peer. */
export const MAX_LEDGER_BYTES = 4 * 1024 * 1024
/** Largest body that any route takes, in bytes; services set lower bounds. */
export const MAX_ROUTE_BODY_BYTES = 64 * 1024 * 1024
/** Time after which a caller may ask again with its ticket, in milliseconds. */
export const TICKET_RETRY_MS = 1000
/** Time to open a connection to an endpoint, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1000
/** Age at which an idle connection is closed instead of used. */
export const MAX_IDLE_MS = 4000
/** The same for requests that must not run twice: a fresh connection fails before anything was sent. */
export const MAX_IDLE_NON_IDEMPOTENT_MS = 1000
