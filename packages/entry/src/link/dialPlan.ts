/** Decides which peers to connect to, and when. */
import type { Clock, Random } from '@fuchsiatally/core'
import type { Peer, SessionView } from '../ports.js'
import { DIAL_BACKOFF_MAX_MS, DIAL_BACKOFF_MIN_MS, DIAL_GRACE_MS } from './constants.js'

/** A peer that is due. */
export interface DialTarget {
  readonly incarnation: string
  readonly host: string
  readonly port: number
}

/** The plan of one entry. */
export interface DialPlan {
  listDue: (sessions: readonly SessionView[], links: ReadonlyMap<string, unknown>) => DialTarget[]
  /** A connection was begun; `isPending` tells whether its outcome is still open. */
  recordDial: (incarnation: string, isPending: () => boolean) => void
  recordUp: (incarnation: string) => void
  recordDown: (incarnation: string) => void
}

interface Attempt {
  missingSinceMs: number
  backoffMs: number
  nextMs: number
  isPending: () => boolean
}

/** Creates the plan. */
export function createDialPlan (options: { self: Peer, clock: Clock, random: Random }): DialPlan {
  const { self, clock, random } = options
  const attempts = new Map<string, Attempt>()

  const getAttempt = (incarnation: string, nowMs: number): Attempt => {
    let attempt = attempts.get(incarnation)
    if (attempt === undefined) {
      attempt = { missingSinceMs: nowMs, backoffMs: DIAL_BACKOFF_MIN_MS, nextMs: nowMs, isPending: () => false }
      attempts.set(incarnation, attempt)
    }
    return attempt
  }
  const isDue = (attempt: Attempt, incarnation: string, nowMs: number): boolean => {
    if (attempt.isPending() || nowMs < attempt.nextMs) return false
    // One side dials, so that connections seldom cross; the other only if that one does not.
    return self.incarnation < incarnation || nowMs - attempt.missingSinceMs >= DIAL_GRACE_MS
  }
  const dropUnlisted = (sessions: readonly SessionView[]): void => {
    const listed = new Set(sessions.map((session) => session.incarnation))
    for (const incarnation of attempts.keys()) if (!listed.has(incarnation)) attempts.delete(incarnation)
  }
  return {
    listDue: (sessions, links) => {
      const nowMs = clock.nowMs()
      const due: DialTarget[] = []
      dropUnlisted(sessions)
      for (const { incarnation, linkAddress } of sessions) {
        if (incarnation === self.incarnation || links.has(incarnation)) continue
        if (!isDue(getAttempt(incarnation, nowMs), incarnation, nowMs)) continue
        const target = parseTarget(incarnation, linkAddress)
        if (target !== null) due.push(target)
      }
      return due
    },
    recordDial: (incarnation, isPending) => {
      const nowMs = clock.nowMs()
      const attempt = getAttempt(incarnation, nowMs)
      attempt.isPending = isPending
      attempt.nextMs = nowMs + attempt.backoffMs * (0.5 + random.nextFloat())
      attempt.backoffMs = Math.min(DIAL_BACKOFF_MAX_MS, attempt.backoffMs * 2)
    },
    recordUp: (incarnation) => {
      attempts.delete(incarnation)
    },
    recordDown: (incarnation) => {
      attempts.delete(incarnation)
    }
  }
}

function parseTarget (incarnation: string, address: string): DialTarget | null {
  const colon = address.lastIndexOf(':')
  const port = Number(address.slice(colon + 1))
  if (colon < 1 || !Number.isInteger(port) || port < 1 || port > 65535) return null
  return { incarnation, host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port }
}
