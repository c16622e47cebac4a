/** HTTP route for the teams' shares, answered by the scheduler. */
import { createKeyRefusalResponse } from '../http/keyRefusalResponse.js'
import { createJsonResponse, createProblemResponse, type HttpRequest, type HttpResponse, type Route } from '../http/route.js'
import type { KeyRing } from '../ports.js'
import type { JobService } from './jobService.js'

/** Maximum size of the body of a request that needs none, in bytes. */
const MAX_IGNORED_BODY_BYTES = 1024
const RETRY_AFTER_MS = 3000

/** Options of the share route. */
export interface ShareRoutesOptions {
  readonly keyRing: KeyRing
  readonly service: Pick<JobService, 'readFromScheduler'>
}

/** Builds `GET /v1/teams/shares`, which requires the operator key. */
export function createShareRoutes (options: ShareRoutesOptions): Route[] {
  const readShares = async (request: HttpRequest): Promise<HttpResponse> => {
    if (!options.keyRing.isOperator(request.headers['authorization'])) return createKeyRefusalResponse('unauthorized')
    const json = await options.service.readFromScheduler('listTeamShares', '')
    if (json !== null) return createJsonResponse(200, { shares: JSON.parse(json) })
    const detail = 'no entry holds the scheduler role at this moment; an entry acquires it within seconds once the platform is reachable'
    return createProblemResponse({ status: 503, code: 'not_ready', title: 'No scheduler', detail, retryAfterMs: RETRY_AFTER_MS })
  }
  return [{ method: 'GET', pattern: '/v1/teams/shares', maxBodyBytes: MAX_IGNORED_BODY_BYTES, handle: readShares }]
}
