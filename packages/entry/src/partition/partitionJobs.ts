/** Feeds the accepted jobs of a partition to its planner: first a snapshot, then updates. */
import { ACCEPTED_STATE, createDisposableStore, isFinal, type PartitionPlanner, type Clock, type Disposable, type EventLog, type JobStateRecord, type StepJob } from '@fuchsiatally/core'
import { createSerialLoop } from '../process/serialLoop.js'
import { JOB_POLL_INTERVAL_MS, WRITE_RETRY_MS } from './constants.js'
import { partitionLoaded } from './events.js'
import { CANCEL_SUFFIX, computeJobTable, CRASH_TABLE, JOB_TABLE, listEarlierJobParts, listJobParts, OVERFLOW_TABLE, parseCrashRow, parseJobRow, STATE_TABLE, WITHDRAWN_VALUE } from './partitionRows.js'
import type { PartitionTable, TableRow } from './ports.js'
import { parseStateRow, type StateRow, type StateRows } from './stateRows.js'
import { createTableFeed } from './tableFeed.js'

export interface PartitionJobsOptions {
  readonly partition: string
  readonly table: PartitionTable
  readonly planner: PartitionPlanner
  readonly stateRows: StateRows
  readonly clock: Clock
  readonly events: EventLog
  readonly onLoaded: () => void
  /** The table has rows of crashed workers for jobs that it no longer has. */
  readonly onOrphanedCrashes: (jobs: readonly string[]) => void
  /** The rows of jobs that were cancelled before they were stored, here with their versions, have been kept for as long as states are. */
  readonly onWithdrawnExpired: (jobs: ReadonlyMap<string, number>) => void
  /** Time for which they are kept, in milliseconds: far longer than a write of unknown outcome can be delayed. */
  readonly statusMs: number
  readonly onChange: () => void
}

/** Feed of a partition's jobs. */
export interface PartitionJobs extends Disposable {
  isLoaded: () => boolean
  /** Whether an earlier version stored the job. */
  isOfEarlierVersion: (job: string) => boolean
  /** Applies a row that its writer pushed directly. */
  applyPushedRow: (key: string, value: string) => void
}

export function createPartitionJobs (options: PartitionJobsOptions): PartitionJobs {
  const { partition, table, planner, stateRows, clock, events } = options
  const disposables = createDisposableStore()
  const jobTable = computeJobTable(partition)
  const jobParts = listJobParts()
  let loaded = false
  let isTableReachable = true
  /** Cancellations that were read before their job. */
  const earlyCancellations = new Set<string>()
  const earlierJobs = new Set<string>()
  /** Withdrawn jobs, with the time at which this term read of them. */
  const withdrawn = new Map<string, { readonly version: number, readonly readAtMs: number }>()
  const cancel = (id: string): void => {
    if (planner.hasJob(id)) planner.cancelJob(id, clock.wallMs())
    else earlyCancellations.add(id)
  }

  const applyCancellation = ({ key, value, version }: TableRow): void => {
    const id = key.slice(0, -CANCEL_SUFFIX.length)
    if (value !== WITHDRAWN_VALUE) cancel(id)
    else if (withdrawn.get(id)?.version !== version) withdrawn.set(id, { version, readAtMs: clock.nowMs() })
  }

  const removeExpiredWithdrawals = (): void => {
    const expired = new Map<string, number>()
    for (const [id, { version, readAtMs }] of withdrawn) if (clock.nowMs() - readAtMs >= options.statusMs) expired.set(id, version)
    for (const id of expired.keys()) withdrawn.delete(id)
    if (expired.size > 0) options.onWithdrawnExpired(expired)
  }

  const addJob = (id: string, spec: StepJob): void => {
    if (planner.hasJob(id)) return
    planner.addJob(id, spec, ACCEPTED_STATE, clock.nowMs())
    if (earlyCancellations.delete(id)) cancel(id)
  }

  const applyRow = (row: TableRow): void => {
    if (row.deleted) return
    if (row.key.endsWith(CANCEL_SUFFIX)) {
      applyCancellation(row)
      return
    }
    const spec = parseJobRow(row, events)
    if (spec !== null) addJob(row.key, spec)
  }

  /** Adds states whose job rows were already deleted by an earlier term, so that they are deleted after their retention as well. */
  const addOrphanedStates = (states: ReadonlyMap<string, StateRow | null>, jobs: ReadonlySet<string>): void => {
    for (const [id, state] of states) {
      if (state !== null && isFinal(state.phase) && !jobs.has(id) && !planner.hasJob(id)) planner.addEndedJob(id, state.phase, state.endedAtMs)
    }
  }

  const readStates = () => Promise.all([table.readRange({ table: STATE_TABLE, part: partition }), table.readRange({ table: CRASH_TABLE, part: partition })])
  /** States are read concurrently with the jobs, because only this term writes them. */
  let pendingStates: ReturnType<typeof readStates> | null = readStates()

  /** Reads the overflow rows of the states that have any; `null` if the table does not respond. */
  const readOverflow = async (states: ReadonlyMap<string, StateRow | null>): Promise<ReadonlyMap<string, TableRow> | null> => {
    if (![...states.values()].some((state) => state?.overflow !== undefined)) return new Map()
    const read = await table.readRange({ table: OVERFLOW_TABLE, part: partition })
    return read.isErr() ? null : new Map(read.value.rows.map((row) => [row.key, row]))
  }

  /** Reads the jobs that entries of earlier versions stored; `null` if the table does not respond. */
  const readEarlierJobs = async (): Promise<TableRow[] | null> => {
    const reads = await Promise.all(listEarlierJobParts(partition).map((part) => table.readRange({ table: JOB_TABLE, part })))
    const rows: TableRow[] = []
    for (const read of reads) {
      if (read.isErr()) return null
      rows.push(...read.value.rows)
    }
    return rows
  }
  let pendingEarlierJobs: ReturnType<typeof readEarlierJobs> | null = readEarlierJobs()

  const applySnapshot = async (rows: readonly TableRow[]): Promise<boolean> => {
    const earlierRows = loaded ? [] : await (pendingEarlierJobs ?? readEarlierJobs())
    pendingEarlierJobs = null
    if (earlierRows === null) return false
    const jobs = [...rows, ...earlierRows]
    const [read, readCrashes] = await (pendingStates ?? readStates())
    pendingStates = null
    if (read.isErr() || readCrashes.isErr()) return false
    const states = new Map<string, StateRow | null>()
    for (const row of read.value.rows) if (!planner.hasJob(row.key)) states.set(row.key, parseStateRow(row, events))
    const overflow = await readOverflow(states)
    if (overflow === null) return false
    const crashRows = new Map(readCrashes.value.rows.map((row) => [row.key, row]))
    const cancellations: TableRow[] = []
    const unfinished = new Map<string, { readonly spec: StepJob, readonly state: JobStateRecord }>()
    for (const row of jobs) {
      if (row.key.endsWith(CANCEL_SUFFIX)) {
        cancellations.push(row)
        continue
      }
      if (row.table === JOB_TABLE) earlierJobs.add(row.key)
      if (planner.hasJob(row.key) || unfinished.has(row.key)) continue
      const stateRow = states.get(row.key)
      if (stateRow === null) continue
      if (stateRow !== undefined && isFinal(stateRow.phase) && stateRow.occurrences.length === 0 && stateRow.overflow === undefined) {
        planner.addEndedJob(row.key, stateRow.phase, stateRow.endedAtMs)
        continue
      }
      const state = stateRow === undefined ? ACCEPTED_STATE : stateRows.restoreState(row.key, stateRow, overflow)
      const spec = state === null ? null : parseJobRow(row, events)
      if (state !== null && spec !== null) unfinished.set(row.key, { spec, state })
    }
    addOrphanedStates(states, new Set(jobs.map(({ key }) => key)))
    // The planner needs the order of acceptance to determine which submissions of a team exceed its rate.
    const inOrder = [...unfinished].sort(([, a], [, b]) => a.spec.acceptedAtMs - b.spec.acceptedAtMs)
    for (const [id, { spec, state }] of inOrder) {
      const crashRow = crashRows.get(id)
      planner.addJob(id, spec, state, clock.nowMs(), (crashRow === undefined ? null : parseCrashRow(crashRow, events)) ?? [])
    }
    // Their jobs were deleted by an entry of a version that doesn't know these rows.
    const known = new Set([...jobs, ...read.value.rows].map(({ key }) => key))
    const orphaned = [...crashRows.keys()].filter((id) => !known.has(id))
    if (!loaded && orphaned.length > 0) options.onOrphanedCrashes(orphaned)
    for (const row of cancellations) applyCancellation(row)
    if (!loaded) {
      loaded = true
      events.record(partitionLoaded, { cell: partition, jobs: jobs.length })
      options.onLoaded()
    }
    return true
  }

  const feed = createTableFeed({
    table,
    name: jobTable,
    listParts: () => jobParts,
    applyRow: (row) => {
      applyRow(row)
      options.onChange()
    },
    applySnapshot
  })

  disposables.add(createSerialLoop({
    clock,
    readPauseMs: () => isTableReachable && loaded ? JOB_POLL_INTERVAL_MS : WRITE_RETRY_MS,
    runStep: async () => {
      isTableReachable = await feed.readUpdates(0)
      removeExpiredWithdrawals()
    }
  }))

  return {
    isLoaded: () => loaded,
    isOfEarlierVersion: (job) => earlierJobs.has(job),
    applyPushedRow: (key, value) => {
      if (!loaded) return
      applyRow({ table: jobTable, part: '', key, value, version: 0, deleted: false })
      options.onChange()
    },
    dispose: () => disposables.dispose()
  }
}
