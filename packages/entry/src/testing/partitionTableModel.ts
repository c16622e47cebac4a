/** In-memory model of the platform's table, with outages, lost responses and delayed writes. */
import type { Clock } from '@fuchsiatally/core'
import { err, ok, type Result } from 'neverthrow'
import type { CallFailure, PartitionTable, TableTransaction, CommitResult, TableRow } from '../partition/ports.js'
import { createLongPoll } from './longPoll.js'

/** Faults of the calls of one client. */
export interface TableFaults {
  /** No call has an effect. `silent`: calls time out, so their outcome is unknown; `busy`: calls are refused, so the caller knows that nothing was applied; `limited`: the same, by a rate limit. */
  outage: 'silent' | 'busy' | 'limited' | null
  /** Called for each write: `null`, or the response is lost and the write is applied after `afterMs`. */
  loseWrite: (transaction: TableTransaction) => { readonly afterMs: number } | null
  /** Additional delay of range reads by table, in milliseconds. */
  readDelayMs: (table: string) => number
}

/** Table with its clients. */
export interface PartitionTableModel {
  /** Creates the client of one entry, with its own faults. */
  createClient: () => { readonly table: PartitionTable, readonly faults: TableFaults }
  /** Writes a row as an operator or a worker does. */
  writeRow: (table: string, key: string, value: unknown) => void
  /** Writes a row whose value is not produced by the JSON encoder. */
  writeText: (table: string, key: string, text: string) => void
  deleteRow: (table: string, key: string) => void
  readRow: (table: string, part: string, key: string) => TableRow | undefined
  /** Number of reads of a table's changes so far, by all clients. */
  countChangeReads: (table: string) => number
  /** Drops the change history, so that readers of changes have to read everything again. */
  dropHistory: () => void
}

/** Options of the table model. */
export interface PartitionTableModelOptions {
  readonly clock: Clock
  /** Delay of one call, in milliseconds; default 5. */
  readonly callMs?: number
  /** Called for each transaction; returns its duration in its part, which processes transactions one at a time, in milliseconds; default 0. */
  readonly readTransactionMs?: () => number
  /** Timeout of a call without response, in milliseconds; default 1200. */
  readonly timeoutMs?: number
}

/** Limits of the platform's table. */
const MAX_ENTRIES = 100
const MAX_ROW_BYTES = 65_536
const MAX_TRANSACTION_BYTES = 1_000_000
const BASE64_GROWTH = 4 / 3

/** Creates an empty table. */
export function createPartitionTableModel (options: PartitionTableModelOptions): PartitionTableModel {
  const { clock } = options
  const callMs = options.callMs ?? 5
  const timeoutMs = options.timeoutMs ?? 1200
  const rows = new Map<string, TableRow>()
  const poll = createLongPoll(clock)
  /** Time at which each part has processed its queued transactions. */
  const partFreeAtMs = new Map<string, number>()
  let version = 0
  let oldestHistoryVersion = 0
  const changeReads = new Map<string, number>()

  const formatKey = (table: string, part: string, key: string): string => `${table}\n${part}\n${key}`
  const setRow = (table: string, part: string, key: string, value: string, deleted: boolean): void => {
    rows.set(formatKey(table, part, key), { table, part, key, value, version, deleted })
  }
  const wait = (ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })
  const readVersion = (table: string, part: string, key: string): number => {
    const row = rows.get(formatKey(table, part, key))
    return row === undefined || row.deleted ? 0 : row.version
  }

  /** Checks the limits of the platform's table; `null` if the transaction keeps them. */
  const findExcess = ({ checks, writes, deletes }: TableTransaction): string | null => {
    if (checks.length + writes.length + deletes.length > MAX_ENTRIES) return 'too many entries'
    const sizes = writes.map(({ value }) => Buffer.byteLength(value))
    if (sizes.some((bytes) => bytes > MAX_ROW_BYTES)) return 'a row is too large'
    return sizes.reduce((sum, bytes) => sum + bytes * BASE64_GROWTH, 0) > MAX_TRANSACTION_BYTES ? 'the transaction is too large' : null
  }

  const apply = (transaction: TableTransaction): CommitResult => {
    const { part } = transaction
    if (transaction.checks.some((check) => readVersion(check.table, part, check.key) !== check.version)) {
      const current = transaction.checks.map(({ table, key }) => rows.get(formatKey(table, part, key)))
      return { kind: 'conflict', rows: current.filter((row) => row !== undefined) }
    }
    version++
    for (const { table, key, value } of transaction.writes) setRow(table, part, key, value, false)
    for (const { table, key } of transaction.deletes) setRow(table, part, key, '', true)
    poll.notify()
    return { kind: 'applied', version }
  }

  const createClient = () => {
    const faults: TableFaults = { outage: null, loseWrite: () => null, readDelayMs: () => 0 }
    const call = async <T> (run: () => T, callTimeoutMs = timeoutMs): Promise<Result<T, CallFailure>> => {
      await wait(callMs)
      if (faults.outage === 'busy') return err({ kind: 'refused', message: 'busy' })
      if (faults.outage === 'limited') return err({ kind: 'refused', message: 'rate limit', isOverload: true })
      if (faults.outage === 'silent') {
        await wait(callTimeoutMs)
        return err({ kind: 'unknown', message: 'no response' })
      }
      return ok(run())
    }
    /** Queues the transaction in its part; it is applied even if the call times out first. */
    const commitInOrder = async (transaction: TableTransaction, callTimeoutMs: number): Promise<Result<CommitResult, CallFailure>> => {
      const transactionMs = options.readTransactionMs?.() ?? 0
      if (transactionMs === 0 || faults.outage !== null) return await call(() => apply(transaction), callTimeoutMs)
      const doneAtMs = Math.max(partFreeAtMs.get(transaction.part) ?? 0, clock.nowMs()) + transactionMs
      partFreeAtMs.set(transaction.part, doneAtMs)
      const waitMs = doneAtMs - clock.nowMs()
      if (waitMs <= callTimeoutMs) {
        await wait(waitMs)
        return ok(apply(transaction))
      }
      clock.setTimer(waitMs, () => { apply(transaction) })
      await wait(callTimeoutMs)
      return err({ kind: 'unknown', message: 'timed out in the queue' })
    }
    const table: PartitionTable = {
      commit: async (transaction, callTimeoutMs = timeoutMs) => {
        const excess = findExcess(transaction)
        if (excess !== null) return err({ kind: 'unknown', message: `status 400: ${excess}` })
        const lost = faults.outage === null ? faults.loseWrite(transaction) : null
        if (lost === null) return await commitInOrder(transaction, callTimeoutMs)
        clock.setTimer(lost.afterMs, () => { apply(transaction) })
        await wait(callTimeoutMs)
        return err({ kind: 'unknown', message: 'response lost' })
      },
      readRange: async ({ table: name, part, from, to }) => {
        await wait(faults.readDelayMs(name))
        return await call(() => {
          const found = [...rows.values()].filter((row) => row.table === name && row.part === part && !row.deleted &&
          (from === undefined || row.key >= from) && (to === undefined || row.key < to))
          return { rows: found, version }
        })
      },
      readChanges: async (name, after, waitMs) => {
        changeReads.set(name, (changeReads.get(name) ?? 0) + 1)
        const listChanges = () => [...rows.values()].filter((row) => row.table === name && row.version > after).sort((a, b) => a.version - b.version)
        await poll.waitUntil(() => listChanges().length > 0 || faults.outage !== null, waitMs)
        return await call(() => after < oldestHistoryVersion ? { kind: 'historyLost' as const } : { kind: 'changes' as const, rows: listChanges(), version })
      }
    }
    return { table, faults }
  }

  const writeText = (table: string, key: string, text: string): void => {
    version++
    setRow(table, '', key, text, false)
    poll.notify()
  }

  return {
    createClient,
    writeRow: (table, key, value) => writeText(table, key, JSON.stringify(value)),
    writeText,
    deleteRow: (table, key) => {
      version++
      setRow(table, '', key, '', true)
      poll.notify()
    },
    readRow: (table, part, key) => {
      const row = rows.get(formatKey(table, part, key))
      return row?.deleted === true ? undefined : row
    },
    countChangeReads: (table) => changeReads.get(table) ?? 0,
    dropHistory: () => {
      version++
      oldestHistoryVersion = version
    }
  }
}
