/** Builds outcomes and the callers' answers for them. */
import { MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS, type RequestOutcome } from '@fuchsiatally/core'
import { createProblemResponse, type HttpResponse } from '../http/route.js'

/** Reason of an outcome that means that the ticket is another's. */
export const TICKET_MISMATCH = 'the ticket was issued to another team or used for another request'

/** Outcome for a request that ran nowhere for certain; the time to come back is kept within bounds. */
export function createNotRun (reason: string, retryAfterMs: number): RequestOutcome {
  const bounded = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, Math.ceil(retryAfterMs)))
  return { kind: 'notRun', reason, retryAfterMs: Number.isFinite(bounded) ? bounded : MAX_RETRY_AFTER_MS }
}

/** Outcome for a request that may have run. */
export function createUnknown (reason: string): RequestOutcome {
  return { kind: 'unknown', reason }
}

/** Adds the header that names the outcome. */
export function addOutcomeHeader (response: HttpResponse, outcome: 'completed' | 'not_run' | 'unknown'): HttpResponse {
  return { ...response, headers: { ...response.headers, 'fuchsiatally-outcome': outcome } }
}

/**
 * Builds the caller's answer.
 *
 * @param retryAfterMs when the caller may ask again after `unknown`; only with a ticket
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
