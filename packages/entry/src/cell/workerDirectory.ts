/** Follows the platform's list of workers for one cell. */
import { createDisposableStore, type Clock, type Disposable } from '@fuchsiatally/core'
import { createSerialLoop } from '../process/serialLoop.js'
import { WORKER_WAIT_MS, WRITE_RETRY_MS } from './constants.js'
import type { CellTable, ListedWorker, PlatformRows, TableRow } from './ports.js'

/** Options of the directory. */
export interface WorkerDirectoryOptions {
  readonly table: CellTable
  readonly rows: PlatformRows
  readonly clock: Clock
  readonly onWorker: (worker: ListedWorker) => void
  /** The row is gone, or names no worker any longer. */
  readonly onGone: (id: string) => void
}

/** Starts to follow the list. */
export function createWorkerDirectory (options: WorkerDirectoryOptions): Disposable {
  const { table, rows, clock } = options
  const disposables = createDisposableStore()
  let version: number | null = null
  let isReachable = true
  const listed = new Set<string>()

  const applyRow = (row: TableRow): void => {
    const worker = row.deleted ? null : rows.decodeWorker(row)
    if (worker === null) {
      listed.delete(row.key)
      options.onGone(row.key)
      return
    }
    listed.add(row.key)
    options.onWorker(worker)
  }

  const readAll = async (): Promise<boolean> => {
    const read = await table.readRange({ table: rows.workerTable, part: '' })
    if (read.isErr()) return false
    const present = new Set(read.value.rows.map((row) => row.key))
    for (const id of [...listed]) {
      if (present.has(id)) continue
      listed.delete(id)
      options.onGone(id)
    }
    for (const row of read.value.rows) applyRow(row)
    version = read.value.version
    return true
  }

  const readNews = async (): Promise<boolean> => {
    if (version === null) return await readAll()
    const read = await table.readChanges(rows.workerTable, version, WORKER_WAIT_MS)
    if (read.isErr()) return false
    if (read.value.kind === 'historyLost') return await readAll()
    for (const row of read.value.rows) applyRow(row)
    version = read.value.version
    return true
  }

  disposables.add(createSerialLoop({
    clock,
    readPauseMs: () => isReachable ? 0 : WRITE_RETRY_MS,
    runStep: async () => { isReachable = await readNews() }
  }))
  return { dispose: () => disposables.dispose() }
}
