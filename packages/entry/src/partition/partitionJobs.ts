/** Brings the accepted jobs of a cell into its planner: all of them first, then what is new. */
import { ACCEPTED_STATE, createDisposableStore, isFinal, type PartitionPlanner, type Clock, type Disposable, type EventLog, type JobStateRecord, type StepJob } from '@fuchsiatally/core'
import { createSerialLoop } from '../process/serialLoop.js'
import { JOB_READ_MS, WRITE_RETRY_MS } from './constants.js'
import { partitionLoaded } from './events.js'
import { CANCEL_SUFFIX, JOB_TABLE, listJobParts, parseJobRow, parseStateRow, STATE_TABLE } from './holderRow.js'
import type { PartitionTable, TableRow } from './ports.js'
import { createTableFeed } from './tableFeed.js'

/** Options of the reader. */
export interface PartitionJobsOptions {
  readonly cell: string
  readonly table: PartitionTable
  readonly planner: PartitionPlanner
  readonly clock: Clock
  readonly events: EventLog
  readonly onLoaded: () => void
  readonly onNews: () => void
}

/** Reader of a cell's jobs. */
export interface PartitionJobs extends Disposable {
  isLoaded: () => boolean
  /** A row that its writer tells of directly. */
  acceptNews: (key: string, value: string) => void
}

/** Starts to read. */
export function createPartitionJobs (options: PartitionJobsOptions): PartitionJobs {
  const { cell, table, planner, clock, events } = options
  const disposables = createDisposableStore()
  const jobParts = listJobParts(cell)
  let loaded = false
  let isReachable = true
  /** Cancellations that were seen before their job. */
  const cancelledEarly = new Set<string>()

  const cancel = (id: string): void => {
    if (planner.hasJob(id)) planner.cancelJob(id, clock.wallMs())
    else cancelledEarly.add(id)
  }

  const addJob = (id: string, spec: StepJob): void => {
    if (planner.hasJob(id)) return
    planner.addJob(id, spec, ACCEPTED_STATE, clock.nowMs())
    if (cancelledEarly.delete(id)) cancel(id)
  }

  const applyRow = (row: TableRow): void => {
    if (row.deleted) return
    if (row.key.endsWith(CANCEL_SUFFIX)) {
      cancel(row.key.slice(0, -CANCEL_SUFFIX.length))
      return
    }
    const spec = parseJobRow(row, events)
    if (spec !== null) addJob(row.key, spec)
  }

  /** States whose jobs an earlier term had deleted already: they are forgotten in their turn. */
  const addLeftStates = (rows: Iterable<TableRow>): void => {
    for (const row of rows) {
      const state = parseStateRow(row, events)
      if (state !== null && isFinal(state.phase) && !planner.hasJob(row.key)) planner.addEndedJob(row.key, state.phase, state.endedAtMs)
    }
  }

  const readStates = () => table.readRange({ table: STATE_TABLE, part: cell })
  /** Nobody but this term writes states: they may be read while the jobs are. */
  let states: ReturnType<typeof readStates> | null = readStates()

  const applyWhole = async (jobs: readonly TableRow[]): Promise<boolean> => {
    const read = await (states ?? readStates())
    states = null
    if (read.isErr()) return false
    const records = new Map(read.value.rows.map((row) => [row.key, row]))
    const cancelled: string[] = []
    const open: { readonly id: string, readonly spec: StepJob, readonly state: JobStateRecord }[] = []
    for (const row of jobs) {
      if (row.key.endsWith(CANCEL_SUFFIX)) {
        cancelled.push(row.key.slice(0, -CANCEL_SUFFIX.length))
        continue
      }
      if (planner.hasJob(row.key)) continue
      const stateRow = records.get(row.key)
      records.delete(row.key)
      const state = stateRow === undefined ? ACCEPTED_STATE : parseStateRow(stateRow, events)
      if (state === null) continue
      if (isFinal(state.phase) && state.occurrences.length === 0) {
        planner.addEndedJob(row.key, state.phase, state.endedAtMs)
        continue
      }
      const spec = parseJobRow(row, events)
      if (spec !== null) open.push({ id: row.key, spec, state })
    }
    addLeftStates(records.values())
    // The planner tells what a team sends beyond its share by the order of acceptance.
    open.sort((a, b) => a.spec.acceptedAtMs - b.spec.acceptedAtMs)
    for (const { id, spec, state } of open) planner.addJob(id, spec, state, clock.nowMs())
    for (const id of cancelled) cancel(id)
    if (!loaded) {
      loaded = true
      events.record(partitionLoaded, { cell, jobs: jobs.length })
      options.onLoaded()
    }
    return true
  }

  const feed = createTableFeed({
    table,
    name: JOB_TABLE,
    listParts: () => jobParts,
    applyRow: (row) => {
      applyRow(row)
      options.onNews()
    },
    applyWhole
  })

  disposables.add(createSerialLoop({
    clock,
    readPauseMs: () => isReachable && loaded ? JOB_READ_MS : WRITE_RETRY_MS,
    runStep: async () => { isReachable = await feed.readNews(0) }
  }))

  return {
    isLoaded: () => loaded,
    acceptNews: (key, value) => {
      if (!loaded) return
      applyRow({ table: JOB_TABLE, part: '', key, value, version: 0, deleted: false })
      options.onNews()
    },
    dispose: () => disposables.dispose()
  }
}
