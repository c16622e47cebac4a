/** Shape of the entry's HTTP interface: routes, answers and problem details (RFC 9457). */

/**
 * Separates several values of `set-cookie` in one field, since a comma may be part of a cookie. A header value never
 * contains it. Node gives no other header of an answer as several values.
 */
export const SET_COOKIE_SEPARATOR = '\n'

/** A request whose body has arrived in full. */
export interface HttpRequest {
  readonly method: string
  /** Path without query. */
  readonly path: string
  readonly query: URLSearchParams
  /** Names in lower case. */
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
  /** Aborted when the caller's connection is gone. */
  readonly signal: AbortSignal
}

/** An answer, either whole or written piece by piece. */
export interface HttpResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array | AsyncIterable<Uint8Array>
}

/** One route of the interface. */
export interface Route {
  readonly method: string
  /** Segments beginning with `:` are parameters; a last segment `*` takes the rest of the path. */
  readonly pattern: string
  readonly maxBodyBytes: number
  readonly handle: (request: HttpRequest, parameters: Readonly<Record<string, string>>) => Promise<HttpResponse>
}

/** Machine-readable kinds of problems, stable across versions. */
export type ProblemCode =
  | 'unauthorized' | 'configuration_stale' | 'not_ready' | 'not_found' | 'bad_request' | 'too_large'
  | 'conflict' | 'over_limit' | 'not_run' | 'unknown' | 'platform_unavailable' | 'never_fits' | 'internal'

/** Contents of a problem answer. */
export interface Problem {
  readonly status: number
  readonly code: ProblemCode
  readonly title: string
  readonly detail: string
  /** When the caller should come back, in milliseconds; sent as `Retry-After` in whole seconds, rounded up. */
  readonly retryAfterMs?: number
  /** Further members of the answer, as RFC 9457 allows. */
  readonly members?: Readonly<Record<string, unknown>>
}

/** Builds an answer with a JSON body. */
export function createJsonResponse (status: number, value: unknown): HttpResponse {
  return { status, headers: { 'content-type': 'application/json' }, body: Buffer.from(JSON.stringify(value)) }
}

/** Builds an answer of type `application/problem+json`. */
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
