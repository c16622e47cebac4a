/** Client of the load generator: sends one request over a dedicated connection and records its outcome. */
import { createHash } from 'node:crypto'
import { type IncomingMessage, request as sendHttp } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { readMonotonicMs } from './processClock.js'
import type { CallerOutcome, RequestRecord } from './records.js'
import type { RunnerResponse } from './runner.js'

/** A request to a service, with the behaviour that the load generator requests from the runner. */
export interface CallerRequest {
  readonly requestKey: string
  /** Name of the entry that receives the request. */
  readonly entry: string
  /** `host:port` of the entry. */
  readonly address: string
  readonly service: string
  readonly team: string
  readonly keyId: string
  /** API key; absent for a team with an open queue. */
  readonly key?: string
  readonly idempotent: boolean
  /** Execution time at the runner. */
  readonly workMs: number
  readonly bodyBytes: number
  /** Size of the filler in the response. */
  readonly responseBytes: number
  /** Time over which the request body is sent in chunks, and likewise the response body. */
  readonly slowBodyMs: number
  readonly timeoutMs: number
}

interface HttpResponse {
  readonly status: number
  readonly headers: IncomingMessage['headers']
  readonly body: string
}

interface Failure {
  readonly code: string
  readonly message: string
}

const CHUNK_COUNT = 4
/** Time after the request's deadline at which the caller abandons it. */
const TIMEOUT_GRACE_MS = 10_000

/** Sends a request and records its outcome; never rejects. */
export async function sendRequest (request: CallerRequest): Promise<RequestRecord> {
  const body = Buffer.alloc(request.bodyBytes, request.requestKey)
  const sentAtMs = readMonotonicMs()
  const response = await sendHttpRequest(request, body)
  const result = 'status' in response ? readResponse(request, response, body) : readFailure(response)
  return {
    requestKey: request.requestKey,
    entry: request.entry,
    team: request.team,
    keyId: request.keyId,
    idempotent: request.idempotent,
    sentAtMs,
    endedAtMs: readMonotonicMs(),
    ...result
  }
}

type RequestResult = Pick<RequestRecord, 'outcome' | 'status' | 'reason' | 'isValidResponse' | 'hasRetryAfter'>

function sendHttpRequest (request: CallerRequest, body: Buffer): Promise<HttpResponse | Failure> {
  return new Promise((resolve) => {
    const { hostname, port } = new URL(`http://${request.address}`)
    const outgoing = sendHttp({
      hostname,
      port,
      agent: false,
      method: 'POST',
      path: `/v1/services/${request.service}/work`,
      headers: buildHeaders(request, body)
    })
    const limitMs = request.timeoutMs + TIMEOUT_GRACE_MS
    const timer = setTimeout(() => {
      resolve({ code: 'TIMEOUT', message: `no response within ${limitMs} ms` })
      outgoing.destroy()
    }, limitMs)
    outgoing.on('close', () => clearTimeout(timer))
    outgoing.on('error', (error: NodeJS.ErrnoException) => resolve({ code: error.code ?? '', message: error.message }))
    outgoing.on('response', (response) => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('error', (error) => resolve({ code: 'TRUNCATED', message: error.message }))
      response.on('end', () => resolve({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString() }))
    })
    sendBody(outgoing, body, request.slowBodyMs).catch(() => outgoing.destroy())
  })
}

function buildHeaders (request: CallerRequest, body: Buffer): Record<string, string | number> {
  return {
    ...(request.key === undefined ? { 'fuchsiatally-team': request.team } : { authorization: `Bearer ${request.key}` }),
    'content-length': body.length,
    'fuchsiatally-idempotent': String(request.idempotent),
    'fuchsiatally-timeout-ms': request.timeoutMs,
    'x-request-key': request.requestKey,
    'x-work-ms': request.workMs,
    'x-answer-bytes': request.responseBytes,
    'x-slow-answer-ms': request.slowBodyMs
  }
}

async function sendBody (outgoing: ReturnType<typeof sendHttp>, body: Buffer, slowMs: number): Promise<void> {
  const size = Math.max(1, Math.ceil(body.length / CHUNK_COUNT))
  for (let from = 0; from < body.length; from += size) {
    if (slowMs > 0) await wait(slowMs / CHUNK_COUNT)
    outgoing.write(body.subarray(from, from + size))
  }
  outgoing.end()
}

function readResponse (request: CallerRequest, response: HttpResponse, body: Buffer): RequestResult {
  const outcome = readOutcome(response)
  return {
    outcome,
    status: response.status,
    reason: outcome === 'completed' ? '' : readReason(response),
    isValidResponse: outcome === 'completed' && isValidResponse(request, response, body),
    hasRetryAfter: response.headers['retry-after'] !== undefined
  }
}

/** Classifies a failure: a refused connection cannot have executed anything; any other failure leaves the caller without a response. */
function readFailure (failure: Failure): RequestResult {
  const outcome = failure.code === 'ECONNREFUSED' ? 'rejected' : 'cutOff'
  return { outcome, status: 0, reason: `${failure.code} ${failure.message}`, isValidResponse: false, hasRetryAfter: false }
}

function readOutcome ({ status, headers }: HttpResponse): CallerOutcome {
  const outcomeHeader = headers['fuchsiatally-outcome']
  if (outcomeHeader === 'completed') return 'completed'
  if (outcomeHeader === 'unknown') return 'unknown'
  if (outcomeHeader === 'not_run' && status === 503) return 'notRun'
  return status >= 400 && status !== 500 ? 'rejected' : 'unknown'
}

/** Reads the code and detail of an RFC 9457 problem response. */
function readReason (response: HttpResponse): string {
  try {
    const problem = JSON.parse(response.body) as { readonly code?: string, readonly detail?: string }
    return `${problem.code ?? response.status}: ${problem.detail ?? ''}`
  } catch {
    return String(response.status)
  }
}

function isValidResponse (request: CallerRequest, response: HttpResponse, body: Buffer): boolean {
  try {
    const parsed = JSON.parse(response.body) as RunnerResponse
    return parsed.requestKey === request.requestKey &&
      parsed.bodySha256 === createHash('sha256').update(body).digest('hex') &&
      parsed.filler.length === request.responseBytes
  } catch {
    return false
  }
}
