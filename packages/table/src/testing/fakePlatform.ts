/** Platform client over the pure model, with faults that a test switches. */
import type { Clock, Random, TableRead, Transaction } from '@fuchsiatally/core'
import { err, ok, type Result } from 'neverthrow'
import type { PlatformClient, PlatformFailure, TransactionOutcome } from '../platformClient.js'
import { listExistingRows, resolveEarlierTry } from '../settleTransaction.js'
import { createPlatformFaults, type PlatformFaults } from './platformFaults.js'
import type { TableModel } from './tableModel.js'

export interface FakePlatformOptions {
  readonly model: TableModel
  readonly clock: Clock
  readonly random: Random
  /** Faults that all clients of the model share; default none. */
  readonly shared?: PlatformFaults
  /** Time after which a call without an answer fails; default 1000. */
  readonly timeoutMs?: number
}

/** A client of one process; `faults` strike this client alone. */
export interface FakePlatform extends PlatformClient {
  readonly faults: PlatformFaults
}

const DEFAULT_TIMEOUT_MS = 1000
const SNAPSHOT_INTERVAL_MS = 2000

/** Creates the client of one process. */
export function createFakePlatform (options: FakePlatformOptions): FakePlatform {
  const { model, clock, random } = options
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS
  const own = createPlatformFaults()
  const shared = options.shared ?? createPlatformFaults()
  const unsettled = new Set<string>()
  let snapshot = model.createSnapshot()
  let snapshotAtMs = clock.nowMs()

  const isLucky = (rate: number): boolean => rate > 0 && random.nextFloat() < rate
  const wait = (ms: number): Promise<void> => ms <= 0
    ? Promise.resolve()
    : new Promise((resolve) => { clock.setTimer(ms, resolve) })

  /** Fails a call that does not reach the platform. */
  const checkReach = async (): Promise<Result<null, PlatformFailure>> => {
    if (own.silent || shared.silent) {
      await wait(timeoutMs)
      return err({ kind: 'timeout', message: `no answer within ${timeoutMs} ms` })
    }
    if (own.outage || shared.outage) return err({ kind: 'unavailable', message: 'connection refused' })
    if (own.rateLimited || shared.rateLimited) return err({ kind: 'rateLimited', message: 'status 429' })
    return ok(null)
  }

  const delayMs = (): number => Math.max(own.delayMs, shared.delayMs)

  const callPlatform = async <T> (run: () => T): Promise<Result<T, PlatformFailure>> => {
    const reached = await checkReach()
    if (reached.isErr()) return err(reached.error)
    await wait(delayMs())
    const answer = run()
    await wait(delayMs())
    return ok(answer)
  }

  const settle = (transaction: Transaction): TransactionOutcome => {
    const report = model.transact(transaction)
    if (report.outcome === 'applied') return { kind: 'applied', revision: report.revision, rows: listExistingRows(report.rows) }
    const rows = listExistingRows(report.rows)
    const earlier = unsettled.has(transaction.writeId) ? resolveEarlierTry(transaction, report.rows) : 'notApplied'
    if (earlier === 'applied') return { kind: 'applied', revision: report.revision, rows }
    if (earlier === 'overwritten') return { kind: 'conflict', revision: report.revision, rows, mayHaveApplied: true }
    return { kind: 'conflict', revision: report.revision, rows }
  }

  const transact = async (transaction: Transaction): Promise<Result<TransactionOutcome, PlatformFailure>> => {
    const lateMs = Math.max(own.lateEffectMs, shared.lateEffectMs)
    if (isLucky(Math.max(own.lateEffectRate, shared.lateEffectRate))) {
      unsettled.add(transaction.writeId)
      clock.setTimer(lateMs, () => { model.transact(transaction) })
      await wait(timeoutMs)
      return err({ kind: 'timeout', message: `no answer within ${timeoutMs} ms` })
    }
    const outcome = await callPlatform(() => settle(transaction))
    if (outcome.isErr()) return outcome
    if (isLucky(Math.max(own.lostAnswerRate, shared.lostAnswerRate))) {
      unsettled.add(transaction.writeId)
      await wait(timeoutMs)
      return err({ kind: 'timeout', message: `no answer within ${timeoutMs} ms` })
    }
    unsettled.delete(transaction.writeId)
    return outcome
  }

  const read = (query: Parameters<PlatformClient['read']>[0]): Promise<Result<TableRead, PlatformFailure>> => {
    return callPlatform(() => {
      const isStale = isLucky(Math.max(own.staleReadRate, shared.staleReadRate))
      const answer = isStale ? snapshot.read(query) : model.read(query)
      if (clock.nowMs() - snapshotAtMs >= SNAPSHOT_INTERVAL_MS) {
        snapshot = model.createSnapshot()
        snapshotAtMs = clock.nowMs()
      }
      return structuredClone(answer)
    })
  }

  return {
    faults: own,
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
