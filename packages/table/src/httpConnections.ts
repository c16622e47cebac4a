/** HTTP requests over pooled keep-alive connections, with a timeout and a maximum response size. */
import { Agent, type ClientRequest, type IncomingMessage, request } from 'node:http'
import { type Clock, createResponseTimer, type Disposable, type ResponseTimer } from '@fuchsiatally/core'
import { err, ok, type Result } from 'neverthrow'
import { IDLE_CONNECTION_TIMEOUT_MS, MAX_CONNECTIONS } from './constants.js'
import type { PlatformFailure } from './platformClient.js'

export interface HttpRequest {
  readonly method: string
  readonly path: string
  readonly contentType?: string
  /** `ETag` of the cached response; sent as `If-None-Match`, so that an unchanged resource yields 304 without a body. */
  readonly knownEtag?: string | undefined
  /** Additional headers by lower-case name. */
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: Uint8Array
  readonly timeoutMs: number
  readonly maxAnswerBytes: number
}

export interface HttpResponse {
  readonly status: number
  /** `Retry-After` in milliseconds, 0 if absent. */
  readonly retryAfterMs: number
  readonly etag: string | undefined
  readonly body: Buffer
}

/** Connection pool of one address. */
export interface HttpConnections extends Disposable {
  sendRequest: (httpRequest: HttpRequest) => Promise<Result<HttpResponse, PlatformFailure>>
}

export interface HttpConnectionsOptions {
  /** `host:port` of the platform. */
  readonly address: string
  readonly clock: Clock
  /** Called when a request timed out although the event loop was on time; its connection and the idle ones were closed. */
  readonly onUnresponsive: () => void
  /** Maximum concurrent connections; default `MAX_CONNECTIONS`. */
  readonly maxConnections?: number
  /** Idle timeout of a connection, in milliseconds; default `IDLE_CONNECTION_TIMEOUT_MS`. */
  readonly idleTimeoutMs?: number
}

/** Creates an empty pool; connections are opened on demand. */
export function createHttpConnections (options: HttpConnectionsOptions): HttpConnections {
  const { hostname, port } = new URL(`http://${options.address}`)
  const agent = createAgent(options)

  /** Closes every idle connection: a device on the path, such as a firewall, that dropped the state of one connection may have dropped that of the others. */
  const closeIdleConnections = (): void => {
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy()
    }
  }

  const sendRequest = (httpRequest: HttpRequest): Promise<Result<HttpResponse, PlatformFailure>> => {
    return new Promise((resolve) => {
      const clientRequest = request({
        hostname,
        port,
        agent,
        method: httpRequest.method,
        path: httpRequest.path,
        headers: buildHeaders(httpRequest)
      })
      const finish = (result: Result<HttpResponse, PlatformFailure>): void => {
        timer.dispose()
        resolve(result)
      }
      const timer = createResponseTimer({
        clock: options.clock,
        timeoutMs: httpRequest.timeoutMs,
        onTimeout: (isOwnDelay) => {
          finish(err(createTimeoutFailure(httpRequest.timeoutMs, isOwnDelay)))
          clientRequest.destroy()
          if (isOwnDelay) return
          closeIdleConnections()
          options.onUnresponsive()
        }
      })
      clientRequest.on('error', (error: NodeJS.ErrnoException) => {
        finish(err({ kind: 'unavailable', message: error.message, ...(error.code === 'ECONNREFUSED' ? { notSent: true as const } : {}) }))
      })
      clientRequest.on('response', (response) => collectResponse(clientRequest, response, httpRequest.maxAnswerBytes, timer, finish))
      clientRequest.end(httpRequest.body)
    })
  }

  return { sendRequest, dispose: () => agent.destroy() }
}

function createAgent (options: HttpConnectionsOptions): Agent {
  const maxSockets = options.maxConnections ?? MAX_CONNECTIONS
  return new Agent({ keepAlive: true, maxSockets, maxFreeSockets: maxSockets, timeout: options.idleTimeoutMs ?? IDLE_CONNECTION_TIMEOUT_MS, scheduling: 'fifo' })
}

function buildHeaders (httpRequest: HttpRequest): Record<string, string> {
  if (httpRequest.body === undefined) return httpRequest.knownEtag === undefined ? { ...httpRequest.headers } : { ...httpRequest.headers, 'if-none-match': httpRequest.knownEtag }
  return {
    ...httpRequest.headers,
    'content-type': httpRequest.contentType ?? 'application/json',
    'content-length': String(httpRequest.body.byteLength)
  }
}

function createTimeoutFailure (timeoutMs: number, isOwnDelay: boolean): PlatformFailure {
  if (!isOwnDelay) return { kind: 'timeout', message: `no response within ${timeoutMs} ms` }
  return { kind: 'timeout', message: `no response within ${timeoutMs} ms, and the event loop was late`, isOwnDelay }
}

function collectResponse (
  clientRequest: ClientRequest, response: IncomingMessage, maxBytes: number, timer: ResponseTimer,
  finish: (result: Result<HttpResponse, PlatformFailure>) => void
): void {
  const chunks: Buffer[] = []
  let size = 0
  timer.recordProgress()
  response.on('data', (chunk: Buffer) => {
    timer.recordProgress()
    size += chunk.length
    chunks.push(chunk)
    if (size <= maxBytes) return
    finish(err({ kind: 'malformed', message: `response exceeds ${maxBytes} bytes` }))
    clientRequest.destroy()
  })
  response.on('error', (error) => finish(err({ kind: 'unavailable', message: `response aborted: ${error.message}` })))
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
