/** HTTP client of a worker's lease and task interface. */
import { Agent, request as sendHttp } from 'node:http'
import type { IncomingMessage } from 'node:http'
import { CommandReport, createDecoder, createResponseTimer, FullLeaseResponse, UnchangedLeaseResponse } from '@fuchsiatally/core'
import type { Clock, DecodeError, Disposable, EventLog, LeaseReport, ResponseTimer } from '@fuchsiatally/core'
import * as Schema from 'effect/Schema'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { StaleEpoch, WorkerClient, WorkerFailure } from '../ports.js'
import { workerClientReplaced } from './events.js'

/** Default timeout of a call, in milliseconds. */
export const WORKER_CALL_TIMEOUT_MS = 1_000
/** Default maximum size of a response, in bytes. */
export const MAX_REPORT_BYTES = 4 * 1024 * 1024
/** Maximum number of connections to one worker, shared by lease calls and commands. */
const MAX_CONNECTIONS = 10
const HTTP_CONFLICT = 409

/** Options of the worker client. */
export interface HttpWorkerClientOptions {
  readonly clock: Clock
  readonly log: EventLog
  /** Timeout of a call, in milliseconds; default `WORKER_CALL_TIMEOUT_MS`. */
  readonly timeoutMs?: number
  /** Maximum size of a response, in bytes; default `MAX_REPORT_BYTES`. */
  readonly maxBytes?: number
}

interface WorkerResponse {
  readonly status: number
  readonly body: unknown
}

const decodeFull = createDecoder(FullLeaseResponse)
const decodeUnchanged = createDecoder(UnchangedLeaseResponse)
const decodeCommand = createDecoder(CommandReport)
const decodeStale = createDecoder(Schema.Struct({ epoch: Schema.Int }))

/**
 * Creates the client of a worker; after a call times out although the event loop was on time, its connection and all idle ones are closed.
 *
 * @param address `host:port`
 */
export function createHttpWorkerClient (
  address: string, options: HttpWorkerClientOptions
): WorkerClient & Disposable {
  const timeoutMs = options.timeoutMs ?? WORKER_CALL_TIMEOUT_MS
  const maxBytes = options.maxBytes ?? MAX_REPORT_BYTES
  const { host, port } = parseAddress(address)
  const agent = new Agent({ keepAlive: true, maxSockets: MAX_CONNECTIONS, maxFreeSockets: 2 })
  let isUnresponsive = false
  let disposed = false
  let lastFullResponse: FullLeaseResponse | null = null

  /** @param known full response whose revision the call named; supplies the contents that an `unchanged` response omits */
  const parseReport = (body: unknown, known: FullLeaseResponse | null): Result<LeaseReport, WorkerFailure> => {
    if (known !== null && (body as { unchanged?: unknown } | null)?.unchanged === true) {
      return decodeUnchanged(body).mapErr(toMalformed).map(({ unchanged, ...current }) => removeRevision({ ...known, ...current }))
    }
    return decodeFull(body).mapErr(toMalformed).map((response) => {
      lastFullResponse = response.revision === undefined ? null : response
      return removeRevision(response)
    })
  }

  const closeIdleConnections = (): void => {
    if (disposed) return
    // A middlebox such as a NAT may have dropped the state of all idle connections.
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy()
    }
    // Logged once while the worker does not respond, not at each call.
    if (!isUnresponsive) options.log.record(workerClientReplaced, { address })
    isUnresponsive = true
  }
  const callWorker = async (path: string, command: unknown): Promise<Result<WorkerResponse, WorkerFailure>> => {
    if (disposed) return err({ kind: 'unreachable', message: 'worker client is closed' })
    const response = await sendCall({ agent, host, port, path, body: JSON.stringify(command), timeoutMs, maxBytes, clock: options.clock })
    if (response.isOk()) isUnresponsive = false
    else if (response.error.kind === 'timeout' && response.error.isOwnDelay !== true) closeIdleConnections()
    return response
  }
  const sendCommand = async (path: string, command: unknown): Promise<Result<CommandReport, WorkerFailure>> =>
    (await callWorker(path, command)).andThen(({ body }) => decodeCommand(body).mapErr(toMalformed))
  return {
    renewLease: async (command) => {
      const known = lastFullResponse
      const response = await callWorker('/lease', known?.revision === undefined ? command : { ...command, knownRevision: known.revision })
      if (response.isErr()) return err(response.error)
      if (response.value.status === HTTP_CONFLICT) return parseRefusal(response.value.body)
      return parseReport(response.value.body, known)
    },
    startTask: (command) => sendCommand('/start', command),
    stopTask: (command) => sendCommand('/stop', command),
    dispose: () => {
      disposed = true
      agent.destroy()
    }
  }
}

function removeRevision ({ revision, ...report }: FullLeaseResponse): LeaseReport {
  return report
}

interface Call {
  readonly clock: Clock
  readonly agent: Agent
  readonly host: string
  readonly port: number
  readonly path: string
  readonly body: string
  readonly timeoutMs: number
  readonly maxBytes: number
}

function sendCall (call: Call): Promise<Result<WorkerResponse, WorkerFailure>> {
  return new Promise((resolve) => {
    let settled = false
    const request = sendHttp({
      agent: call.agent,
      host: call.host,
      port: call.port,
      path: call.path,
      method: 'POST',
      headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(call.body) }
    })
    const settle = (outcome: Result<WorkerResponse, WorkerFailure>): void => {
      if (settled) return
      settled = true
      timer.dispose()
      if (outcome.isErr()) request.destroy()
      resolve(outcome)
    }
    const timer = createResponseTimer({
      clock: call.clock,
      timeoutMs: call.timeoutMs,
      onTimeout: (isOwnDelay) => {
        settle(err({ kind: 'timeout', message: `no response within ${call.timeoutMs} ms`, ...(isOwnDelay ? { isOwnDelay } : {}) }))
      }
    })
    request.on('error', (error) => settle(fail('unreachable', error.message)))
    request.on('response', (response) => readResponse(response, call.maxBytes, timer, settle))
    request.end(call.body)
  })
}

function readResponse (
  response: IncomingMessage, maxBytes: number, timer: ResponseTimer, settle: (outcome: Result<WorkerResponse, WorkerFailure>) => void
): void {
  const chunks: Buffer[] = []
  let bytes = 0
  timer.recordProgress()
  response.on('error', (error) => settle(fail('unreachable', error.message)))
  response.on('aborted', () => settle(fail('unreachable', 'connection closed before the response was complete')))
  response.on('data', (chunk: Buffer) => {
    timer.recordProgress()
    bytes += chunk.length
    if (bytes > maxBytes) settle(fail('malformed', `response exceeds the limit of ${maxBytes} bytes`))
    else chunks.push(chunk)
  })
  response.on('end', () => settle(parseResponse(response.statusCode ?? 0, Buffer.concat(chunks))))
}

function parseResponse (status: number, bytes: Buffer): Result<WorkerResponse, WorkerFailure> {
  if (status !== 200 && status !== HTTP_CONFLICT) return fail('malformed', `unexpected status ${status}`)
  try {
    return ok({ status, body: JSON.parse(bytes.toString('utf8')) })
  } catch {
    return fail('malformed', 'response is not valid JSON')
  }
}

function parseRefusal (body: unknown): Result<LeaseReport, WorkerFailure | StaleEpoch> {
  const decoded = decodeStale(body)
  if (decoded.isErr()) return err(toMalformed(decoded.error))
  return err({ kind: 'staleEpoch', epoch: decoded.value.epoch })
}

function fail<T> (kind: WorkerFailure['kind'], message: string): Result<T, WorkerFailure> {
  return err({ kind, message })
}

function toMalformed (error: DecodeError): WorkerFailure {
  return { kind: 'malformed', message: error.message }
}

function parseAddress (address: string): { readonly host: string, readonly port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}
