/** Bounds of the platform client. */

/** Longest time of one try, from connecting to the last byte of the answer. */
export const TRY_TIMEOUT_MS = 1000

/** Longest time of one call with all its tries. */
export const CALL_TIMEOUT_MS = 2500

/** Most tries of one call. */
export const MAX_TRIES = 4

/** Wait before the second try; doubles with each further one. */
export const BACKOFF_MS = 50

/** Fraction by which each wait varies. */
export const BACKOFF_JITTER = 0.5

/** Largest answer that is read. */
export const MAX_ANSWER_BYTES = 16 * 1024 * 1024

/** Connections to the platform at once. */
export const MAX_CONNECTIONS = 4

/** Idle connections are closed after this time, before most servers close them. */
export const IDLE_CONNECTION_MS = 4000

/** Transactions whose fate is not settled that the client remembers. */
export const MAX_UNSETTLED = 1024
