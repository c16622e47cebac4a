/** Runs requests under tickets: at home once each, elsewhere by asking the incarnation that the ticket names. */
import { createHash } from 'node:crypto'
import {
  createTicketBook, parseTicket,
  type Clock, type EventLog, type Random, type RequestOutcome, type ServiceRequest
} from '@fuchsiatally/core'
import type { PeerMesh, Sessions } from '../ports.js'
import { ticketDuplicate } from './events.js'
import type { Forwarder } from './forwarder.js'
import { createNotRun, createUnknown, TICKET_MISMATCH } from './outcome.js'

/** What the desk needs. */
export interface TicketDeskOptions {
  readonly clock: Clock
  readonly random: Random
  readonly mesh: PeerMesh
  readonly sessions: Sessions
  readonly forwarder: Forwarder
  readonly log: EventLog
  /** Routes a request to an owner; called once for each ticket unless the outcome was `notRun`. */
  readonly runRequest: (request: ServiceRequest, deadlineMs: number) => Promise<RequestOutcome>
}

/** Issues tickets and runs requests under them. */
export interface TicketDesk {
  addTicket: (team: string) => string | undefined
  runTicket: (ticket: string, request: ServiceRequest, deadlineMs: number) => Promise<RequestOutcome>
  countOpen: () => number
}

function computeFingerprint (request: ServiceRequest): string {
  const hash = createHash('sha256')
  hash.update(JSON.stringify([request.service, request.method, request.path, request.headers['content-type'] ?? '']))
  return hash.update(request.body).digest('base64')
}

/** Starts the desk; it takes the messages `ticketRequest`. */
export function createTicketDesk (options: TicketDeskOptions): TicketDesk {
  const { clock, mesh, sessions } = options
  const book = createTicketBook({ incarnation: sessions.incarnation, random: options.random })
  const waiters = new Map<string, Set<(outcome: RequestOutcome) => void>>()

  const runFirst = async (ticket: string, request: ServiceRequest, deadlineMs: number): Promise<RequestOutcome> => {
    waiters.set(ticket, new Set())
    const outcome = await options.runRequest({ ...request, id: ticket }, deadlineMs)
    book.recordOutcome(ticket, outcome)
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
        finish(createUnknown('the first request with this ticket has not ended yet'))
      })
      waiting.add(finish)
    })

  const runAtHome = async (ticket: string, request: ServiceRequest, deadlineMs: number): Promise<RequestOutcome> => {
    const use = book.takeTicket(ticket, request.team, computeFingerprint(request), clock.nowMs())
    if (use.kind === 'run') return await runFirst(ticket, request, deadlineMs)
    if (use.kind === 'mismatch') return createNotRun(TICKET_MISMATCH, 0)
    options.log.record(ticketDuplicate, { ticket, state: use.kind })
    return use.kind === 'wait' ? await waitForOutcome(ticket, deadlineMs) : use.outcome
  }

  const runElsewhere = async (
    home: string, ticket: string, request: ServiceRequest, deadlineMs: number
  ): Promise<RequestOutcome> => {
    if (!mesh.listPeers().some((peer) => peer.incarnation === home)) {
      return createUnknown(`the entry that issued the ticket is ${sessions.isGone(home) ? 'gone' : 'out of reach'}`)
    }
    return await options.forwarder.sendRequest({ incarnation: home, request, ticket, deadlineMs })
  }

  mesh.onMessage('ticketRequest', ({ exchange, ticket, request }, from) => {
    if (parseTicket(ticket) !== sessions.incarnation) return
    runAtHome(ticket, request, clock.nowMs() + request.remainingMs).then((outcome) => {
      mesh.sendMessage(from.incarnation, { type: 'forwardReply', exchange, outcome })
    })
  })

  return {
    addTicket: (team) => book.addTicket(team, clock.nowMs()),
    runTicket: async (ticket, request, deadlineMs) => {
      const home = parseTicket(ticket)
      if (home === undefined) return createNotRun(TICKET_MISMATCH, 0)
      return home === sessions.incarnation
        ? await runAtHome(ticket, request, deadlineMs)
        : await runElsewhere(home, ticket, request, deadlineMs)
    },
    countOpen: () => waiters.size
  }
}
