/** One exchange of a request with an endpoint: its time, what is learnt from it, and whether another may follow. */
import type {
  Clock, Disposable, EndpointBook, EndpointChoice, EventLog, RequestOutcome, RetryBudget, Service, ServiceRequest
} from '@fuchsiatally/core'
import type { EndpointClient, ExchangeResult } from '../ports.js'
import { MAX_TRIES, MIN_TRY_AVERAGES, MIN_TRY_TIMEOUT_MS, TRY_TIMEOUT_FACTOR } from './constants.js'
import { endpointEjected, endpointRestored } from './events.js'

/** A request in the owner's hands. */
export interface Held {
  /** Unique at this owner; a caller's request may come here more than once. */
  readonly id: string
  readonly request: ServiceRequest
  readonly service: Service
  readonly weight: number
  readonly deadlineMs: number
  readonly onOutcome: (outcome: RequestOutcome) => void
  readonly triedAddresses: Set<string>
  tries: number
  /** An earlier exchange broke: the request can never again be called not run. */
  mayHaveRun: boolean
  ended: boolean
  /** Ends the request at its deadline while it is queued. */
  timer: Disposable | null
}

/** What exchanges need. */
export interface EndpointExchangesOptions {
  readonly clock: Clock
  readonly endpoints: EndpointClient
  readonly book: EndpointBook
  readonly budget: RetryBudget
  readonly log: EventLog
}

/** How an exchange ended. */
export interface EndedExchange {
  readonly result: ExchangeResult
  /** A retry was paid for in advance. */
  readonly retryTaken: boolean
}

/** Runs exchanges with chosen endpoints. */
export interface EndpointExchanges {
  /** Sends the request to the endpoint, whose slot is given back when the exchange is over. */
  runExchange: (held: Held, choice: EndpointChoice) => Promise<EndedExchange>
  /** Whether the request may be sent to another endpoint; takes the retry that pays for it. */
  canRetry: (held: Held, result: Exclude<ExchangeResult, { kind: 'answered' }>, retryTaken: boolean) => boolean
}

/** Creates the runner of exchanges. */
export function createEndpointExchanges (options: EndpointExchangesOptions): EndpointExchanges {
  const { clock, book, budget, log } = options

  /** Time for one try: all that is left, or less if another try would still fit and is paid for. */
  const decideTryMs = (held: Held, remainingMs: number): { timeoutMs: number, retryTaken: boolean } => {
    const wholeMs = Math.min(remainingMs, held.service.timeoutMs)
    const averageMs = book.estimateExchangeMs(held.service.name)
    const tryMs = Math.min(wholeMs / 2, Math.max(MIN_TRY_TIMEOUT_MS, TRY_TIMEOUT_FACTOR * averageMs))
    const mayRetry = held.request.idempotent && held.tries < MAX_TRIES && tryMs >= MIN_TRY_AVERAGES * averageMs
    const retryTaken = mayRetry && budget.takeRetry()
    return { timeoutMs: retryTaken ? tryMs : wholeMs, retryTaken }
  }

  const recordSample = (choice: EndpointChoice, result: ExchangeResult, durationMs: number): void => {
    const change = book.releaseEndpoint(choice.endpoint.address, { kind: result.kind, durationMs }, clock.nowMs())
    if (change === undefined) return
    log.record(change.change === 'ejected' ? endpointEjected : endpointRestored, { ...change })
  }

  const canRetry: EndpointExchanges['canRetry'] = (held, result, retryTaken) => {
    if (held.tries >= MAX_TRIES || clock.nowMs() >= held.deadlineMs) return false
    if (result.kind === 'broken' && (!held.request.idempotent || result.final === true)) return false
    return retryTaken || budget.takeRetry()
  }

  const runExchange: EndpointExchanges['runExchange'] = async (held, choice) => {
    const beganMs = clock.nowMs()
    const { timeoutMs, retryTaken } = decideTryMs(held, held.deadlineMs - beganMs)
    const request = { ...held.request, remainingMs: held.deadlineMs - beganMs }
    const result = await options.endpoints.sendExchange(
      choice.endpoint.address, request, timeoutMs, held.service.maxBodyBytes, held.service.connectionsPerRunner)
    recordSample(choice, result, clock.nowMs() - beganMs)
    return { result, retryTaken }
  }

  return { runExchange, canRetry }
}
