/** One caller's request over a connection of its own, and what came of it. */
import { createHash } from 'node:crypto'
import { type IncomingMessage, request as sendHttp } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { readMachineMs } from './processClock.js'
import type { CallerOutcome, RequestRecord } from './records.js'
import type { RunnerAnswer } from './runner.js'

/** A request to a service, as the load generator sends it. */
export interface CallerRequest {
  readonly requestKey: string
  /** Name of the entry and its `host:port`. */
  readonly entry: string
  readonly address: string
  readonly service: string
  readonly team: string
  readonly keyId: string
  /** Absent for an open queue. */
  readonly key?: string
  readonly idempotent: boolean
  /** How long the runner works on it. */
  readonly workMs: number
  readonly bodyBytes: number
  /** How much filler the answer carries. */
  readonly answerBytes: number
  /** Time over which the caller sends its body in pieces, and over which the runner sends its answer. */
  readonly slowBodyMs: number
  readonly timeoutMs: number
}

interface Answer {
  readonly status: number
  readonly headers: IncomingMessage['headers']
  readonly body: string
}

interface Failure {
  readonly code: string
  readonly message: string
}

const PIECES = 4
/** Time beyond the request's own deadline after which the caller gives up. */
const GRACE_MS = 10_000

/** Sends a request and records how it ended; never fails. */
export async function sendRequest (request: CallerRequest): Promise<RequestRecord> {
  const body = Buffer.alloc(request.bodyBytes, request.requestKey)
  const sentAtMs = readMachineMs()
  const answer = await exchange(request, body)
  const ended = 'status' in answer ? readAnswer(request, answer, body) : readFailure(answer)
  return {
    requestKey: request.requestKey,
    entry: request.entry,
    team: request.team,
    keyId: request.keyId,
    idempotent: request.idempotent,
    sentAtMs,
    endedAtMs: readMachineMs(),
    ...ended
  }
}

type Ended = Pick<RequestRecord, 'outcome' | 'status' | 'reason' | 'isOwnAnswer' | 'hasRetryAfter'>

function exchange (request: CallerRequest, body: Buffer): Promise<Answer | Failure> {
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
    const limitMs = request.timeoutMs + GRACE_MS
    const timer = setTimeout(() => {
      resolve({ code: 'TIMEOUT', message: `no answer within ${limitMs} ms` })
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
    'x-answer-bytes': request.answerBytes,
    'x-slow-answer-ms': request.slowBodyMs
  }
}

async function sendBody (outgoing: ReturnType<typeof sendHttp>, body: Buffer, slowMs: number): Promise<void> {
  const size = Math.max(1, Math.ceil(body.length / PIECES))
  for (let from = 0; from < body.length; from += size) {
    if (slowMs > 0) await wait(slowMs / PIECES)
    outgoing.write(body.subarray(from, from + size))
  }
  outgoing.end()
}

function readAnswer (request: CallerRequest, answer: Answer, body: Buffer): Ended {
  const outcome = readOutcome(answer)
  return {
    outcome,
    status: answer.status,
    reason: outcome === 'completed' ? '' : readReason(answer),
    isOwnAnswer: outcome === 'completed' && isOwnAnswer(request, answer, body),
    hasRetryAfter: answer.headers['retry-after'] !== undefined
  }
}

/** A connection that was never opened ran nothing; any other failure leaves the caller without an answer. */
function readFailure (failure: Failure): Ended {
  const outcome = failure.code === 'ECONNREFUSED' ? 'rejected' : 'cutOff'
  return { outcome, status: 0, reason: `${failure.code} ${failure.message}`, isOwnAnswer: false, hasRetryAfter: false }
}

function readOutcome ({ status, headers }: Answer): CallerOutcome {
  const named = headers['fuchsiatally-outcome']
  if (named === 'completed') return 'completed'
  if (named === 'unknown') return 'unknown'
  if (named === 'not_run' && status === 503) return 'notRun'
  return status >= 400 && status !== 500 ? 'rejected' : 'unknown'
}

/** Code and detail of a problem answer. */
function readReason (answer: Answer): string {
  try {
    const problem = JSON.parse(answer.body) as { readonly code?: string, readonly detail?: string }
    return `${problem.code ?? answer.status}: ${problem.detail ?? ''}`
  } catch {
    return String(answer.status)
  }
}

function isOwnAnswer (request: CallerRequest, answer: Answer, body: Buffer): boolean {
  try {
    const parsed = JSON.parse(answer.body) as RunnerAnswer
    return parsed.requestKey === request.requestKey &&
      parsed.bodySha256 === createHash('sha256').update(body).digest('hex') &&
      parsed.filler.length === request.answerBytes
  } catch {
    return false
  }
}
