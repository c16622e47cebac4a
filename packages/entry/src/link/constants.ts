/** Times and bounds of links. */

/** Interval between two heartbeats, in milliseconds. */
export const HEARTBEAT_MS = 1_000
export const HEARTBEAT_JITTER = 0.1
/** A link from which no byte arrived for this long is replaced, in milliseconds. */
export const LINK_SILENCE_MS = 3_000
/** How often silence is checked, in milliseconds. */
export const SILENCE_CHECK_MS = 500
/** Time that a new connection has for its first message, in milliseconds. */
export const HELLO_TIMEOUT_MS = 3_000
/** Largest frame, in bytes. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024
/** Largest first frame, in bytes: its sender is not known yet. */
export const MAX_HELLO_BYTES = 4_096
/** Most bytes that wait for a peer, beyond which messages are refused. */
export const MAX_SEND_BUFFER_BYTES = 32 * 1024 * 1024
/** Most connections that have not introduced themselves yet. */
export const MAX_PENDING_CONNECTIONS = 64
/** First and longest pause between two tries to connect, in milliseconds. */
export const DIAL_BACKOFF_MIN_MS = 100
export const DIAL_BACKOFF_MAX_MS = 2_000
/** How often missing links are looked for, in milliseconds. */
export const DIAL_CHECK_MS = 250
/** How long the entry that should wait to be dialled does so before it dials itself, in milliseconds. */
export const DIAL_GRACE_MS = 2_000
