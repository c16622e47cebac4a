/** One HTTP exchange with the platform: bounded in time and size, over kept connections. */
import { Agent, type ClientRequest, type IncomingMessage, request } from 'node:http'
import type { Clock, Disposable } from '@fuchsiatally/core'
import { err, ok, type Result } from 'neverthrow'
import { IDLE_CONNECTION_MS, MAX_CONNECTIONS } from './constants.js'
import type { PlatformFailure } from './platformClient.js'

export interface HttpCall {
  readonly method: string
  readonly path: string
  readonly contentType?: string
  /** `ETag` of the answer that the caller holds; an unchanged one is answered by 304 without a body. */
  readonly knownEtag?: string | undefined
  /** Further headers, by name in lower case. */
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: Uint8Array
  readonly timeoutMs: number
  readonly maxAnswerBytes: number
}

export interface HttpAnswer {
  readonly status: number
  /** `Retry-After` in milliseconds, 0 if absent. */
  readonly retryAfterMs: number
  readonly etag: string | undefined
  readonly body: Buffer
}

/** Connections to one address. */
export interface HttpConnections extends Disposable {
  sendCall: (call: HttpCall) => Promise<Result<HttpAnswer, PlatformFailure>>
}

export interface HttpConnectionsOptions {
  /** `host:port` of the platform. */
  readonly address: string
  readonly clock: Clock
  /** Told that a connection was silent and has been replaced. */
  readonly onSilent: () => void
  /** Connections at once; default `MAX_CONNECTIONS`. */
  readonly maxConnections?: number
  /** Time after which an idle connection is closed, in milliseconds; default `IDLE_CONNECTION_MS`. */
  readonly idleMs?: number
}

/** Creates a pool without connections; they are opened as calls need them. */
export function createHttpConnections (options: HttpConnectionsOptions): HttpConnections {
  const { hostname, port } = new URL(`http://${options.address}`)
  const agent = createAgent(options)

  /** Closes every idle connection: whatever lost track of one may have lost the others. */
  const closeIdle = (): void => {
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy()
    }
  }

  const sendCall = (call: HttpCall): Promise<Result<HttpAnswer, PlatformFailure>> => {
    return new Promise((resolve) => {
      const sent = request({
        hostname,
        port,
        agent,
        method: call.method,
        path: call.path,
        headers: buildHeaders(call)
      })
      const finish = (result: Result<HttpAnswer, PlatformFailure>): void => {
        timer.dispose()
        resolve(result)
      }
      const timer = options.clock.setTimer(call.timeoutMs, () => {
        finish(err({ kind: 'timeout', message: `no answer within ${call.timeoutMs} ms` }))
        sent.destroy()
        closeIdle()
        options.onSilent()
      })
      sent.on('error', (error: NodeJS.ErrnoException) => {
        finish(err({ kind: 'unavailable', message: error.message, ...(error.code === 'ECONNREFUSED' ? { notSent: true as const } : {}) }))
      })
      sent.on('response', (response) => collectAnswer(sent, response, call.maxAnswerBytes, finish))
      sent.end(call.body)
    })
  }

  return { sendCall, dispose: () => agent.destroy() }
}

function createAgent (options: HttpConnectionsOptions): Agent {
  const maxSockets = options.maxConnections ?? MAX_CONNECTIONS
  return new Agent({ keepAlive: true, maxSockets, maxFreeSockets: maxSockets, timeout: options.idleMs ?? IDLE_CONNECTION_MS, scheduling: 'fifo' })
}

function buildHeaders (call: HttpCall): Record<string, string> {
  if (call.body === undefined) return call.knownEtag === undefined ? { ...call.headers } : { ...call.headers, 'if-none-match': call.knownEtag }
  return {
    ...call.headers,
    'content-type': call.contentType ?? 'application/json',
    'content-length': String(call.body.byteLength)
  }
}

function collectAnswer (
  sent: ClientRequest, response: IncomingMessage, maxBytes: number,
  finish: (result: Result<HttpAnswer, PlatformFailure>) => void
): void {
  const chunks: Buffer[] = []
  let size = 0
  response.on('data', (chunk: Buffer) => {
    size += chunk.length
    chunks.push(chunk)
    if (size <= maxBytes) return
    finish(err({ kind: 'malformed', message: `answer exceeds ${maxBytes} bytes` }))
    sent.destroy()
  })
  response.on('error', (error) => finish(err({ kind: 'unavailable', message: `answer broke off: ${error.message}` })))
  response.on('end', () => finish(ok({
    status: response.statusCode ?? 0,
    retryAfterMs: parseRetryAfter(response.headers['retry-after']),
    etag: response.headers.etag,
    body: Buffer.concat(chunks)
  })))
}

function parseRetryAfter (header: string | undefined): number {
  const seconds = Number(header ?? 0)
  return Number.isFinite(seconds) && seconds > 0 ? seconds * 1000 : 0
}
