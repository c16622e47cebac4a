/** Sessions of entries: validity at the holder, and expiry as concluded by observers. */
import * as Schema from 'effect/Schema'

/** Interval between two renewals of a session row, in milliseconds. */
export const SESSION_RENEWAL_MS = 2_000
/** Validity of a renewal, counted from before it was sent, in milliseconds. */
export const SESSION_TTL_MS = 6_000
/** Safety margin that an observer adds to the validity, because clocks run at slightly different rates, in milliseconds. */
export const SESSION_EXPIRY_MARGIN_MS = 1_000
/** Maximum gap between two reads that still counts as continuous observation, in milliseconds. */
export const MAX_SESSION_READ_GAP_MS = 3_000
/** Key prefix of all session rows. */
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

/** Holder-side state of a session. */
export interface SessionHolder {
  /** Records that a renewal is about to be sent, or sent again because its outcome is unknown. */
  recordSend: (nowMs: number) => void
  /** Records that the renewal was applied, whichever attempt succeeded. */
  recordApplied: () => void
  /** Records that the renewal was definitely refused. */
  recordRefused: () => void
  /** Records that the row belongs to another incarnation or is deleted; the session never becomes valid again. */
  recordLost: () => void
  isValid: (nowMs: number) => boolean
  /** Time just before the first attempt of the last applied renewal; `-Infinity` before the first. */
  readLastRenewalMs: () => number
}

/** Creates the holder's side of a session. */
export function createSessionHolder (ttlMs: number = SESSION_TTL_MS): SessionHolder {
  let pendingSinceMs: number | null = null
  let lastRenewalMs = -Infinity
  let lost = false
  return {
    recordSend: (nowMs) => {
      // An observer may have seen the first attempt take effect, so a retry must not move the time.
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

/** Observer-side state of all sessions. */
export interface SessionObserver {
  /** Records a successful read; `changes` are the rows that differ from the previous read. */
  recordRead: (changes: readonly SessionChange[], sentMs: number, receivedMs: number) => void
  listObserved: () => readonly ObservedSession[]
  findByIncarnation: (incarnation: string) => ObservedSession | undefined
  /** Whether no row names the incarnation, which can then never be valid again; `false` before the first read. */
  isRemoved: (incarnation: string) => boolean
}

interface Observation {
  version: number
  row: SessionRow
  /** Time at which the response that first showed this version was received. */
  firstSeenMs: number
}

/** Creates the observer's side of all sessions. */
export function createSessionObserver (
  expiryMs: number = SESSION_TTL_MS + SESSION_EXPIRY_MARGIN_MS, maxGapMs: number = MAX_SESSION_READ_GAP_MS
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
      // During an outage of the table no session could be renewed: all of them get the full validity again.
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
