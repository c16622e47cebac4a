/** HTTP routes for callers' requests and tickets. */
import { err, ok, type Result } from 'neverthrow'
import {
  TICKET_LIFETIME_MS, createTokenBucket,
  type Clock, type EventLog, type Random, type RequestOutcome, type Service, type ServiceRequest, type Team,
  type TokenBucket
} from '@fuchsiatally/core'
import { createJsonResponse, createProblemResponse, type HttpRequest, type HttpResponse, type Problem, type Route } from '../http/route.js'
import { createKeyRefusalResponse } from '../http/keyRefusalResponse.js'
import type { ConfigStore, KeyRing } from '../ports.js'
import { MAX_ROUTE_BODY_BYTES, MAX_TIMEOUT_MS, TICKET_RETRY_MS } from './constants.js'
import { requestNotRun, requestRejected, requestUnknown, ticketRefused } from './events.js'
import { addOutcomeHeader, createOutcomeResponse } from './outcome.js'
import type { TicketService } from './ticketService.js'

/** Dependencies of the request routes. */
export interface RequestRoutesOptions {
  readonly clock: Clock
  readonly random: Random
  readonly config: ConfigStore
  readonly keyRing: KeyRing
  readonly log: EventLog
  readonly tickets: TicketService
  readonly runRequest: (request: ServiceRequest, deadlineMs: number, signal: AbortSignal) => Promise<RequestOutcome>
  /** Called with 1 when a caller's request starts and with -1 when it ends. */
  readonly onOpenChange: (change: 1 | -1) => void
  /** Called with each final outcome and the time since the request arrived, in milliseconds. */
  readonly onOutcome: (kind: RequestOutcome['kind'], elapsedMs: number) => void
}

const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD'])
/** Hop-by-hop headers and headers for this entry, which are not forwarded to the endpoint. */
const DROPPED_HEADERS = new Set([
  'authorization', 'connection', 'content-length', 'expect', 'host', 'keep-alive', 'proxy-authenticate',
  'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  // CBOR decoding cannot create it as an own property of an object.
  '__proto__'
])
const OWN_HEADER_PREFIX = 'fuchsiatally-'

/** Parameters of a request that passed validation. */
interface ValidatedRequest {
  readonly team: Team
  readonly service: Service
  readonly timeoutMs: number
  readonly idempotent: boolean
}

function collectHeaders (headers: HttpRequest['headers']): Record<string, string> {
  const kept: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (!DROPPED_HEADERS.has(name) && !name.startsWith(OWN_HEADER_PREFIX)) kept[name] = value
  }
  return kept
}

function createBadRequest (detail: string): Problem {
  return { status: 400, code: 'bad_request', title: 'Malformed request', detail }
}

function parseTimeoutMs (header: string | undefined, service: Service): number | undefined {
  if (header === undefined) return service.timeoutMs
  if (!/^[0-9]{1,9}$/.test(header)) return undefined
  const timeoutMs = Number(header)
  return timeoutMs >= 1 && timeoutMs <= MAX_TIMEOUT_MS ? timeoutMs : undefined
}

/** Path and query sent to the endpoint: everything after the service's name. */
function computeEndpointPath (request: HttpRequest): string {
  const path = request.path.replace(/^\/v1\/services\/[^/]*/, '')
  const query = request.query.toString()
  return (path.startsWith('/') ? path : `/${path}`) + (query === '' ? '' : `?${query}`)
}

/** Creates the routes `/v1/services/:service/*` and `/v1/tickets`. */
export function createRequestRoutes (options: RequestRoutesOptions): Route[] {
  const { clock, log } = options
  const buckets = new Map<string, TokenBucket>()

  /** Takes a token of the team's rate limit and returns 0, or returns the milliseconds until there is one. */
  const takeToken = (team: Team): number => {
    const nowMs = clock.nowMs()
    let bucket = buckets.get(team.name)
    if (bucket === undefined) {
      bucket = createTokenBucket(team.limits.requestsPerS, nowMs)
      buckets.set(team.name, bucket)
    }
    bucket.setRate(team.limits.requestsPerS, nowMs)
    return bucket.takeToken(nowMs)
  }

  const rejectRequest = (problem: Problem, service: string | undefined): HttpResponse => {
    log.record(requestRejected, { service, code: problem.code, detail: problem.detail })
    return addOutcomeHeader(createProblemResponse(problem), 'not_run')
  }

  /** Authenticates the caller and applies the rate limit of its team. */
  const checkTeam = async (request: HttpRequest, service: string | undefined): Promise<Result<Team, HttpResponse>> => {
    const checked = await options.keyRing.checkTeam(request.headers.authorization, request.headers['fuchsiatally-team'])
    if (checked.isErr()) {
      log.record(requestRejected, { service, code: checked.error })
      return err(addOutcomeHeader(createKeyRefusalResponse(checked.error), 'not_run'))
    }
    const waitMs = takeToken(checked.value)
    if (waitMs === 0) return ok(checked.value)
    return err(rejectRequest({
      status: 429,
      code: 'over_limit',
      title: 'Too many requests of the team',
      detail: `the team may send ${checked.value.limits.requestsPerS} requests per second to each entry`,
      retryAfterMs: waitMs
    }, service))
  }

  const checkRequest = (request: HttpRequest, team: Team, name: string): ValidatedRequest | Problem => {
    const service = options.config.readDocument()?.manifest.services.find((other) => other.name === name)
    if (service === undefined) {
      return { status: 404, code: 'not_found', title: 'No such service', detail: 'the manifest defines no service of this name' }
    }
    if (request.body.byteLength > service.maxBodyBytes) {
      return { status: 413, code: 'too_large', title: 'Body too large', detail: `the request body exceeds ${service.maxBodyBytes} bytes` }
    }
    const timeoutMs = parseTimeoutMs(request.headers['fuchsiatally-timeout-ms'], service)
    if (timeoutMs === undefined) {
      return createBadRequest(`fuchsiatally-timeout-ms must be a whole number from 1 to ${MAX_TIMEOUT_MS}`)
    }
    const idempotentHeader = request.headers['fuchsiatally-idempotent']
    if (idempotentHeader !== undefined && idempotentHeader !== 'true' && idempotentHeader !== 'false') {
      return createBadRequest('fuchsiatally-idempotent must be true or false')
    }
    const idempotent = idempotentHeader === undefined ? IDEMPOTENT_METHODS.has(request.method) : idempotentHeader === 'true'
    return { team, service, timeoutMs, idempotent }
  }

  const createServiceRequest = (request: HttpRequest, validated: ValidatedRequest): ServiceRequest => ({
    id: options.random.nextId(),
    team: validated.team.name,
    service: validated.service.name,
    method: request.method,
    path: computeEndpointPath(request),
    headers: collectHeaders(request.headers),
    body: Uint8Array.from(request.body),
    idempotent: validated.idempotent,
    remainingMs: validated.timeoutMs
  })

  const recordOutcome = (request: ServiceRequest, outcome: RequestOutcome): void => {
    const fields = { request: request.id, team: request.team, service: request.service }
    if (outcome.kind === 'notRun') {
      log.record(requestNotRun, { ...fields, reason: outcome.reason, retryAfterMs: outcome.retryAfterMs })
    }
    if (outcome.kind === 'unknown') log.record(requestUnknown, { ...fields, reason: outcome.reason })
  }

  const runRequest = async (request: HttpRequest, validated: ValidatedRequest): Promise<HttpResponse> => {
    const serviceRequest = createServiceRequest(request, validated)
    const arrivedMs = clock.nowMs()
    const deadlineMs = arrivedMs + validated.timeoutMs
    const ticket = request.headers['fuchsiatally-ticket']
    const outcome = ticket === undefined
      ? await options.runRequest(serviceRequest, deadlineMs, request.signal)
      : await options.tickets.runTicket(ticket, serviceRequest, deadlineMs)
    recordOutcome(serviceRequest, outcome)
    options.onOutcome(outcome.kind, clock.nowMs() - arrivedMs)
    return createOutcomeResponse(outcome, ticket === undefined ? undefined : TICKET_RETRY_MS)
  }

  const handleService: Route['handle'] = async (request, { service = '' }) => {
    const team = await checkTeam(request, service)
    if (team.isErr()) return team.error
    const checked = checkRequest(request, team.value, service)
    if ('code' in checked) return rejectRequest(checked, service)
    options.onOpenChange(1)
    try {
      return await runRequest(request, checked)
    } finally {
      options.onOpenChange(-1)
    }
  }

  const handleTicket: Route['handle'] = async (request) => {
    const team = await checkTeam(request, undefined)
    if (team.isErr()) return team.error
    const ticket = options.tickets.addTicket(team.value.name)
    if (ticket !== undefined) return createJsonResponse(201, { ticket, expiresInMs: TICKET_LIFETIME_MS })
    log.record(ticketRefused, { team: team.value.name })
    return createProblemResponse({
      status: 429,
      code: 'over_limit',
      title: 'Too many open tickets',
      detail: 'use the open tickets or let them expire',
      retryAfterMs: TICKET_RETRY_MS
    })
  }

  const routes: Route[] = METHODS.map((method) => ({
    method, pattern: '/v1/services/:service/*', maxBodyBytes: MAX_ROUTE_BODY_BYTES, handle: handleService
  }))
  routes.push({ method: 'POST', pattern: '/v1/tickets', maxBodyBytes: 1024, handle: handleTicket })
  return routes
}
