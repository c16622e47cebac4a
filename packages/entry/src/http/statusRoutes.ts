/** Routes for load balancer probes, metrics and events. */
import type { KeyRing } from '../ports.js'
import type { EventRecord, FollowableEventLog } from '../telemetry/eventLog.js'
import type { Metrics } from '../telemetry/metrics.js'
import { createKeyRefusalResponse } from './keyRefusalResponse.js'
import { createJsonResponse, type HttpRequest, type HttpResponse, type Route } from './route.js'

const MAX_BODY_BYTES = 1024
const MAX_FOLLOWER_BACKLOG = 1024
const FOLLOW_POLL_INTERVAL_MS = 250

export interface StatusRoutesOptions {
  readonly keyRing: KeyRing
  readonly log: FollowableEventLog
  readonly metrics: Metrics
  /** Returns why this entry is not ready for callers, or `null` if it is. */
  readonly findUnreadyReason: () => string | null
}

/** Yields the recorded events, then new ones until the caller disconnects; if the caller is slow, the oldest events are dropped. */
async function * followEvents (log: FollowableEventLog, signal: AbortSignal): AsyncGenerator<Uint8Array> {
  const backlog: EventRecord[] = [...log.listRecords()]
  const follower = log.onRecord((record) => {
    backlog.push(record)
    if (backlog.length > MAX_FOLLOWER_BACKLOG) backlog.shift()
  })
  try {
    while (!signal.aborted) {
      const lines = backlog.splice(0).map((record) => JSON.stringify(record) + '\n')
      if (lines.length > 0) yield Buffer.from(lines.join(''))
      await new Promise((resolve) => setTimeout(resolve, FOLLOW_POLL_INTERVAL_MS))
    }
  } finally {
    follower.dispose()
  }
}

export function createStatusRoutes (options: StatusRoutesOptions): Route[] {
  const readReadiness = async (): Promise<HttpResponse> => {
    const reason = options.findUnreadyReason()
    return reason === null ? createJsonResponse(200, { ready: true }) : createJsonResponse(503, { ready: false, reason })
  }
  const readLiveness = async (): Promise<HttpResponse> => createJsonResponse(200, { live: true })
  const readMetrics = async (): Promise<HttpResponse> => {
    const body = Buffer.from(await options.metrics.render())
    return { status: 200, headers: { 'content-type': 'text/plain; version=0.0.4' }, body }
  }
  const readEvents = async (request: HttpRequest): Promise<HttpResponse> => {
    if (!options.keyRing.isOperator(request.headers['authorization'])) return createKeyRefusalResponse('unauthorized')
    const headers = { 'content-type': 'application/x-ndjson' }
    if (request.query.get('follow') === 'true') {
      return { status: 200, headers, body: followEvents(options.log, request.signal) }
    }
    const lines = options.log.listRecords().map((record) => JSON.stringify(record) + '\n')
    return { status: 200, headers, body: Buffer.from(lines.join('')) }
  }
  return [
    { method: 'GET', pattern: '/readyz', maxBodyBytes: MAX_BODY_BYTES, handle: readReadiness },
    { method: 'GET', pattern: '/livez', maxBodyBytes: MAX_BODY_BYTES, handle: readLiveness },
    { method: 'GET', pattern: '/metrics', maxBodyBytes: MAX_BODY_BYTES, handle: readMetrics },
    { method: 'GET', pattern: '/v1/events', maxBodyBytes: MAX_BODY_BYTES, handle: readEvents }
  ]
}
