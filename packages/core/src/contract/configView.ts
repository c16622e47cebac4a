/**
 * What one entry knows of the configuration: the document in force and how recently it was known that nothing newer
 * is in the table. Pure: times are given by the caller.
 */
import type { ConfigDocument } from '../schema/manifest.js'

/** Time without evidence after which the configuration is held for stale, in milliseconds. */
export const CONFIG_FRESH_MS = 4000

/** State of the configuration at one entry. */
export interface ConfigView {
  /** The document in force, or `null` before the first. */
  readDocument: () => ConfigDocument | null
  /** Version in force, 0 before the first. */
  readVersion: () => number
  /** Highest version that this entry has heard of from anyone. */
  readHighestVersion: () => number
  /** Puts a document in force if its version is higher; returns whether it was. */
  installDocument: (document: ConfigDocument) => boolean
  /** Someone has a version in force. */
  recordVersionHeard: (version: number) => void
  /**
   * The table held no version above `version` at a moment that was not before `atMs`. Counts once a document at least
   * as new is in force, and not at all if a higher version was heard of: then the evidence came from an old read.
   */
  recordCurrent: (version: number, atMs: number) => void
  /** Time of the latest evidence that the document in force was current; `-Infinity` without any. */
  readCurrentAtMs: () => number
  /** Whether keyed work may be accepted without asking anyone. */
  isFresh: (nowMs: number) => boolean
}

/** Creates the state of an entry that knows nothing yet. */
export function createConfigView (): ConfigView {
  let document: ConfigDocument | null = null
  let highest = 0
  let currentAtMs = -Infinity
  let pending: { version: number, atMs: number } | null = null
  const readVersion = (): number => document?.version ?? 0

  const recordCurrent = (version: number, atMs: number): void => {
    if (version < highest) return
    highest = version
    if (version === readVersion()) currentAtMs = Math.max(currentAtMs, atMs)
    else if (pending === null || pending.version < version || pending.atMs < atMs) pending = { version, atMs }
  }

  return {
    readDocument: () => document,
    readVersion,
    readHighestVersion: () => highest,
    installDocument: (candidate) => {
      if (candidate.version <= readVersion()) return false
      document = candidate
      highest = Math.max(highest, candidate.version)
      if (pending !== null && pending.version <= candidate.version) {
        currentAtMs = Math.max(currentAtMs, pending.atMs)
        pending = null
      }
      return true
    },
    recordVersionHeard: (version) => { highest = Math.max(highest, version) },
    recordCurrent,
    readCurrentAtMs: () => currentAtMs,
    isFresh: (nowMs) => document !== null && readVersion() >= highest && nowMs - currentAtMs < CONFIG_FRESH_MS
  }
}
