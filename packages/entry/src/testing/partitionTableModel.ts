/** The platform's table in memory, with outages, lost answers and writes that land late. */
import type { Clock } from '@fuchsiatally/core'
import { err, ok, type Result } from 'neverthrow'
import type { CallFailure, PartitionTable, TableTransaction, CommitResult, TableRow } from '../partition/ports.js'
import { createLongPoll } from './longPoll.js'

/** What goes wrong with the next calls of one client. */
export interface TableFaults {
  /** `silent`: no answer; `busy`: refused for certain. */
  outage: 'silent' | 'busy' | null
  /** Decides for each write whether it is carried out but not answered, and how late. */
  loseWrite: () => { readonly afterMs: number } | null
  /** Further time that reading whole parts of a table takes, in milliseconds. */
  readDelayMs: (table: string) => number
}

/** The table and its clients. */
export interface PartitionTableModel {
  /** Creates the client of one entry with faults of its own. */
  createClient: () => { readonly table: PartitionTable, readonly faults: TableFaults }
  /** Writes as the operator or a worker does. */
  writeRow: (table: string, key: string, value: unknown) => void
  deleteRow: (table: string, key: string) => void
  readRow: (table: string, part: string, key: string) => TableRow | undefined
  /** Forgets which rows changed when. */
  dropHistory: () => void
}

/** Options of the model. */
export interface PartitionTableModelOptions {
  readonly clock: Clock
  /** Time of one call, in milliseconds; default 5. */
  readonly callMs?: number
  /** Time of one transaction in its part, which takes one after the other, in milliseconds; default 0. */
  readonly readPartMs?: () => number
  /** Time after which a silent call fails, in milliseconds; default 1200. */
  readonly timeoutMs?: number
}

/** Creates an empty table. */
export function createPartitionTableModel (options: PartitionTableModelOptions): PartitionTableModel {
  const { clock } = options
  const callMs = options.callMs ?? 5
  const timeoutMs = options.timeoutMs ?? 1200
  const rows = new Map<string, TableRow>()
  const poll = createLongPoll(clock)
  /** Time at which each part has done what it took so far. */
  const freeAtMs = new Map<string, number>()
  let version = 0
  let historyFrom = 0

  const formatKey = (table: string, part: string, key: string): string => `${table}\n${part}\n${key}`
  const setRow = (table: string, part: string, key: string, value: string, deleted: boolean): void => {
    rows.set(formatKey(table, part, key), { table, part, key, value, version, deleted })
  }
  const wait = (ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })
  const readVersion = (table: string, part: string, key: string): number => {
    const row = rows.get(formatKey(table, part, key))
    return row === undefined || row.deleted ? 0 : row.version
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
    poll.wake()
    return { kind: 'applied', version }
  }

  const createClient = () => {
    const faults: TableFaults = { outage: null, loseWrite: () => null, readDelayMs: () => 0 }
    const call = async <T> (run: () => T, limitMs = timeoutMs): Promise<Result<T, CallFailure>> => {
      await wait(callMs)
      if (faults.outage === 'busy') return err({ kind: 'refused', message: 'busy' })
      if (faults.outage === 'silent') {
        await wait(limitMs)
        return err({ kind: 'unknown', message: 'silent' })
      }
      return ok(run())
    }
    /** Waits for the part's turn; what is given up lands all the same. */
    const takeTurn = async (transaction: TableTransaction, limitMs: number): Promise<Result<CommitResult, CallFailure>> => {
      const partMs = options.readPartMs?.() ?? 0
      if (partMs === 0 || faults.outage !== null) return await call(() => apply(transaction), limitMs)
      const doneAtMs = Math.max(freeAtMs.get(transaction.part) ?? 0, clock.nowMs()) + partMs
      freeAtMs.set(transaction.part, doneAtMs)
      const waitMs = doneAtMs - clock.nowMs()
      if (waitMs <= limitMs) {
        await wait(waitMs)
        return ok(apply(transaction))
      }
      clock.setTimer(waitMs, () => { apply(transaction) })
      await wait(limitMs)
      return err({ kind: 'unknown', message: 'too slow' })
    }
    const table: PartitionTable = {
      commit: async (transaction, limitMs = timeoutMs) => {
        const lost = faults.outage === null ? faults.loseWrite() : null
        if (lost === null) return await takeTurn(transaction, limitMs)
        clock.setTimer(lost.afterMs, () => { apply(transaction) })
        await wait(limitMs)
        return err({ kind: 'unknown', message: 'lost' })
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
        const listChanges = () => [...rows.values()].filter((row) => row.table === name && row.version > after).sort((a, b) => a.version - b.version)
        await poll.waitUntil(() => listChanges().length > 0 || faults.outage !== null, waitMs)
        return await call(() => after < historyFrom ? { kind: 'historyLost' as const } : { kind: 'changes' as const, rows: listChanges(), version })
      }
    }
    return { table, faults }
  }

  return {
    createClient,
    writeRow: (table, key, value) => {
      version++
      setRow(table, '', key, JSON.stringify(value), false)
      poll.wake()
    },
    deleteRow: (table, key) => {
      version++
      setRow(table, '', key, '', true)
      poll.wake()
    },
    readRow: (table, part, key) => {
      const row = rows.get(formatKey(table, part, key))
      return row?.deleted === true ? undefined : row
    },
    dropHistory: () => {
      version++
      historyFrom = version
    }
  }
}
