/** Creates request outcomes and the responses to callers. */
import { MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS, type RequestOutcome } from '@fuchsiatally/core'
import { createProblemResponse, type HttpResponse } from '../http/route.js'

/** Reason of a `notRun` outcome whose ticket does not match the request; entries compare this text. */
export const TICKET_MISMATCH = 'the ticket was issued to another team or used for another request'

/** Creates the outcome of a request that certainly did not run; the retry-after time is clamped to its limits. */
export function createNotRunOutcome (reason: string, retryAfterMs: number): RequestOutcome {
  const boundedMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, Math.ceil(retryAfterMs)))
  return { kind: 'notRun', reason, retryAfterMs: Number.isFinite(boundedMs) ? boundedMs : MAX_RETRY_AFTER_MS }
}

/** Creates the outcome of a request that may have run. */
export function createUnknownOutcome (reason: string): RequestOutcome {
  return { kind: 'unknown', reason }
}

/** Adds the outcome header to a response. */
export function addOutcomeHeader (response: HttpResponse, outcome: 'completed' | 'not_run' | 'unknown'): HttpResponse {
  return { ...response, headers: { ...response.headers, 'fuchsiatally-outcome': outcome } }
}

/**
 * Creates the response to the caller.
 *
 * @param retryAfterMs retry-after time for an `unknown` outcome; only for requests with a ticket
 */
export function createOutcomeResponse (outcome: RequestOutcome, retryAfterMs: number | undefined): HttpResponse {
  if (outcome.kind === 'completed') {
    const headers = { ...outcome.headers, 'fuchsiatally-worker': outcome.worker }
    return addOutcomeHeader({ status: outcome.status, headers, body: outcome.body }, 'completed')
  }
  if (outcome.kind === 'unknown') {
    return addOutcomeHeader(createProblemResponse({
      status: 504,
      code: 'unknown',
      title: 'It is not known whether the request ran',
      detail: outcome.reason,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs })
    }), 'unknown')
  }
  const isMismatch = outcome.reason === TICKET_MISMATCH
  return addOutcomeHeader(createProblemResponse({
    status: isMismatch ? 409 : 503,
    code: isMismatch ? 'conflict' : 'not_run',
    title: 'The request did not run',
    detail: outcome.reason,
    ...(isMismatch ? {} : { retryAfterMs: outcome.retryAfterMs })
  }), 'not_run')
}
