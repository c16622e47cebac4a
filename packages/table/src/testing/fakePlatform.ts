/** In-memory platform client over the table model, with fault injection. */
import type { Clock, Random, TableRead, Transaction } from '@fuchsiatally/core'
import { err, ok, type Result } from 'neverthrow'
import type { PlatformClient, PlatformFailure, TransactionOutcome } from '../platformClient.js'
import { listExistingRows, resolveEarlierAttempt } from '../inDoubtTransactions.js'
import { createPlatformFaults, type PlatformFaults } from './platformFaults.js'
import type { TableModel } from './tableModel.js'

export interface FakePlatformOptions {
  readonly model: TableModel
  readonly clock: Clock
  readonly random: Random
  /** Faults that apply to all clients of the model; default none. */
  readonly sharedFaults?: PlatformFaults
  /** Timeout of a call without response, in milliseconds; default 1000. */
  readonly timeoutMs?: number
}

/** Client of one process; `faults` affects only this client. */
export interface FakePlatform extends PlatformClient {
  readonly faults: PlatformFaults
}

const DEFAULT_TIMEOUT_MS = 1000
const SNAPSHOT_INTERVAL_MS = 2000

/** Creates the client of one process. */
export function createFakePlatform (options: FakePlatformOptions): FakePlatform {
  const { model, clock, random } = options
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS
  const ownFaults = createPlatformFaults()
  const sharedFaults = options.sharedFaults ?? createPlatformFaults()
  const inDoubt = new Set<string>()
  let snapshot = model.createSnapshot()
  let snapshotAtMs = clock.nowMs()

  const isInjected = (rate: number): boolean => rate > 0 && random.nextFloat() < rate
  const wait = (ms: number): Promise<void> => ms <= 0
    ? Promise.resolve()
    : new Promise((resolve) => { clock.setTimer(ms, resolve) })

  /** Fails if an injected fault keeps the call from reaching the platform. */
  const checkReachability = async (): Promise<Result<null, PlatformFailure>> => {
    if (ownFaults.silent || sharedFaults.silent) {
      await wait(timeoutMs)
      return err({ kind: 'timeout', message: `no response within ${timeoutMs} ms` })
    }
    if (ownFaults.outage || sharedFaults.outage) return err({ kind: 'unavailable', message: 'connection refused' })
    if (ownFaults.rateLimited || sharedFaults.rateLimited) return err({ kind: 'rateLimited', message: 'status 429' })
    return ok(null)
  }

  const delayMs = (): number => Math.max(ownFaults.delayMs, sharedFaults.delayMs)

  const callPlatform = async <T> (run: () => T): Promise<Result<T, PlatformFailure>> => {
    const reached = await checkReachability()
    if (reached.isErr()) return err(reached.error)
    await wait(delayMs())
    const response = run()
    await wait(delayMs())
    return ok(response)
  }

  const applyTransaction = (transaction: Transaction): TransactionOutcome => {
    const report = model.transact(transaction)
    if (report.outcome === 'applied') return { kind: 'applied', revision: report.revision, rows: listExistingRows(report.rows) }
    const rows = listExistingRows(report.rows)
    const earlier = inDoubt.has(transaction.writeId) ? resolveEarlierAttempt(transaction, report.rows) : 'notApplied'
    if (earlier === 'applied') return { kind: 'applied', revision: report.revision, rows }
    if (earlier === 'overwritten') return { kind: 'conflict', revision: report.revision, rows, mayHaveApplied: true }
    return { kind: 'conflict', revision: report.revision, rows }
  }

  const transact = async (transaction: Transaction): Promise<Result<TransactionOutcome, PlatformFailure>> => {
    const lateMs = Math.max(ownFaults.lateEffectMs, sharedFaults.lateEffectMs)
    if (isInjected(Math.max(ownFaults.lateEffectRate, sharedFaults.lateEffectRate))) {
      inDoubt.add(transaction.writeId)
      clock.setTimer(lateMs, () => { model.transact(transaction) })
      await wait(timeoutMs)
      return err({ kind: 'timeout', message: `no response within ${timeoutMs} ms` })
    }
    const outcome = await callPlatform(() => applyTransaction(transaction))
    if (outcome.isErr()) return outcome
    if (isInjected(Math.max(ownFaults.lostAnswerRate, sharedFaults.lostAnswerRate))) {
      inDoubt.add(transaction.writeId)
      await wait(timeoutMs)
      return err({ kind: 'timeout', message: `no response within ${timeoutMs} ms` })
    }
    inDoubt.delete(transaction.writeId)
    return outcome
  }

  const read = (query: Parameters<PlatformClient['read']>[0]): Promise<Result<TableRead, PlatformFailure>> => {
    return callPlatform(() => {
      const isStale = isInjected(Math.max(ownFaults.staleReadRate, sharedFaults.staleReadRate))
      const response = isStale ? snapshot.read(query) : model.read(query)
      if (clock.nowMs() - snapshotAtMs >= SNAPSHOT_INTERVAL_MS) {
        snapshot = model.createSnapshot()
        snapshotAtMs = clock.nowMs()
      }
      return structuredClone(response)
    })
  }

  return {
    faults: ownFaults,
    transact,
    read,
    listVms: () => callPlatform(() => ({ vms: model.listVms() })),
    putObject: (key, body) => callPlatform(() => {
      model.putObject(key, body)
      return null
    }),
    getObject: (key) => callPlatform(() => model.getObject(key))
  }
}
