/** Follows the platform's list of workers for one cell. */
import { createDisposableStore, type Clock, type Disposable } from '@fuchsiatally/core'
import { createSerialLoop } from '../process/serialLoop.js'
import { WORKER_READ_MS, WORKER_WAIT_MS, WRITE_RETRY_MS } from './constants.js'
import type { PartitionTable, ListedWorker, PlatformRows, TableRow } from './ports.js'
import { createTableFeed } from './tableFeed.js'

/** Options of the directory. */
export interface WorkerDirectoryOptions {
  readonly table: PartitionTable
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

  const feed = createTableFeed({
    table,
    name: rows.workerTable,
    listParts: () => [''],
    applyRow,
    applyWhole: async (present) => {
      const keys = new Set(present.map((row) => row.key))
      for (const id of [...listed]) {
        if (keys.has(id)) continue
        listed.delete(id)
        options.onGone(id)
      }
      for (const row of present) applyRow(row)
      return true
    }
  })

  disposables.add(createSerialLoop({
    clock,
    readPauseMs: () => isReachable ? WORKER_READ_MS : WRITE_RETRY_MS,
    runStep: async () => { isReachable = await feed.readNews(WORKER_WAIT_MS) }
  }))
  return { dispose: () => disposables.dispose() }
}
