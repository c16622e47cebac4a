/** Tickets: the memory of one incarnation in which duplicates of a request meet. */
import type { Random } from '../clock.js'
import type { RequestOutcome } from '../schema/request.js'
import {
  MAX_OPEN_TICKETS_OF_TEAM, MAX_TICKETS, MAX_TICKET_ANSWER_BYTES, TICKET_LIFETIME_MS
} from './constants.js'

/** What a request with a ticket shall do. */
export type TicketUse =
  /** First use: run the request and report its outcome by `recordOutcome`. */
  | { readonly kind: 'run' }
  /** It runs already: wait for its outcome. */
  | { readonly kind: 'wait' }
  /** The final outcome, kept or decided now. */
  | { readonly kind: 'outcome', readonly outcome: RequestOutcome }
  /** The ticket belongs to another team or was used for another request. */
  | { readonly kind: 'mismatch' }

/** All tickets of one incarnation. */
export interface TicketBook {
  /** Issues a ticket `<incarnation>.<random>`, or `undefined` if the team or the book has too many. */
  addTicket: (team: string, nowMs: number) => string | undefined
  /**
   * Uses a ticket of this incarnation.
   *
   * @param fingerprint digest of the request; a duplicate must have the same
   */
  takeTicket: (ticket: string, team: string, fingerprint: string, nowMs: number) => TicketUse
  /** Reports the outcome of a run. `notRun` makes the ticket usable again. */
  recordOutcome: (ticket: string, outcome: RequestOutcome) => void
  countTickets: () => number
}

/** Bounds of a book. */
export interface TicketBookOptions {
  readonly incarnation: string
  readonly random: Random
  /** Default `MAX_TICKETS`. */
  readonly maxTickets?: number
  /** Default `MAX_OPEN_TICKETS_OF_TEAM`. */
  readonly maxOpenOfTeam?: number
  /** Default `MAX_TICKET_ANSWER_BYTES`. */
  readonly maxAnswerBytes?: number
  /** Default `TICKET_LIFETIME_MS`. */
  readonly lifetimeMs?: number
}

type TicketState =
  | { readonly kind: 'issued' }
  | { readonly kind: 'running' }
  /** `null`: the answer was dropped for lack of memory. */
  | { readonly kind: 'done', readonly outcome: RequestOutcome | null }

interface Ticket {
  readonly team: string
  readonly expiresMs: number
  fingerprint: string | null
  state: TicketState
}

/** Name of the incarnation that may run a ticket's request, or `undefined` if the ticket is malformed. */
export function parseTicket (ticket: string): string | undefined {
  const match = /^([\w-]{1,64})\.[\w-]{1,64}$/.exec(ticket)
  return match?.[1]
}

const DROPPED: RequestOutcome = { kind: 'unknown', reason: 'ran, but its answer is no longer kept' }
const FORGOTTEN: RequestOutcome = { kind: 'unknown', reason: 'ticket is not known any more' }
const EXPIRED: RequestOutcome = { kind: 'notRun', reason: 'ticket expired before its first use', retryAfterMs: 0 }

function countBytes (outcome: RequestOutcome | null): number {
  return outcome?.kind === 'completed' ? outcome.body.byteLength + 1024 : 0
}

/** Creates a book without tickets. */
export function createTicketBook (options: TicketBookOptions): TicketBook {
  const maxTickets = options.maxTickets ?? MAX_TICKETS
  const maxOpenOfTeam = options.maxOpenOfTeam ?? MAX_OPEN_TICKETS_OF_TEAM
  const maxAnswerBytes = options.maxAnswerBytes ?? MAX_TICKET_ANSWER_BYTES
  const lifetimeMs = options.lifetimeMs ?? TICKET_LIFETIME_MS
  /** In order of issue, which is also the order of expiry. */
  const tickets = new Map<string, Ticket>()
  const openOfTeam = new Map<string, number>()
  /** Tickets whose answer is kept, oldest first. */
  const kept = new Set<string>()
  let keptBytes = 0

  const addOpen = (team: string, change: number): void => {
    const open = (openOfTeam.get(team) ?? 0) + change
    if (open === 0) openOfTeam.delete(team)
    else openOfTeam.set(team, open)
  }

  const removeAnswer = (id: string, ticket: Ticket): void => {
    if (ticket.state.kind !== 'done') return
    keptBytes -= countBytes(ticket.state.outcome)
    kept.delete(id)
    ticket.state = { kind: 'done', outcome: null }
  }

  const removeTicket = (id: string, ticket: Ticket): void => {
    removeAnswer(id, ticket)
    if (ticket.state.kind !== 'done') addOpen(ticket.team, -1)
    tickets.delete(id)
  }

  /** Frees room for one ticket; unexpired and running ones are never forgotten. */
  const hasRoom = (nowMs: number): boolean => {
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
    if ((openOfTeam.get(team) ?? 0) >= maxOpenOfTeam || !hasRoom(nowMs)) return undefined
    const id = `${options.incarnation}.${options.random.nextId()}`
    tickets.set(id, { team, expiresMs: nowMs + lifetimeMs, fingerprint: null, state: { kind: 'issued' } })
    addOpen(team, 1)
    return id
  }

  const takeTicket = (id: string, team: string, fingerprint: string, nowMs: number): TicketUse => {
    const ticket = tickets.get(id)
    if (ticket === undefined) return { kind: 'outcome', outcome: FORGOTTEN }
    if (ticket.team !== team) return { kind: 'mismatch' }
    if (ticket.fingerprint !== null && ticket.fingerprint !== fingerprint) return { kind: 'mismatch' }
    if (ticket.state.kind === 'running') return { kind: 'wait' }
    if (ticket.state.kind === 'done') return { kind: 'outcome', outcome: ticket.state.outcome ?? DROPPED }
    if (nowMs >= ticket.expiresMs) return { kind: 'outcome', outcome: EXPIRED }
    ticket.fingerprint = fingerprint
    ticket.state = { kind: 'running' }
    return { kind: 'run' }
  }

  const recordOutcome = (id: string, outcome: RequestOutcome): void => {
    const ticket = tickets.get(id)
    if (ticket?.state.kind !== 'running') throw new Error('outcome of a ticket that does not run')
    if (outcome.kind === 'notRun') {
      ticket.state = { kind: 'issued' }
      return
    }
    addOpen(ticket.team, -1)
    ticket.state = { kind: 'done', outcome }
    kept.add(id)
    keptBytes += countBytes(outcome)
    for (const oldest of kept) {
      if (keptBytes <= maxAnswerBytes) break
      removeAnswer(oldest, tickets.get(oldest)!)
    }
  }

  return { addTicket, takeTicket, recordOutcome, countTickets: () => tickets.size }
}
