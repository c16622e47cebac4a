/** Responses to callers refused by the key ring; they do not reveal whether a key exists. */
import type { KeyRefusal } from '../ports.js'
import { createProblemResponse, type HttpResponse } from './route.js'

const RETRY_AFTER_MS = 2000

export function createKeyRefusalResponse (refusal: KeyRefusal): HttpResponse {
  if (refusal === 'unauthorized') {
    const detail = 'send a valid key of the team as Authorization: Bearer, or name an open team in Fuchsiatally-Team'
    return createProblemResponse({ status: 401, code: 'unauthorized', title: 'Not authorized', detail })
  }
  if (refusal === 'configurationStale') {
    const detail = 'this entry currently cannot check for key revocations, and the team has whenCut = "refuse"'
    return createProblemResponse({
      status: 503, code: 'configuration_stale', title: 'Configuration is stale', detail, retryAfterMs: RETRY_AFTER_MS
    })
  }
  return createProblemResponse({
    status: 503, code: 'not_ready', title: 'No configuration yet', detail: 'no configuration has been applied, or this entry has not read it yet', retryAfterMs: RETRY_AFTER_MS
  })
}
