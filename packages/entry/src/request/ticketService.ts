/** Runs requests with tickets, which make retries by callers safe: the incarnation that issued a ticket runs its request at most once, and other entries forward to it. */
import { createHash } from 'node:crypto'
import {
  createTicketStore, parseTicket,
  type Clock, type EventLog, type Random, type RequestOutcome, type ServiceRequest
} from '@fuchsiatally/core'
import type { PeerMesh, Sessions } from '../ports.js'
import { ticketDuplicate } from './events.js'
import type { Forwarder } from './forwarder.js'
import { createNotRunOutcome, createUnknownOutcome, TICKET_MISMATCH } from './outcome.js'

/** Dependencies of the ticket service. */
export interface TicketServiceOptions {
  readonly clock: Clock
  readonly random: Random
  readonly mesh: PeerMesh
  readonly sessions: Sessions
  readonly forwarder: Forwarder
  readonly log: EventLog
  /** Routes a request to an owner; called again for the same ticket only after the outcome `notRun`. */
  readonly runRequest: (request: ServiceRequest, deadlineMs: number) => Promise<RequestOutcome>
}

/** Issues tickets and runs requests with them. */
export interface TicketService {
  /** Issues a ticket; `undefined` if the team or the entry has too many open ones. */
  addTicket: (team: string) => string | undefined
  runTicket: (ticket: string, request: ServiceRequest, deadlineMs: number) => Promise<RequestOutcome>
  /** Number of tickets whose request is running at this entry. */
  countOpen: () => number
}

function computeFingerprint (request: ServiceRequest): string {
  const hash = createHash('sha256')
  hash.update(JSON.stringify([request.service, request.method, request.path, request.headers['content-type'] ?? '']))
  return hash.update(request.body).digest('base64')
}

/** Creates the service and registers the handler of `ticketRequest`. */
export function createTicketService (options: TicketServiceOptions): TicketService {
  const { clock, mesh, sessions } = options
  const tickets = createTicketStore({ incarnation: sessions.incarnation, random: options.random })
  const waiters = new Map<string, Set<(outcome: RequestOutcome) => void>>()

  const runFirst = async (ticket: string, request: ServiceRequest, deadlineMs: number): Promise<RequestOutcome> => {
    waiters.set(ticket, new Set())
    const outcome = await options.runRequest({ ...request, id: ticket }, deadlineMs)
    tickets.recordOutcome(ticket, outcome)
    const waiting = waiters.get(ticket)!
    waiters.delete(ticket)
    for (const finish of waiting) finish(outcome)
    return outcome
  }

  const waitForOutcome = async (ticket: string, deadlineMs: number): Promise<RequestOutcome> =>
    await new Promise((resolve) => {
      const waiting = waiters.get(ticket)!
      const finish = (outcome: RequestOutcome): void => {
        timer.dispose()
        waiting.delete(finish)
        resolve(outcome)
      }
      const timer = clock.setTimer(Math.max(0, deadlineMs - clock.nowMs()), () => {
        finish(createUnknownOutcome('the first request with this ticket is still running'))
      })
      waiting.add(finish)
    })

  const runLocally = async (ticket: string, request: ServiceRequest, deadlineMs: number): Promise<RequestOutcome> => {
    const use = tickets.takeTicket(ticket, request.team, computeFingerprint(request), clock.nowMs())
    if (use.kind === 'run') return await runFirst(ticket, request, deadlineMs)
    if (use.kind === 'mismatch') return createNotRunOutcome(TICKET_MISMATCH, 0)
    options.log.record(ticketDuplicate, { ticket, state: use.kind })
    return use.kind === 'wait' ? await waitForOutcome(ticket, deadlineMs) : use.outcome
  }

  const runAtIssuer = async (
    issuer: string, ticket: string, request: ServiceRequest, deadlineMs: number
  ): Promise<RequestOutcome> => {
    if (!mesh.listPeers().some((peer) => peer.incarnation === issuer)) {
      return createUnknownOutcome(`the entry that issued the ticket is ${sessions.isGone(issuer) ? 'gone' : 'unreachable'}`)
    }
    return await options.forwarder.sendRequest({ incarnation: issuer, request, ticket, deadlineMs })
  }

  mesh.onMessage('ticketRequest', ({ exchange, ticket, request }, from) => {
    if (parseTicket(ticket) !== sessions.incarnation) return
    runLocally(ticket, request, clock.nowMs() + request.remainingMs).then((outcome) => {
      mesh.sendMessage(from.incarnation, { type: 'forwardReply', exchange, outcome })
    })
  })

  return {
    addTicket: (team) => tickets.addTicket(team, clock.nowMs()),
    runTicket: async (ticket, request, deadlineMs) => {
      const issuer = parseTicket(ticket)
      if (issuer === undefined) return createNotRunOutcome(TICKET_MISMATCH, 0)
      return issuer === sessions.incarnation
        ? await runLocally(ticket, request, deadlineMs)
        : await runAtIssuer(issuer, ticket, request, deadlineMs)
    },
    countOpen: () => waiters.size
  }
}
