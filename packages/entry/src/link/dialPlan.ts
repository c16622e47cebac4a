/** Decides which peers to dial and when, with exponential backoff for each peer. */
import type { Clock, Random } from '@fuchsiatally/core'
import type { Peer, SessionView } from '../ports.js'
import { DIAL_BACKOFF_MAX_MS, DIAL_BACKOFF_MIN_MS, DIAL_GRACE_MS } from './constants.js'

/** Peer that is due to be dialled. */
export interface DialTarget {
  readonly incarnation: string
  readonly host: string
  readonly port: number
}

/** Dial plan of one entry. */
export interface DialPlan {
  /** @param links live links by incarnation */
  listDue: (sessions: readonly SessionView[], links: ReadonlyMap<string, unknown>) => DialTarget[]
  /** Records a dial attempt; `isPending` returns whether it is still in progress. */
  recordDial: (incarnation: string, isPending: () => boolean) => void
  recordUp: (incarnation: string) => void
  recordDown: (incarnation: string) => void
}

interface PeerDialState {
  missingSinceMs: number
  backoffMs: number
  nextMs: number
  isPending: () => boolean
}

/** Creates a dial plan without recorded attempts. */
export function createDialPlan (options: { self: Peer, clock: Clock, random: Random }): DialPlan {
  const { self, clock, random } = options
  const dialStates = new Map<string, PeerDialState>()

  const getDialState = (incarnation: string, nowMs: number): PeerDialState => {
    let state = dialStates.get(incarnation)
    if (state === undefined) {
      state = { missingSinceMs: nowMs, backoffMs: DIAL_BACKOFF_MIN_MS, nextMs: nowMs, isPending: () => false }
      dialStates.set(incarnation, state)
    }
    return state
  }
  const isDue = (state: PeerDialState, incarnation: string, nowMs: number): boolean => {
    if (state.isPending() || nowMs < state.nextMs) return false
    // The lower incarnation dials, to avoid simultaneous connections; the other side dials only after the grace period.
    return self.incarnation < incarnation || nowMs - state.missingSinceMs >= DIAL_GRACE_MS
  }
  const dropUnlisted = (sessions: readonly SessionView[]): void => {
    const listed = new Set(sessions.map((session) => session.incarnation))
    for (const incarnation of dialStates.keys()) if (!listed.has(incarnation)) dialStates.delete(incarnation)
  }
  return {
    listDue: (sessions, links) => {
      const nowMs = clock.nowMs()
      const due: DialTarget[] = []
      dropUnlisted(sessions)
      for (const { incarnation, linkAddress } of sessions) {
        if (incarnation === self.incarnation || links.has(incarnation)) continue
        if (!isDue(getDialState(incarnation, nowMs), incarnation, nowMs)) continue
        const target = parseTarget(incarnation, linkAddress)
        if (target !== null) due.push(target)
      }
      return due
    },
    recordDial: (incarnation, isPending) => {
      const nowMs = clock.nowMs()
      const state = getDialState(incarnation, nowMs)
      state.isPending = isPending
      state.nextMs = nowMs + state.backoffMs * (0.5 + random.nextFloat())
      state.backoffMs = Math.min(DIAL_BACKOFF_MAX_MS, state.backoffMs * 2)
    },
    recordUp: (incarnation) => {
      dialStates.delete(incarnation)
    },
    recordDown: (incarnation) => {
      dialStates.delete(incarnation)
    }
  }
}

function parseTarget (incarnation: string, address: string): DialTarget | null {
  const colon = address.lastIndexOf(':')
  const port = Number(address.slice(colon + 1))
  if (colon < 1 || !Number.isInteger(port) || port < 1 || port > 65535) return null
  return { incarnation, host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port }
}
