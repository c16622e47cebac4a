/** Sends requests to endpoints over HTTP/1.1; only a complete response counts as answered. */
import { request as sendHttpRequest, type ClientRequest, type IncomingMessage } from 'node:http'
import { type Clock, createResponseTimer, type ResponseTimer, type ServiceRequest } from '@fuchsiatally/core'
import { SET_COOKIE_SEPARATOR } from '../http/route.js'
import type { EndpointClient, ExchangeResult } from '../ports.js'
import { CONNECT_TIMEOUT_MS, MAX_IDLE_MS, MAX_IDLE_NON_IDEMPOTENT_MS } from './constants.js'
import { EndpointConnectionPool } from './endpointConnectionPool.js'

/** Dependencies and options of the client. */
export interface HttpEndpointClientOptions {
  readonly clock: Clock
  /** Time limit for opening a connection, in milliseconds. Default: `CONNECT_TIMEOUT_MS`. */
  readonly connectTimeoutMs?: number
}

/** Hop-by-hop response headers, which are not relayed. */
const DROPPED_HEADERS = new Set([
  'connection', 'content-length', 'keep-alive', 'proxy-authenticate', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade',
  // CBOR decoding cannot create it as an own property of an object.
  '__proto__'
])
const REQUEST_HEADER = 'fuchsiatally-request'
const REFUSED_HEADER = 'fuchsiatally-refused'

interface Exchange {
  readonly request: ServiceRequest
  readonly maxBodyBytes: number
  /** Only the first call has an effect. */
  readonly resolve: (result: ExchangeResult) => void
}

function collectHeaders (response: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(response.headers)) {
    if (value === undefined || DROPPED_HEADERS.has(name)) continue
    headers[name] = Array.isArray(value) ? value.join(SET_COOKIE_SEPARATOR) : value
  }
  return headers
}

/** A response that is delimited only by the end of its connection cannot be distinguished from a truncated one. */
function hasBodyFraming (response: IncomingMessage, method: string): boolean {
  const status = response.statusCode ?? 0
  if (method === 'HEAD' || status === 204 || status === 304) return true
  if (response.headers['content-length'] !== undefined) return true
  return response.headers['transfer-encoding']?.toLowerCase().endsWith('chunked') === true
}

/** Returns why a response is invalid by its status line and headers; `undefined` if it is valid. */
function explainInvalidHead (response: IncomingMessage, exchange: Exchange): string | undefined {
  const echoed = response.headers[REQUEST_HEADER]
  if (echoed !== undefined && echoed !== exchange.request.id) return 'the response belongs to another request'
  if (!hasBodyFraming(response, exchange.request.method)) return 'the response has neither Content-Length nor chunked encoding'
  return undefined
}

function resolveComplete (response: IncomingMessage, body: Buffer, exchange: Exchange): void {
  if (response.statusCode === 503 && response.headers[REFUSED_HEADER] === '1') {
    return exchange.resolve({ kind: 'refused', reason: 'the endpoint refused the request' })
  }
  exchange.resolve({
    kind: 'answered',
    outcome: {
      kind: 'completed',
      status: response.statusCode ?? 0,
      headers: collectHeaders(response),
      body: Uint8Array.from(body),
      worker: ''
    }
  })
}

/** Reads the response body up to its size limit and checks that it is complete. */
function readResponse (response: IncomingMessage, exchange: Exchange, timer: ResponseTimer, destroy: () => void): void {
  const chunks: Buffer[] = []
  let bytes = 0
  timer.recordProgress()
  const fail = (reason: string, final: boolean): void => {
    exchange.resolve({ kind: 'broken', reason, ...(final ? { final } : {}) })
    destroy()
  }
  const fault = explainInvalidHead(response, exchange)
  if (fault !== undefined) return fail(fault, false)
  response.on('data', (chunk: Buffer) => {
    timer.recordProgress()
    bytes += chunk.byteLength
    if (bytes > exchange.maxBodyBytes) return fail(`the response body exceeds ${exchange.maxBodyBytes} bytes`, true)
    chunks.push(chunk)
  })
  response.on('error', () => fail('the response was truncated', false))
  response.on('aborted', () => fail('the response was truncated', false))
  response.on('end', () => {
    if (!response.complete) return fail('the response was truncated', false)
    resolveComplete(response, Buffer.concat(chunks), exchange)
  })
}

export function createHttpEndpointClient (options: HttpEndpointClientOptions): EndpointClient {
  const { clock } = options
  const connectTimeoutMs = options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS
  const connectionPool = new EndpointConnectionPool(clock)
  const inFlight = new Map<string, number>()

  const openRequest = (host: string, port: string, request: ServiceRequest): ClientRequest => sendHttpRequest({
    agent: connectionPool,
    host,
    port,
    method: request.method,
    path: request.path,
    headers: {
      ...request.headers,
      [REQUEST_HEADER]: request.id,
      'fuchsiatally-team': request.team,
      'fuchsiatally-remaining-ms': String(Math.max(0, Math.floor(request.remainingMs))),
      'content-length': String(request.body.byteLength)
    }
  })

  /** Tracks whether the connection has been established; before that, nothing can have been sent. */
  const watchConnection = (outgoing: ClientRequest, exchange: Exchange): { mayHaveSent: () => boolean, dispose: () => void } => {
    let connected = false
    const timer = createResponseTimer({
      clock,
      timeoutMs: connectTimeoutMs,
      onTimeout: () => {
        if (connected) return
        exchange.resolve({ kind: 'refused', reason: 'the connection to the endpoint timed out' })
        outgoing.destroy()
      }
    })
    outgoing.on('socket', (socket) => {
      if (!socket.connecting) connected = true
      else socket.once('connect', () => { connected = true })
    })
    return { mayHaveSent: () => connected, dispose: timer.dispose }
  }

  const runExchange = (host: string, port: string, timeoutMs: number, exchange: Exchange): void => {
    const outgoing = openRequest(host, port, exchange.request)
    const destroy = (): void => { outgoing.destroy() }
    const connection = watchConnection(outgoing, exchange)
    const fail = (reason: string): void => {
      exchange.resolve({ kind: connection.mayHaveSent() ? 'broken' : 'refused', reason })
      destroy()
    }
    const timer = createResponseTimer({
      clock,
      timeoutMs,
      onTimeout: (isOwnDelay) => {
        // The cause of the timeout may also affect the idle connections to the same address.
        if (!isOwnDelay) connectionPool.removeIdleConnections(connectionPool.getName({ host, port: Number(port) }), -1)
        fail('the exchange with the endpoint timed out')
      }
    })
    outgoing.on('response', (response) => readResponse(response, exchange, timer, destroy))
    outgoing.on('error', (error) => fail(`the connection to the endpoint failed: ${error.message}`))
    outgoing.on('close', () => {
      timer.dispose()
      connection.dispose()
      exchange.resolve({ kind: connection.mayHaveSent() ? 'broken' : 'refused', reason: 'the connection was closed' })
    })
    outgoing.end(exchange.request.body)
  }

  const sendExchange: EndpointClient['sendExchange'] = async (address, request, timeoutMs, maxBodyBytes, maxConnections) => {
    const inUse = inFlight.get(address) ?? 0
    if (inUse >= maxConnections) return { kind: 'refused', reason: 'all connections of the endpoint are in use' }
    const separator = address.lastIndexOf(':')
    const host = address.slice(0, separator)
    const port = address.slice(separator + 1)
    connectionPool.removeIdleConnections(connectionPool.getName({ host, port: Number(port) }), request.idempotent ? MAX_IDLE_MS : MAX_IDLE_NON_IDEMPOTENT_MS)
    inFlight.set(address, inUse + 1)
    const result = await new Promise<ExchangeResult>((resolve) => {
      try {
        runExchange(host, port, timeoutMs, { request, maxBodyBytes, resolve })
      } catch (error) {
        resolve({ kind: 'refused', reason: `the request cannot be sent: ${String(error)}` })
      }
    })
    const left = (inFlight.get(address) ?? 1) - 1
    if (left === 0) inFlight.delete(address)
    else inFlight.set(address, left)
    return result
  }

  return { sendExchange, dispose: () => connectionPool.destroy() }
}
