/** Types of the entry's HTTP interface: routes, responses and problem details (RFC 9457). */

/**
 * Separates the values of `set-cookie` that are joined into one string. A cookie may contain a comma, but no header value
 * contains a line break. Node returns no other response header as several values.
 */
export const SET_COOKIE_SEPARATOR = '\n'

/** A request whose body was received completely. */
export interface HttpRequest {
  readonly method: string
  /** Path without the query. */
  readonly path: string
  readonly query: URLSearchParams
  /** Headers by lower-case name. */
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal
}

/** A response with either a complete or a streamed body. */
export interface HttpResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array | AsyncIterable<Uint8Array>
}

export interface Route {
  readonly method: string
  /** Segments beginning with `:` are parameters; a final segment `*` matches the rest of the path, which may be empty. */
  readonly pattern: string
  readonly maxBodyBytes: number
  readonly handle: (request: HttpRequest, parameters: Readonly<Record<string, string>>) => Promise<HttpResponse>
}

/** Machine-readable problem codes, stable across versions. */
export type ProblemCode =
  | 'unauthorized' | 'configuration_stale' | 'not_ready' | 'not_found' | 'bad_request' | 'too_large'
  | 'conflict' | 'over_limit' | 'not_run' | 'unknown' | 'platform_unavailable' | 'never_fits' | 'internal'

/** Contents of a problem response. */
export interface Problem {
  readonly status: number
  readonly code: ProblemCode
  readonly title: string
  readonly detail: string
  /** Time after which the caller should retry; sent as `Retry-After` in whole seconds, rounded up. */
  readonly retryAfterMs?: number
  /** Extension members as defined by RFC 9457. */
  readonly members?: Readonly<Record<string, unknown>>
}

export function createJsonResponse (status: number, value: unknown): HttpResponse {
  return { status, headers: { 'content-type': 'application/json' }, body: Buffer.from(JSON.stringify(value)) }
}

/** Creates a response of type `application/problem+json`. */
export function createProblemResponse (problem: Problem): HttpResponse {
  const headers: Record<string, string> = { 'content-type': 'application/problem+json' }
  if (problem.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(problem.retryAfterMs / 1000)))
  }
  const body = {
    type: `urn:fuchsiatally:problem:${problem.code}`,
    title: problem.title,
    status: problem.status,
    code: problem.code,
    detail: problem.detail,
    ...problem.members,
    ...(problem.retryAfterMs === undefined ? {} : { retryAfterMs: problem.retryAfterMs })
  }
  return { status: problem.status, headers, body: Buffer.from(JSON.stringify(body)) }
}
