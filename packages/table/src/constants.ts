/** Limits and defaults of the platform client. */

/** Timeout of one attempt, from connecting to the last byte of the response. */
export const ATTEMPT_TIMEOUT_MS = 1000

/** Timeout of one call, retries included. */
export const CALL_TIMEOUT_MS = 2500

/** Maximum attempts per call. */
export const MAX_ATTEMPTS = 4

/** Backoff before the second attempt; doubles with each further attempt. */
export const INITIAL_BACKOFF_MS = 50

/** Fraction by which each backoff is randomly lengthened or shortened. */
export const BACKOFF_JITTER = 0.5

/** Maximum size of a response body. */
export const MAX_ANSWER_BYTES = 16 * 1024 * 1024

/** Maximum concurrent connections to the platform. */
export const MAX_CONNECTIONS = 4

/** Idle timeout of kept-alive connections; below the keep-alive timeout of most servers, so that the client closes first. */
export const IDLE_CONNECTION_TIMEOUT_MS = 4000

/** Maximum number of in-doubt transactions that the client remembers. */
export const MAX_IN_DOUBT_TRANSACTIONS = 1024
