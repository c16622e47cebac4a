/** Answers to work that is not accepted; they tell a prober nothing about keys. */
import type { KeyRefusal } from '../ports.js'
import { createProblemResponse, type HttpResponse } from './route.js'

const STALE_RETRY_AFTER_MS = 2000

/** Builds the answer to a refusal of the key ring. */
export function createUnauthorizedResponse (refusal: KeyRefusal): HttpResponse {
  if (refusal === 'unauthorized') {
    const detail = 'send a valid key of the team as Authorization: Bearer, or name an open team in Fuchsiatally-Team'
    return createProblemResponse({ status: 401, code: 'unauthorized', title: 'Not authorized', detail })
  }
  if (refusal === 'configurationStale') {
    const detail = 'this entry cannot learn of revoked keys at this moment, and the team has whenCut = "refuse"'
    return createProblemResponse({
      status: 503, code: 'configuration_stale', title: 'Configuration is stale', detail, retryAfterMs: STALE_RETRY_AFTER_MS
    })
  }
  return createProblemResponse({
    status: 503, code: 'not_ready', title: 'No configuration yet', detail: 'no configuration has been applied, or this entry has not read it yet', retryAfterMs: STALE_RETRY_AFTER_MS
  })
}
