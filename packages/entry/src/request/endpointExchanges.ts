/** Exchanges of requests with endpoints: time limit, load balancer feedback and retry decision of each. */
import type {
  Clock, Disposable, EndpointBalancer, EndpointChoice, EventLog, RequestOutcome, RetryBudget, Service, ServiceRequest
} from '@fuchsiatally/core'
import type { EndpointClient, ExchangeResult } from '../ports.js'
import { MAX_EXCHANGE_ATTEMPTS, MIN_ATTEMPT_TIMEOUT_FACTOR, MIN_ATTEMPT_TIMEOUT_MS, ATTEMPT_TIMEOUT_FACTOR } from './constants.js'
import { endpointEjected, endpointRestored } from './events.js'

/** A request that is queued or in an exchange at its owner. */
export interface PendingRequest {
  /** Unique at this owner, unlike the caller's request id: the same request may arrive more than once. */
  readonly id: string
  readonly request: ServiceRequest
  readonly service: Service
  readonly weight: number
  readonly deadlineMs: number
  readonly onOutcome: (outcome: RequestOutcome) => void
  readonly triedAddresses: Set<string>
  attempts: number
  /** An earlier exchange broke, so the outcome can no longer be `notRun`. */
  mayHaveRun: boolean
  ended: boolean
  /** Deadline timer while the request is queued. */
  timer: Disposable | null
}

/** Dependencies of the exchanges. */
export interface EndpointExchangesOptions {
  readonly clock: Clock
  readonly endpoints: EndpointClient
  readonly balancer: EndpointBalancer
  readonly budget: RetryBudget
  readonly log: EventLog
}

/** Result of an exchange. */
export interface EndedExchange {
  readonly result: ExchangeResult
  /** Whether a retry was reserved from the retry budget before the exchange. */
  readonly retryReserved: boolean
}

/** Runs exchanges with the chosen endpoints. */
export interface EndpointExchanges {
  /** Sends the request to the endpoint and releases the endpoint's slot when the exchange ends. */
  runExchange: (pending: PendingRequest, choice: EndpointChoice) => Promise<EndedExchange>
  /** Whether the request may be sent to another endpoint; takes a retry from the budget unless one was reserved. */
  canRetry: (pending: PendingRequest, result: Exclude<ExchangeResult, { kind: 'answered' }>, retryReserved: boolean) => boolean
}

export function createEndpointExchanges (options: EndpointExchangesOptions): EndpointExchanges {
  const { clock, balancer, budget, log } = options

  /** Time limit of one attempt: the whole remaining time, or less if another attempt would fit and its retry could be reserved. */
  const decideAttemptTimeout = (pending: PendingRequest, remainingMs: number): { timeoutMs: number, retryReserved: boolean } => {
    const fullTimeoutMs = Math.min(remainingMs, pending.service.timeoutMs)
    const averageMs = balancer.estimateExchangeMs(pending.service.name)
    const attemptTimeoutMs = Math.min(fullTimeoutMs / 2, Math.max(MIN_ATTEMPT_TIMEOUT_MS, ATTEMPT_TIMEOUT_FACTOR * averageMs))
    const mayRetry = pending.request.idempotent && pending.attempts < MAX_EXCHANGE_ATTEMPTS && attemptTimeoutMs >= MIN_ATTEMPT_TIMEOUT_FACTOR * averageMs
    const retryReserved = mayRetry && budget.takeRetry()
    return { timeoutMs: retryReserved ? attemptTimeoutMs : fullTimeoutMs, retryReserved }
  }

  const recordResult = (choice: EndpointChoice, result: ExchangeResult, durationMs: number): void => {
    const change = balancer.releaseEndpoint(choice.endpoint.address, { kind: result.kind, durationMs }, clock.nowMs())
    if (change === undefined) return
    log.record(change.change === 'ejected' ? endpointEjected : endpointRestored, { ...change })
  }

  const canRetry: EndpointExchanges['canRetry'] = (pending, result, retryReserved) => {
    if (pending.attempts >= MAX_EXCHANGE_ATTEMPTS || clock.nowMs() >= pending.deadlineMs) return false
    if (result.kind === 'broken' && (!pending.request.idempotent || result.final === true)) return false
    return retryReserved || budget.takeRetry()
  }

  const runExchange: EndpointExchanges['runExchange'] = async (pending, choice) => {
    const startedMs = clock.nowMs()
    const { timeoutMs, retryReserved } = decideAttemptTimeout(pending, pending.deadlineMs - startedMs)
    const request = { ...pending.request, remainingMs: pending.deadlineMs - startedMs }
    const result = await options.endpoints.sendExchange(
      choice.endpoint.address, request, timeoutMs, pending.service.maxBodyBytes, pending.service.connectionsPerRunner)
    recordResult(choice, result, clock.nowMs() - startedMs)
    return { result, retryReserved }
  }

  return { runExchange, canRetry }
}
