/** Follows the platform's list of workers. */
import { createDisposableStore, type Clock, type Disposable } from '@fuchsiatally/core'
import { createSerialLoop } from '../process/serialLoop.js'
import { WORKER_POLL_PAUSE_MS, WORKER_POLL_WAIT_MS, WRITE_RETRY_MS } from './constants.js'
import type { PartitionTable, ListedWorker, PlatformRows, TableRow } from './ports.js'
import { createTableFeed } from './tableFeed.js'

export interface WorkerDirectoryOptions {
  readonly table: PartitionTable
  readonly rows: PlatformRows
  readonly clock: Clock
  readonly onWorker: (worker: ListedWorker) => void
  /** The row was deleted or no longer describes a worker. */
  readonly onUnlisted: (id: string) => void
}

export function createWorkerDirectory (options: WorkerDirectoryOptions): Disposable {
  const { table, rows, clock } = options
  const disposables = createDisposableStore()
  let isTableReachable = true
  const listed = new Set<string>()

  const applyRow = (row: TableRow): void => {
    const worker = row.deleted ? null : rows.decodeWorker(row)
    if (worker === null) {
      listed.delete(row.key)
      options.onUnlisted(row.key)
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
    applySnapshot: async (present) => {
      const keys = new Set(present.map((row) => row.key))
      for (const id of [...listed]) {
        if (keys.has(id)) continue
        listed.delete(id)
        options.onUnlisted(id)
      }
      for (const row of present) applyRow(row)
      return true
    }
  })

  disposables.add(createSerialLoop({
    clock,
    readPauseMs: () => isTableReachable ? WORKER_POLL_PAUSE_MS : WRITE_RETRY_MS,
    runStep: async () => { isTableReachable = await feed.readUpdates(WORKER_POLL_WAIT_MS) }
  }))
  return { dispose: () => disposables.dispose() }
}
