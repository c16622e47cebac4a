/** Follows the platform's list of workers. */
import { createDisposableStore, type Clock, type Disposable, type EventLog } from '@fuchsiatally/core'
import { createSerialLoop } from '../process/serialLoop.js'
import { WORKER_POLL_PAUSE_MS, WORKER_POLL_WAIT_MS, WRITE_RETRY_MS } from './constants.js'
import { createMalformedRows } from './malformedRows.js'
import type { PartitionTable, ListedWorker, PlatformRows, TableRow } from './ports.js'
import { createTableFeed } from './tableFeed.js'

export interface WorkerDirectoryOptions {
  readonly table: PartitionTable
  readonly rows: PlatformRows
  readonly clock: Clock
  readonly events: EventLog
  readonly onWorker: (worker: ListedWorker) => void
  /** The row was deleted or is malformed. */
  readonly onUnlisted: (id: string) => void
}

export function createWorkerDirectory (options: WorkerDirectoryOptions): Disposable {
  const { table, rows, clock } = options
  const disposables = createDisposableStore()
  let isTableReachable = true
  const listed = new Set<string>()
  const malformedRows = createMalformedRows(options)

  const removeRow = (id: string): void => {
    listed.delete(id)
    options.onUnlisted(id)
  }

  const applyRow = (row: TableRow): void => {
    const worker = row.deleted ? null : rows.decodeWorker(row)
    if (worker?.isErr() === true) malformedRows.recordMalformed(row, worker.error)
    else malformedRows.recordSound(row.key)
    if (worker === null || worker.isErr()) {
      removeRow(row.key)
      return
    }
    listed.add(row.key)
    options.onWorker(worker.value)
  }

  const feed = createTableFeed({
    table,
    name: rows.workerTable,
    listParts: () => [''],
    applyRow,
    applySnapshot: async (present) => {
      const keys = new Set(present.map((row) => row.key))
      for (const id of [...listed]) if (!keys.has(id)) removeRow(id)
      malformedRows.forgetMissing(keys)
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
