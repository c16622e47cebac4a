/** Tickets: idempotency keys, stored by the incarnation that issued them, that deduplicate requests. */
import type { Random } from '../clock.js'
import type { RequestOutcome } from '../schema/request.js'
import {
  MAX_OPEN_TICKETS_PER_TEAM, MAX_TICKETS, MAX_TICKET_RESPONSE_BYTES, TICKET_LIFETIME_MS
} from './constants.js'

/** How a request with a ticket is to be handled. */
export type TicketUse =
  /** First use: run the request and report its outcome with `recordOutcome`. */
  | { readonly kind: 'run' }
  /** A duplicate of a running request: wait for its outcome. */
  | { readonly kind: 'wait' }
  /** The final outcome, as stored or as determined by the ticket's state. */
  | { readonly kind: 'outcome', readonly outcome: RequestOutcome }
  /** The ticket belongs to another team or was used for another request. */
  | { readonly kind: 'mismatch' }

/** Tickets issued by one incarnation. */
export interface TicketStore {
  /** Issues a ticket `<incarnation>.<random>`; `undefined` if the team's limit or the total limit is reached. */
  addTicket: (team: string, nowMs: number) => string | undefined
  /**
   * Uses a ticket of this incarnation.
   *
   * @param fingerprint digest of the request, which must be the same for duplicates
   */
  takeTicket: (ticket: string, team: string, fingerprint: string, nowMs: number) => TicketUse
  /** Records the outcome of a request; after `notRun` the ticket can be used again. */
  recordOutcome: (ticket: string, outcome: RequestOutcome) => void
  countTickets: () => number
}

/** Options of a ticket store. */
export interface TicketStoreOptions {
  readonly incarnation: string
  readonly random: Random
  /** Default `MAX_TICKETS`. */
  readonly maxTickets?: number
  /** Default `MAX_OPEN_TICKETS_PER_TEAM`. */
  readonly maxOpenPerTeam?: number
  /** Default `MAX_TICKET_RESPONSE_BYTES`. */
  readonly maxAnswerBytes?: number
  /** Default `TICKET_LIFETIME_MS`. */
  readonly lifetimeMs?: number
}

type TicketState =
  | { readonly kind: 'issued' }
  | { readonly kind: 'running' }
  /** `null`: the response was evicted to free memory. */
  | { readonly kind: 'done', readonly outcome: RequestOutcome | null }

interface Ticket {
  readonly team: string
  readonly expiresMs: number
  fingerprint: string | null
  state: TicketState
}

/** Returns the incarnation that issued a ticket, or `undefined` if the ticket is malformed. */
export function parseTicket (ticket: string): string | undefined {
  const match = /^([\w-]{1,64})\.[\w-]{1,64}$/.exec(ticket)
  return match?.[1]
}

const RESPONSE_EVICTED: RequestOutcome = { kind: 'unknown', reason: 'the request has run, but its response is no longer stored' }
const TICKET_UNKNOWN: RequestOutcome = { kind: 'unknown', reason: 'ticket is not known or no longer stored' }
const TICKET_EXPIRED: RequestOutcome = { kind: 'notRun', reason: 'ticket expired before its first use', retryAfterMs: 0 }

function countBytes (outcome: RequestOutcome | null): number {
  return outcome?.kind === 'completed' ? outcome.body.byteLength + 1024 : 0
}

/** Creates an empty ticket store. */
export function createTicketStore (options: TicketStoreOptions): TicketStore {
  const maxTickets = options.maxTickets ?? MAX_TICKETS
  const maxOpenPerTeam = options.maxOpenPerTeam ?? MAX_OPEN_TICKETS_PER_TEAM
  const maxAnswerBytes = options.maxAnswerBytes ?? MAX_TICKET_RESPONSE_BYTES
  const lifetimeMs = options.lifetimeMs ?? TICKET_LIFETIME_MS
  /** In order of issue, which is also the order of expiration. */
  const tickets = new Map<string, Ticket>()
  const openByTeam = new Map<string, number>()
  /** Tickets whose response is stored, oldest first. */
  const storedResponses = new Set<string>()
  let storedBytes = 0

  const updateOpenCount = (team: string, change: number): void => {
    const open = (openByTeam.get(team) ?? 0) + change
    if (open === 0) openByTeam.delete(team)
    else openByTeam.set(team, open)
  }

  const removeResponse = (id: string, ticket: Ticket): void => {
    if (ticket.state.kind !== 'done') return
    storedBytes -= countBytes(ticket.state.outcome)
    storedResponses.delete(id)
    ticket.state = { kind: 'done', outcome: null }
  }

  const removeTicket = (id: string, ticket: Ticket): void => {
    removeResponse(id, ticket)
    if (ticket.state.kind !== 'done') updateOpenCount(ticket.team, -1)
    tickets.delete(id)
  }

  /** Makes room for one ticket; tickets that are unexpired or running are never evicted. */
  const tryMakeRoom = (nowMs: number): boolean => {
    if (tickets.size < maxTickets) return true
    for (const [id, ticket] of tickets) {
      if (ticket.expiresMs > nowMs) return false
      if (ticket.state.kind === 'running') continue
      removeTicket(id, ticket)
      return true
    }
    return false
  }

  const addTicket = (team: string, nowMs: number): string | undefined => {
    if ((openByTeam.get(team) ?? 0) >= maxOpenPerTeam || !tryMakeRoom(nowMs)) return undefined
    const id = `${options.incarnation}.${options.random.nextId()}`
    tickets.set(id, { team, expiresMs: nowMs + lifetimeMs, fingerprint: null, state: { kind: 'issued' } })
    updateOpenCount(team, 1)
    return id
  }

  const takeTicket = (id: string, team: string, fingerprint: string, nowMs: number): TicketUse => {
    const ticket = tickets.get(id)
    if (ticket === undefined) return { kind: 'outcome', outcome: TICKET_UNKNOWN }
    if (ticket.team !== team) return { kind: 'mismatch' }
    if (ticket.fingerprint !== null && ticket.fingerprint !== fingerprint) return { kind: 'mismatch' }
    if (ticket.state.kind === 'running') return { kind: 'wait' }
    if (ticket.state.kind === 'done') return { kind: 'outcome', outcome: ticket.state.outcome ?? RESPONSE_EVICTED }
    if (nowMs >= ticket.expiresMs) return { kind: 'outcome', outcome: TICKET_EXPIRED }
    ticket.fingerprint = fingerprint
    ticket.state = { kind: 'running' }
    return { kind: 'run' }
  }

  const recordOutcome = (id: string, outcome: RequestOutcome): void => {
    const ticket = tickets.get(id)
    if (ticket?.state.kind !== 'running') throw new Error('outcome recorded for a ticket that is not running')
    if (outcome.kind === 'notRun') {
      ticket.state = { kind: 'issued' }
      return
    }
    updateOpenCount(ticket.team, -1)
    ticket.state = { kind: 'done', outcome }
    storedResponses.add(id)
    storedBytes += countBytes(outcome)
    for (const oldest of storedResponses) {
      if (storedBytes <= maxAnswerBytes) break
      removeResponse(oldest, tickets.get(oldest)!)
    }
  }

  return { addTicket, takeTicket, recordOutcome, countTickets: () => tickets.size }
}
