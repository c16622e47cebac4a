/** Platform client over HTTP: bounded tries, checked answers, and settlement of lost answers. */
import {
  type Clock, createDecoder, type Disposable, type EventLog, type Random, TableRead, type Transaction,
  TransactionReport, VmList
} from '@fuchsiatally/core'
import { err, ok, type Result } from 'neverthrow'
import { CALL_TIMEOUT_MS, MAX_ANSWER_BYTES, MAX_TRIES, MAX_UNSETTLED, TRY_TIMEOUT_MS } from './constants.js'
import { lostAnswerSettled, platformAvailable, platformTryFailed, platformUnavailable, silentConnectionReplaced, transactionOverwritten } from './events.js'
import { createHttpConnections, type HttpAnswer } from './httpCall.js'
import type { PlatformClient, PlatformFailure, TransactionOutcome } from './platformClient.js'
import { computeBackoffMs, createRetryLoop } from './retryLoop.js'
import { listExistingRows, resolveEarlierTry } from './settleTransaction.js'

export interface HttpPlatformClientOptions {
  /** `host:port` of the platform's HTTP interface. */
  readonly address: string
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
  /** Longest time of one try; default 1000. */
  readonly tryTimeoutMs?: number
  /** Longest time of one call with all its tries; default 2500. */
  readonly callTimeoutMs?: number
  /** Most tries of one call; default 4. */
  readonly maxTries?: number
  /** Largest answer that is read; default 16 MiB. */
  readonly maxAnswerBytes?: number
}

/** One call to the platform, for any number of tries. */
interface PlatformCall<T> {
  readonly method: string
  readonly path: string
  readonly contentType?: string
  readonly body?: Uint8Array
  readonly knownEtag?: string | undefined
  /** Statuses that carry a usable answer. */
  readonly statuses: readonly number[]
  readonly decode: (answer: HttpAnswer) => Result<T, PlatformFailure>
  /** Told of each failed try. */
  readonly onTryFailed?: () => void
}

/** The VM list as last read, so that an unchanged one is not sent and decoded again. */
interface HeldVms {
  readonly etag: string
  readonly list: VmList
}

const decodeReport = createDecoder(TransactionReport)
const decodeRead = createDecoder(TableRead)
const decodeVms = createDecoder(VmList)

/** Creates a client; connections are opened as calls need them. */
export function createHttpPlatformClient (options: HttpPlatformClientOptions): PlatformClient & Disposable {
  const { clock, random, events } = options
  const tryTimeoutMs = options.tryTimeoutMs ?? TRY_TIMEOUT_MS
  const maxAnswerBytes = options.maxAnswerBytes ?? MAX_ANSWER_BYTES
  const unsettled = new Set<string>()
  let available = true
  let heldVms: HeldVms | undefined
  const connections = createHttpConnections({
    address: options.address,
    clock,
    onSilent: () => events.record(silentConnectionReplaced, { address: options.address })
  })
  const runTries = createRetryLoop({
    clock,
    callTimeoutMs: options.callTimeoutMs ?? CALL_TIMEOUT_MS,
    maxTries: options.maxTries ?? MAX_TRIES,
    computeBackoffMs: (tries) => computeBackoffMs(tries, random)
  })

  const setAvailable = (value: boolean, failure?: PlatformFailure): void => {
    if (value === available) return
    available = value
    events.record(value ? platformAvailable : platformUnavailable, { address: options.address, kind: failure?.kind, message: failure?.message })
  }

  const sendTry = async <T> (call: PlatformCall<T>, timeoutMs: number): Promise<Result<T, PlatformFailure & { retryAfterMs?: number }>> => {
    const answer = await connections.sendCall({ ...call, timeoutMs, maxAnswerBytes })
    if (answer.isErr()) return err(answer.error)
    const { status, retryAfterMs } = answer.value
    if (status === 429) return err({ kind: 'rateLimited', message: 'status 429', retryAfterMs })
    if (!call.statuses.includes(status)) return err({ kind: 'unavailable', message: `status ${status}`, retryAfterMs })
    return call.decode(answer.value)
  }

  const runCall = async <T> (call: PlatformCall<T>): Promise<Result<T, PlatformFailure>> => {
    const result = await runTries(async (remainingMs) => {
      const outcome = await sendTry(call, Math.min(tryTimeoutMs, remainingMs))
      if (outcome.isErr()) {
        call.onTryFailed?.()
        events.record(platformTryFailed, { path: call.path, kind: outcome.error.kind, message: outcome.error.message })
      }
      return outcome
    })
    setAvailable(result.isOk(), result.isErr() ? result.error : undefined)
    return result
  }

  const addUnsettled = (writeId: string): void => {
    unsettled.add(writeId)
    const oldest = unsettled.values().next()
    if (unsettled.size > MAX_UNSETTLED && oldest.done !== true) unsettled.delete(oldest.value)
  }

  /** Turns a conflict into what the transaction's earlier tries make of it. */
  const settleConflict = (transaction: Transaction, report: TransactionReport): TransactionOutcome => {
    const { revision } = report
    const rows = listExistingRows(report.rows)
    const earlier = resolveEarlierTry(transaction, report.rows)
    if (earlier === 'applied') {
      events.record(lostAnswerSettled, { writeId: transaction.writeId })
      return { kind: 'applied', revision, rows }
    }
    if (earlier === 'overwritten' && unsettled.has(transaction.writeId)) {
      events.record(transactionOverwritten, { writeId: transaction.writeId })
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
      decode: (answer) => decodeJson(answer, decodeReport),
      onTryFailed: () => addUnsettled(transaction.writeId)
    })
    if (result.isErr()) return err(result.error)
    const report = result.value
    const outcome: TransactionOutcome = report.outcome === 'applied'
      ? { kind: 'applied', revision: report.revision, rows: listExistingRows(report.rows) }
      : settleConflict(transaction, report)
    unsettled.delete(transaction.writeId)
    return ok(outcome)
  }

  const decodeVmAnswer = (answer: HttpAnswer): Result<VmList, PlatformFailure> => {
    if (answer.status === 304 && heldVms !== undefined) return ok(heldVms.list)
    const list = decodeJson(answer, decodeVms)
    heldVms = list.isOk() && answer.etag !== undefined ? { etag: answer.etag, list: list.value } : undefined
    return list
  }

  const listVms = (): Promise<Result<VmList, PlatformFailure>> => runCall({
    method: 'GET', path: '/vms', knownEtag: heldVms?.etag, statuses: heldVms === undefined ? [200] : [200, 304], decode: decodeVmAnswer
  })

  return {
    transact,
    read: (query) => runCall({
      method: 'POST', path: '/table/read', body: encodeJson(query), statuses: [200], decode: (answer) => decodeJson(answer, decodeRead)
    }),
    listVms,
    putObject: (key, body) => runCall({
      method: 'PUT', path: formatObjectPath(key), contentType: 'application/octet-stream', body, statuses: [200, 201, 204], decode: () => ok(null)
    }),
    getObject: (key) => runCall({
      method: 'GET', path: formatObjectPath(key), statuses: [200, 404], decode: (answer) => ok(answer.status === 404 ? null : answer.body)
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
  answer: HttpAnswer, decode: (input: unknown) => Result<T, { readonly message: string }>
): Result<T, PlatformFailure> {
  let parsed: unknown
  try {
    parsed = JSON.parse(answer.body.toString('utf8'))
  } catch (error) {
    return err({ kind: 'malformed', message: `answer is no JSON: ${String(error)}` })
  }
  return decode(parsed).mapErr(({ message }) => ({ kind: 'malformed', message }))
}
