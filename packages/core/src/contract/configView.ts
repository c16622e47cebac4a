/**
 * One entry's view of the configuration: the document in force, and when the table was last known to hold nothing newer.
 * Has no clock of its own: times are passed in by the caller.
 */
import type { ConfigDocument } from '../schema/manifest.js'

/** Time without confirmation after which the configuration counts as stale, in milliseconds. */
export const CONFIG_STALE_AFTER_MS = 4000

/** State of the configuration at one entry. */
export interface ConfigView {
  /** The document in force, or `null` before the first. */
  readDocument: () => ConfigDocument | null
  /** Version in force, 0 before the first. */
  readVersion: () => number
  /** Highest version known to exist, whether or not its document has been received. */
  readHighestVersion: () => number
  /** Installs a document if its version is higher than the current one; returns whether it did. */
  installDocument: (document: ConfigDocument) => boolean
  /** Records that a version exists, as reported by a peer. */
  recordPeerVersion: (version: number) => void
  /**
   * Records that the table held no version above `version` at some time not before `atMs`. Takes effect once a document
   * at least as new is installed; ignored if a higher version is known, because the read was then stale.
   */
  recordCurrent: (version: number, atMs: number) => void
  /** Time at which the document in force was last confirmed as current; `-Infinity` if never. */
  readCurrentAtMs: () => number
  /** Whether the configuration is recent enough to accept requests with keys without querying a peer. */
  isFresh: (nowMs: number) => boolean
}

/** Creates a view without a document. */
export function createConfigView (): ConfigView {
  let document: ConfigDocument | null = null
  let highest = 0
  let currentAtMs = -Infinity
  let pendingConfirmation: { version: number, atMs: number } | null = null
  const readVersion = (): number => document?.version ?? 0

  const recordCurrent = (version: number, atMs: number): void => {
    if (version < highest) return
    highest = version
    if (version === readVersion()) currentAtMs = Math.max(currentAtMs, atMs)
    else if (pendingConfirmation === null || pendingConfirmation.version < version || pendingConfirmation.atMs < atMs) pendingConfirmation = { version, atMs }
  }

  return {
    readDocument: () => document,
    readVersion,
    readHighestVersion: () => highest,
    installDocument: (candidate) => {
      if (candidate.version <= readVersion()) return false
      document = candidate
      highest = Math.max(highest, candidate.version)
      if (pendingConfirmation !== null && pendingConfirmation.version <= candidate.version) {
        currentAtMs = Math.max(currentAtMs, pendingConfirmation.atMs)
        pendingConfirmation = null
      }
      return true
    },
    recordPeerVersion: (version) => { highest = Math.max(highest, version) },
    recordCurrent,
    readCurrentAtMs: () => currentAtMs,
    isFresh: (nowMs) => document !== null && readVersion() >= highest && nowMs - currentAtMs < CONFIG_STALE_AFTER_MS
  }
}
