/** Client for the HTTP API of an entry. */
import { err, ok, type Result } from 'neverthrow'
import { EXIT_CODES, findExitCode, type ExitCode } from './exitCodes.js'

/** Reason for which a command failed. */
export interface CliFailure {
  readonly exitCode: ExitCode
  /** Description of the problem and how to resolve it. */
  readonly message: string
  /** Problem details sent by the entry, if any. */
  readonly problem?: Readonly<Record<string, unknown>>
}

/** A completely received response. */
export interface EntryResponse {
  readonly status: number
  readonly headers: Headers
  readonly body: Uint8Array
}

/** Options of an entry client. */
export interface EntryClientOptions {
  /** `host:port` or URL. */
  readonly address: string
  /** Sent as `Authorization: Bearer`; absent for open queues. */
  readonly key?: string
  /** Team to act for at an open queue, which takes requests without a key. */
  readonly team?: string
  readonly timeoutMs: number
}

/** Body and headers of a request. */
export interface RequestOptions {
  readonly body?: Uint8Array | string
  readonly headers?: Readonly<Record<string, string>>
}

/** Client of one entry. */
export interface EntryClient {
  /** Resolves with the response, whatever its status. */
  sendRequest: (method: string, path: string, request?: RequestOptions) => Promise<Result<EntryResponse, CliFailure>>
  /** Resolves with the JSON of a response with a status below 400; other responses become a failure with an exit code. */
  readJson: (method: string, path: string, value?: unknown) => Promise<Result<JsonResponse, CliFailure>>
  /** Calls `receive` with each line of a streamed response until the stream ends; has no timeout. */
  followLines: (path: string, receive: (line: string) => void) => Promise<Result<null, CliFailure>>
}

/** A response with its decoded JSON body. */
export interface JsonResponse {
  readonly status: number
  readonly value: Readonly<Record<string, unknown>>
}

/** Error codes of connections that were never established, so that nothing was sent. */
const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT'])

export function createEntryClient (options: EntryClientOptions): EntryClient {
  const base = /^https?:\/\//.test(options.address) ? options.address.replace(/\/+$/, '') : `http://${options.address}`
  const defaultHeaders: Record<string, string> = {}
  if (options.key !== undefined) defaultHeaders['authorization'] = `Bearer ${options.key}`
  if (options.team !== undefined) defaultHeaders['fuchsiatally-team'] = options.team

  const callEntry = async (method: string, path: string, request: RequestOptions, signal: AbortSignal | null): Promise<Result<Response, CliFailure>> => {
    try {
      const headers = { ...defaultHeaders, ...request.headers }
      return ok(await fetch(base + path, { method, headers, signal, redirect: 'manual', ...(request.body === undefined ? {} : { body: request.body }) }))
    } catch (error) {
      return err(createTransportFailure(options.address, error))
    }
  }

  const sendRequest: EntryClient['sendRequest'] = async (method, path, request = {}) => {
    const response = await callEntry(method, path, request, AbortSignal.timeout(options.timeoutMs))
    if (response.isErr()) return err(response.error)
    try {
      const body = new Uint8Array(await response.value.arrayBuffer())
      return ok({ status: response.value.status, headers: response.value.headers, body })
    } catch (error) {
      return err(createTransportFailure(options.address, error))
    }
  }

  const readJson: EntryClient['readJson'] = async (method, path, value) => {
    const request = value === undefined ? {} : { body: JSON.stringify(value), headers: { 'content-type': 'application/json' } }
    const response = await sendRequest(method, path, request)
    if (response.isErr()) return err(response.error)
    const decoded = parseObject(response.value.body)
    if (response.value.status >= 400) return err(createProblemFailure(response.value.status, decoded))
    if (decoded === undefined) return err({ exitCode: EXIT_CODES.internal, message: `${options.address} did not respond with JSON; check that it is the address of an entry` })
    return ok({ status: response.value.status, value: decoded })
  }

  const followLines: EntryClient['followLines'] = async (path, receive) => {
    const fetched = await callEntry('GET', path, {}, null)
    if (fetched.isErr()) return err(fetched.error)
    const response = fetched.value
    if (response.status >= 400) return err(createProblemFailure(response.status, parseObject(new Uint8Array(await response.arrayBuffer()))))
    let incompleteLine = ''
    try {
      for await (const chunk of response.body ?? []) {
        const lines = (incompleteLine + Buffer.from(chunk).toString('utf8')).split('\n')
        incompleteLine = lines.pop() ?? ''
        for (const line of lines) receive(line)
      }
    } catch (error) {
      return err(createTransportFailure(options.address, error))
    }
    return ok(null)
  }

  return { sendRequest, readJson, followLines }
}

/** Converts a problem details response (RFC 9457) to a failure. */
export function createProblemFailure (status: number, problem: Readonly<Record<string, unknown>> | undefined): CliFailure {
  if (problem === undefined || typeof problem['code'] !== 'string') {
    return { exitCode: EXIT_CODES.internal, message: `the entry responded with status ${status} without problem details` }
  }
  const { title, detail, retryAfterMs } = problem
  const retryAdvice = typeof retryAfterMs === 'number' ? `; retry in ${Math.ceil(retryAfterMs / 1000)} s` : ''
  return { exitCode: findExitCode(problem['code']), message: `${String(title)}: ${String(detail)}${retryAdvice}`, problem }
}

/** Parses a JSON object; returns `undefined` for anything else. */
export function parseObject (body: Uint8Array): Readonly<Record<string, unknown>> | undefined {
  try {
    const value: unknown = JSON.parse(Buffer.from(body).toString('utf8'))
    return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as Record<string, unknown> : undefined
  } catch {
    return undefined
  }
}

function createTransportFailure (address: string, error: unknown): CliFailure {
  const underlyingError = error instanceof Error && error.cause instanceof Error ? error.cause : error
  const code = underlyingError instanceof Error && 'code' in underlyingError && typeof underlyingError.code === 'string' ? underlyingError.code : ''
  const isTimeout = error instanceof Error && error.name === 'TimeoutError'
  // Errors without a code come from invalid arguments to fetch. Their message may quote a header, so it is not shown.
  if (CONNECT_ERROR_CODES.has(code) || (code === '' && !isTimeout)) {
    const cause = code === '' ? 'the address, or a key in the environment, is malformed' : code
    return { exitCode: EXIT_CODES.unreachable, message: `cannot connect to an entry at ${address} (${cause}); nothing was sent; check --entry and FUCHSIATALLY_ENTRY` }
  }
  const reason = isTimeout ? 'request timed out' : `connection lost (${code})`
  return { exitCode: EXIT_CODES.unknown, message: `${address}: ${reason}; it is unknown whether the request took effect` }
}
