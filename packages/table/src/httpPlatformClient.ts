/** Platform client over HTTP: bounded retries, validated responses and resolution of in-doubt transactions. */
import {
  type Clock, createDecoder, type Disposable, type EventLog, type Random, TableRead, type Transaction,
  TransactionReport, VmList
} from '@fuchsiatally/core'
import { err, ok, type Result } from 'neverthrow'
import { CALL_TIMEOUT_MS, MAX_ANSWER_BYTES, MAX_ATTEMPTS, MAX_IN_DOUBT_TRANSACTIONS, ATTEMPT_TIMEOUT_MS } from './constants.js'
import { inDoubtTransactionApplied, platformAvailable, platformAttemptFailed, platformUnavailable, unresponsiveConnectionReplaced, inDoubtTransactionOverwritten } from './events.js'
import { createHttpConnections, type HttpResponse } from './httpConnections.js'
import type { PlatformClient, PlatformFailure, TransactionOutcome } from './platformClient.js'
import { computeBackoffMs, createRetryLoop } from './retryLoop.js'
import { listExistingRows, resolveEarlierAttempt } from './inDoubtTransactions.js'

export interface HttpPlatformClientOptions {
  /** `host:port` of the platform's HTTP interface. */
  readonly address: string
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
  /** Timeout of one attempt, in milliseconds; default 1000. */
  readonly attemptTimeoutMs?: number
  /** Timeout of one call, retries included, in milliseconds; default 2500. */
  readonly callTimeoutMs?: number
  /** Maximum attempts per call; default 4. */
  readonly maxAttempts?: number
  /** Maximum size of a response body; default 16 MiB. */
  readonly maxAnswerBytes?: number
}

/** One call to the platform, independent of the number of attempts. */
interface PlatformCall<T> {
  readonly method: string
  readonly path: string
  readonly contentType?: string
  readonly body?: Uint8Array
  readonly knownEtag?: string | undefined
  /** Status codes whose responses are decoded; any other one is a failed attempt. */
  readonly statuses: readonly number[]
  readonly decode: (response: HttpResponse) => Result<T, PlatformFailure>
  /** Called after each failed attempt. */
  readonly onAttemptFailed?: () => void
}

/** Last VM list with its `ETag`, so that an unchanged list is neither transferred nor decoded again. */
interface CachedVmList {
  readonly etag: string
  readonly list: VmList
}

const decodeReport = createDecoder(TransactionReport)
const decodeRead = createDecoder(TableRead)
const decodeVms = createDecoder(VmList)

/** Creates a client; connections are opened on demand. */
export function createHttpPlatformClient (options: HttpPlatformClientOptions): PlatformClient & Disposable {
  const { clock, random, events } = options
  const attemptTimeoutMs = options.attemptTimeoutMs ?? ATTEMPT_TIMEOUT_MS
  const maxAnswerBytes = options.maxAnswerBytes ?? MAX_ANSWER_BYTES
  const inDoubt = new Set<string>()
  let available = true
  let cachedVms: CachedVmList | undefined
  const connections = createHttpConnections({
    address: options.address,
    clock,
    onUnresponsive: () => events.record(unresponsiveConnectionReplaced, { address: options.address })
  })
  const runAttempts = createRetryLoop({
    clock,
    callTimeoutMs: options.callTimeoutMs ?? CALL_TIMEOUT_MS,
    maxAttempts: options.maxAttempts ?? MAX_ATTEMPTS,
    computeBackoffMs: (attempts) => computeBackoffMs(attempts, random)
  })

  const setAvailable = (value: boolean, failure?: PlatformFailure): void => {
    if (value === available) return
    available = value
    events.record(value ? platformAvailable : platformUnavailable, { address: options.address, kind: failure?.kind, message: failure?.message })
  }

  const sendAttempt = async <T> (call: PlatformCall<T>, timeoutMs: number): Promise<Result<T, PlatformFailure & { retryAfterMs?: number }>> => {
    const response = await connections.sendRequest({ ...call, timeoutMs, maxAnswerBytes })
    if (response.isErr()) return err(response.error)
    const { status, retryAfterMs } = response.value
    if (status === 429) return err({ kind: 'rateLimited', message: 'status 429', retryAfterMs })
    if (!call.statuses.includes(status)) return err({ kind: 'unavailable', message: `status ${status}`, retryAfterMs })
    return call.decode(response.value)
  }

  const runCall = async <T> (call: PlatformCall<T>): Promise<Result<T, PlatformFailure>> => {
    const result = await runAttempts(async (remainingMs) => {
      const outcome = await sendAttempt(call, Math.min(attemptTimeoutMs, remainingMs))
      if (outcome.isErr()) {
        call.onAttemptFailed?.()
        events.record(platformAttemptFailed, { path: call.path, kind: outcome.error.kind, message: outcome.error.message })
      }
      return outcome
    })
    setAvailable(result.isOk(), result.isErr() ? result.error : undefined)
    return result
  }

  const addInDoubt = (writeId: string): void => {
    inDoubt.add(writeId)
    const oldest = inDoubt.values().next()
    if (inDoubt.size > MAX_IN_DOUBT_TRANSACTIONS && oldest.done !== true) inDoubt.delete(oldest.value)
  }

  /** Resolves a conflict: an earlier attempt of the same transaction may have been applied. */
  const resolveConflict = (transaction: Transaction, report: TransactionReport): TransactionOutcome => {
    const { revision } = report
    const rows = listExistingRows(report.rows)
    const earlier = resolveEarlierAttempt(transaction, report.rows)
    if (earlier === 'applied') {
      events.record(inDoubtTransactionApplied, { writeId: transaction.writeId })
      return { kind: 'applied', revision, rows }
    }
    if (earlier === 'overwritten' && inDoubt.has(transaction.writeId)) {
      events.record(inDoubtTransactionOverwritten, { writeId: transaction.writeId })
      return { kind: 'conflict', revision, rows, mayHaveApplied: true }
    }
    return { kind: 'conflict', revision, rows }
  }

  const transact = async (transaction: Transaction): Promise<Result<TransactionOutcome, PlatformFailure>> => {
    const result = await runCall({
      method: 'POST',
      path: '/table/transact',
      body: encodeJson(transaction),
      statuses: [200, 409],
      decode: (response) => decodeJson(response, decodeReport),
      onAttemptFailed: () => addInDoubt(transaction.writeId)
    })
    if (result.isErr()) return err(result.error)
    const report = result.value
    const outcome: TransactionOutcome = report.outcome === 'applied'
      ? { kind: 'applied', revision: report.revision, rows: listExistingRows(report.rows) }
      : resolveConflict(transaction, report)
    inDoubt.delete(transaction.writeId)
    return ok(outcome)
  }

  const decodeVmResponse = (response: HttpResponse): Result<VmList, PlatformFailure> => {
    if (response.status === 304 && cachedVms !== undefined) return ok(cachedVms.list)
    const list = decodeJson(response, decodeVms)
    cachedVms = list.isOk() && response.etag !== undefined ? { etag: response.etag, list: list.value } : undefined
    return list
  }

  const listVms = (): Promise<Result<VmList, PlatformFailure>> => runCall({
    method: 'GET', path: '/vms', knownEtag: cachedVms?.etag, statuses: cachedVms === undefined ? [200] : [200, 304], decode: decodeVmResponse
  })

  return {
    transact,
    read: (query) => runCall({
      method: 'POST', path: '/table/read', body: encodeJson(query), statuses: [200], decode: (response) => decodeJson(response, decodeRead)
    }),
    listVms,
    putObject: (key, body) => runCall({
      method: 'PUT', path: formatObjectPath(key), contentType: 'application/octet-stream', body, statuses: [200, 201, 204], decode: () => ok(null)
    }),
    getObject: (key) => runCall({
      method: 'GET', path: formatObjectPath(key), statuses: [200, 404], decode: (response) => ok(response.status === 404 ? null : response.body)
    }),
    dispose: connections.dispose
  }
}

function formatObjectPath (key: string): string {
  return `/objects/${key.split('/').map(encodeURIComponent).join('/')}`
}

function encodeJson (value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value))
}

function decodeJson<T> (
  response: HttpResponse, decode: (input: unknown) => Result<T, { readonly message: string }>
): Result<T, PlatformFailure> {
  let parsed: unknown
  try {
    parsed = JSON.parse(response.body.toString('utf8'))
  } catch (error) {
    return err({ kind: 'malformed', message: `response is not valid JSON: ${String(error)}` })
  }
  return decode(parsed).mapErr(({ message }) => ({ kind: 'malformed', message }))
}
