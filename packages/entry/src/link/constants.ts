/** Timing and size limits of the links between entries. */

/** Interval between two heartbeats, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 1_000
export const HEARTBEAT_JITTER = 0.1
/** Time without received bytes after which a link is closed, in milliseconds. */
export const LINK_TIMEOUT_MS = 3_000
/** Interval between two checks for timed-out links, in milliseconds. */
export const LINK_CHECK_INTERVAL_MS = 500
/** Time limit for the hello message on a new connection, in milliseconds. */
export const HELLO_TIMEOUT_MS = 3_000
/** Maximum frame size, in bytes. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024
/** Maximum size of the hello frame, in bytes; it is small because the sender is not identified yet. */
export const MAX_HELLO_BYTES = 4_096
/** Maximum number of bytes buffered for a peer; messages beyond it are refused. */
export const MAX_SEND_BUFFER_BYTES = 32 * 1024 * 1024
/** Maximum number of connections that have not sent their hello yet. */
export const MAX_PENDING_CONNECTIONS = 64
/** Initial and maximum backoff between two dial attempts to the same peer, in milliseconds. */
export const DIAL_BACKOFF_MIN_MS = 100
export const DIAL_BACKOFF_MAX_MS = 2_000
/** Interval between two checks for missing links, in milliseconds. */
export const DIAL_CHECK_INTERVAL_MS = 250
/** Time for which the passive side of a pair waits to be dialled before it dials itself, in milliseconds. */
export const DIAL_GRACE_MS = 2_000
