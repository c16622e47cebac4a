/** Sessions of entries: when a holder is valid and when an observer may hold it for expired. */
import * as Schema from 'effect/Schema'

/** Interval between two renewals of a session row, in milliseconds. */
export const SESSION_RENEWAL_MS = 2_000
/** How long a renewal is valid, counted from before it was sent, in milliseconds. */
export const SESSION_TTL_MS = 6_000
/** What an observer waits beyond the validity, for clocks that run at slightly different rates, in milliseconds. */
export const SESSION_ALLOWANCE_MS = 1_000
/** Longest pause between two reads that still counts as continuous observation, in milliseconds. */
export const SESSION_READ_GAP_MS = 3_000
/** Prefix of the rows of all sessions. */
export const SESSION_PREFIX = 'session/'

/** Row `session/<entry>`; the row's version is the counter that grows with each renewal. */
export const SessionRow = Schema.Struct({
  incarnation: Schema.String,
  failureDomain: Schema.String,
  linkAddress: Schema.String,
  httpAddress: Schema.String,
  leaving: Schema.Boolean,
  configVersion: Schema.Int
})
export type SessionRow = typeof SessionRow.Type

/** Deadline of a session at its holder. */
export interface SessionHolder {
  /** A renewal is about to be sent, or sent again because its fate is not known. */
  recordSend: (nowMs: number) => void
  /** The renewal was applied, by whichever of its sendings. */
  recordApplied: () => void
  /** The renewal was refused for certain. */
  recordRefused: () => void
  /** The row belongs to another incarnation or is deleted; never valid again. */
  recordLost: () => void
  isValid: (nowMs: number) => boolean
  /** Time before the last good renewal was first sent; `-Infinity` before the first. */
  readLastRenewalMs: () => number
}

/** Creates the holder's side of a session. */
export function createSessionHolder (ttlMs: number = SESSION_TTL_MS): SessionHolder {
  let pendingSinceMs: number | null = null
  let lastRenewalMs = -Infinity
  let lost = false
  return {
    recordSend: (nowMs) => {
      // An observer may have seen the first sending take effect, so a repetition must not move the time.
      pendingSinceMs ??= nowMs
    },
    recordApplied: () => {
      if (pendingSinceMs !== null) lastRenewalMs = pendingSinceMs
      pendingSinceMs = null
    },
    recordRefused: () => {
      pendingSinceMs = null
    },
    recordLost: () => {
      lost = true
    },
    isValid: (nowMs) => !lost && nowMs < lastRenewalMs + ttlMs,
    readLastRenewalMs: () => lastRenewalMs
  }
}

/** A session row that changed since the last read; `row` is `null` if it was deleted. */
export interface SessionChange {
  readonly entry: string
  readonly version: number
  readonly row: SessionRow | null
}

/** A session as an observer sees it. */
export interface ObservedSession {
  readonly entry: string
  readonly version: number
  readonly row: SessionRow
  readonly expired: boolean
}

/** What an observer concludes from reads of the session rows. */
export interface SessionObserver {
  /** A read succeeded; `changes` are the rows that differ from the read before. */
  recordRead: (changes: readonly SessionChange[], sentMs: number, receivedMs: number) => void
  listObserved: () => readonly ObservedSession[]
  findByIncarnation: (incarnation: string) => ObservedSession | undefined
  /** Whether no row names the incarnation: it can never be valid again. False before the first read. */
  isRemoved: (incarnation: string) => boolean
}

interface Observation {
  version: number
  row: SessionRow
  /** When the read that first showed this version was answered. */
  firstSeenMs: number
}

/** Creates the observer's side of all sessions. */
export function createSessionObserver (
  expiryMs: number = SESSION_TTL_MS + SESSION_ALLOWANCE_MS, maxGapMs: number = SESSION_READ_GAP_MS
): SessionObserver {
  const observations = new Map<string, Observation>()
  let lastSentMs = -Infinity
  let lastReceivedMs = -Infinity
  const isExpired = (observation: Observation): boolean => lastSentMs - observation.firstSeenMs >= expiryMs
  const toObserved = (entry: string, observation: Observation): ObservedSession =>
    ({ entry, version: observation.version, row: observation.row, expired: isExpired(observation) })
  const applyChange = (change: SessionChange, receivedMs: number): void => {
    if (change.row === null) {
      observations.delete(change.entry)
      return
    }
    const known = observations.get(change.entry)
    if (known !== undefined && change.version <= known.version) return
    observations.set(change.entry, { version: change.version, row: change.row, firstSeenMs: receivedMs })
  }
  return {
    recordRead: (changes, sentMs, receivedMs) => {
      // After an outage nobody could renew: everyone gets the whole time again.
      if (sentMs - lastReceivedMs > maxGapMs) {
        for (const observation of observations.values()) observation.firstSeenMs = receivedMs
      }
      for (const change of changes) applyChange(change, receivedMs)
      lastSentMs = sentMs
      lastReceivedMs = receivedMs
    },
    listObserved: () => [...observations].map(([entry, observation]) => toObserved(entry, observation)),
    findByIncarnation: (incarnation) => {
      for (const [entry, observation] of observations) {
        if (observation.row.incarnation === incarnation) return toObserved(entry, observation)
      }
      return undefined
    },
    isRemoved: (incarnation) => {
      if (lastReceivedMs === -Infinity) return false
      for (const observation of observations.values()) {
        if (observation.row.incarnation === incarnation) return false
      }
      return true
    }
  }
}
