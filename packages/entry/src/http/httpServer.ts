/** HTTP server of the entry, with limits on bodies and connections and with graceful shutdown. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Readable } from 'node:stream'
import { pipeline } from 'node:stream/promises'
import type { EventLog } from '@fuchsiatally/core'
import { handleListenerErrors } from '../process/listenerErrors.js'
import { readBody, type BodyError } from './body.js'
import { serverListening, routeFailed } from './events.js'
import { createProblemResponse, SET_COOKIE_SEPARATOR, type HttpRequest, type HttpResponse, type Route } from './route.js'
import { createRouter, type RouteMatch } from './router.js'

const HEADERS_TIMEOUT_MS = 10_000
const REQUEST_TIMEOUT_MS = 60_000
const KEEP_ALIVE_TIMEOUT_MS = 30_000

/** Options of the HTTP server. */
export interface HttpServerOptions {
  readonly host: string
  /** 0 picks a free port. */
  readonly port: number
  /** Routes that are served from the start. */
  readonly routes: readonly Route[]
  readonly log: EventLog
  /** Maximum number of open connections; further ones are refused. */
  readonly maxConnections: number
  /** Limit on body sizes in addition to those of the routes. Default: none. */
  readonly maxBodyBytes?: number
  /** Time limit for a caller to send its whole request, in milliseconds. Default: 60000. */
  readonly requestReadMs?: number
}

/** A running HTTP server. */
export interface HttpServer {
  readonly address: string
  /** Sets the routes that are served in addition to the initial ones, replacing those of an earlier call. */
  setExtraRoutes: (routes: readonly Route[]) => void
  /** Number of requests whose response is not sent completely yet. */
  countInFlight: () => number
  /** Closes each connection after its next response, so that few are left for `stop` to close under a request that is on its way. */
  beginClosing: () => void
  /** Accepts no new connections, completes the requests in flight, then closes. */
  stop: () => Promise<void>
}

function createBodyErrorResponse (error: BodyError, maxBytes: number): HttpResponse {
  if (error === 'tooLarge') {
    const detail = `the request body exceeds ${maxBytes} bytes`
    return createProblemResponse({ status: 413, code: 'too_large', title: 'Body too large', detail })
  }
  return createProblemResponse({ status: 400, code: 'bad_request', title: 'Body incomplete', detail: 'the request body was truncated; send it again' })
}

function collectHeaders (message: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(message.headers)) {
    if (value !== undefined) headers[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return headers
}

/** Splits the joined values of `set-cookie` into separate headers. */
function createOutgoingHeaders (headers: HttpResponse['headers']): Record<string, string | string[]> {
  const cookies = headers['set-cookie']
  return cookies === undefined ? { ...headers } : { ...headers, 'set-cookie': cookies.split(SET_COOKIE_SEPARATOR) }
}

async function sendResponse (response: HttpResponse, outgoing: ServerResponse, closing: boolean): Promise<void> {
  const headers = createOutgoingHeaders(response.headers)
  if (closing) headers['connection'] = 'close'
  if (response.body instanceof Uint8Array) {
    outgoing.writeHead(response.status, { ...headers, 'content-length': response.body.length })
    outgoing.end(response.body)
    return
  }
  outgoing.writeHead(response.status, headers)
  outgoing.flushHeaders()
  // The pipeline fails if the caller disconnects, which affects no other request.
  await pipeline(Readable.from(response.body), outgoing).catch(() => {})
}

/** Starts the server. Rejects if the address cannot be bound. */
export async function createHttpServer (options: HttpServerOptions): Promise<HttpServer> {
  let findRoute = createRouter(options.routes)
  let inFlight = 0
  let closing = false

  const runRoute = async (match: RouteMatch, request: HttpRequest): Promise<HttpResponse> => {
    try {
      return await match.route.handle(request, match.parameters)
    } catch (error) {
      options.log.record(routeFailed, { pattern: match.route.pattern, error: String(error) })
      const detail = 'the entry hit an unexpected error; the request may or may not have taken effect'
      return createProblemResponse({ status: 500, code: 'internal', title: 'Internal error', detail })
    }
  }

  const createRequest = (message: IncomingMessage, url: URL, body: Uint8Array, signal: AbortSignal): HttpRequest => ({
    method: message.method ?? 'GET',
    path: url.pathname,
    query: url.searchParams,
    headers: collectHeaders(message),
    body,
    signal
  })

  const buildResponse = async (message: IncomingMessage, signal: AbortSignal): Promise<HttpResponse> => {
    const base = 'http://entry'
    const target = message.url ?? '/'
    if (!URL.canParse(target, base)) {
      return createProblemResponse({ status: 400, code: 'bad_request', title: 'Malformed target', detail: 'the request target is not a URL path' })
    }
    const url = new URL(target, base)
    const matched = findRoute(message.method ?? 'GET', url.pathname)
    if (matched.kind === 'notFound') {
      return createProblemResponse({ status: 404, code: 'not_found', title: 'No such route', detail: `${url.pathname} is not a route; see the README for the list` })
    }
    if (matched.kind === 'wrongMethod') {
      const detail = `${url.pathname} accepts ${matched.allowed.join(', ')}`
      return createProblemResponse({ status: 405, code: 'bad_request', title: 'Method not allowed', detail })
    }
    const maxBytes = Math.min(matched.match.route.maxBodyBytes, options.maxBodyBytes ?? Infinity)
    const body = await readBody(message, maxBytes)
    if (body.isErr()) return createBodyErrorResponse(body.error, maxBytes)
    return await runRoute(matched.match, createRequest(message, url, body.value, signal))
  }

  const handleMessage = async (message: IncomingMessage, outgoing: ServerResponse): Promise<void> => {
    const disconnected = new AbortController()
    outgoing.on('close', () => { if (!outgoing.writableFinished) disconnected.abort() })
    inFlight += 1
    try {
      const response = await buildResponse(message, disconnected.signal)
      if (!disconnected.signal.aborted) await sendResponse(response, outgoing, closing || !message.complete)
    } finally {
      inFlight -= 1
    }
  }

  const server = createServer({
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: options.requestReadMs ?? REQUEST_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS
  }, (message, outgoing) => { handleMessage(message, outgoing).catch(() => { outgoing.destroy() }) })
  server.maxConnections = options.maxConnections
  await bindServer(server, options.host, options.port)
  const { port } = server.address() as AddressInfo
  const address = `${options.host}:${port}`
  handleListenerErrors(server, options.log, address)
  options.log.record(serverListening, { address })

  return {
    address,
    setExtraRoutes: (routes) => { findRoute = createRouter([...options.routes, ...routes]) },
    countInFlight: () => inFlight,
    beginClosing: () => { closing = true },
    stop: () => {
      closing = true
      server.closeIdleConnections()
      return new Promise((resolve) => { server.close(() => { resolve() }) })
    }
  }
}

function bindServer (server: Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.removeListener('error', reject)
      resolve()
    })
  })
}
