/** Keeps a cell's claims on the client accounts' ceilings up with what it runs. */
import {
  addResources, computeClaimLimits, ClaimsRow, createDisposableStore, NO_CLAIMS, NO_RESOURCES, planClaims,
  type ClusterConfig, type PartitionPlanner, type Clock, type Disposable, type EventLog, type Resources
} from '@fuchsiatally/core'
import { createSerialLoop } from '../process/serialLoop.js'
import { CLAIM_COMMIT_MS, CLAIM_PAUSE_MS, CLAIM_REVIEW_MS, CLAIM_TRIES } from './constants.js'
import { ceilingsKnown, claimsNotStored } from './events.js'
import { PARTITION_TABLE, CLAIMS_KEY, createRowReader } from './holderRow.js'
import type { PartitionTable, ListedWorker, TableRow } from './ports.js'
import { readRow } from './readRow.js'

/** Options of the task. */
export interface CeilingTaskOptions {
  readonly cell: string
  readonly epoch: number
  readonly table: PartitionTable
  readonly planner: PartitionPlanner
  readonly clock: Clock
  readonly events: EventLog
  readonly readConfig: () => ClusterConfig | null
  readonly listWorkers: () => readonly ListedWorker[]
  /** The planner knows all that runs; before that no claim may be lowered. */
  readonly isLoaded: () => boolean
  /** The planner got other limits. */
  readonly onLimits: () => void
}

/** The running task. */
export interface CeilingTask extends Disposable {
  /** Some team's work waits for its ceiling. */
  wake: () => void
}

const parseClaims = createRowReader(ClaimsRow)

/** The cell's part of all listed capacity. */
function computeShare (cell: string, workers: readonly ListedWorker[]): Resources {
  let own = NO_RESOURCES
  let all = NO_RESOURCES
  for (const worker of workers) {
    all = addResources(all, worker.capacity)
    if (worker.service === cell) own = addResources(own, worker.capacity)
  }
  return {
    processors: all.processors > 0 ? own.processors / all.processors : 0,
    memoryMb: all.memoryMb > 0 ? own.memoryMb / all.memoryMb : 0,
    accelerators: all.accelerators > 0 ? own.accelerators / all.accelerators : 0
  }
}

/** Starts the task; until its first change is in the table the cell starts nothing of a team with a ceiling. */
export function createCeilingTask (options: CeilingTaskOptions): CeilingTask {
  const { cell, epoch, table, planner, clock } = options
  const disposables = createDisposableStore()
  let current: { row: ClaimsRow, version: number } | null = null
  let isOutdated = true
  let disposed = false
  let reviewedAtMs = clock.nowMs()
  let committedAtMs = -Infinity
  let isWoken = false
  const startedAtMs = clock.nowMs()
  let tries = 0

  const listCeilings = (): Map<string, Resources> => new Map((options.readConfig()?.teams ?? []).map((team) => [team.name, team.ceiling]))

  /** Whether the table has claims of this term. */
  const isKnown = (): boolean => current?.row.cells[cell]?.epoch === epoch

  const applyLimits = (pending: ClaimsRow | null): void => {
    planner.setTeamLimits(computeClaimLimits(cell, epoch, current?.row ?? NO_CLAIMS, pending, listCeilings()), isKnown())
  }

  const applyRow = (row: TableRow | undefined): void => {
    if (row === undefined) {
      current = { row: NO_CLAIMS, version: 0 }
    } else {
      const parsed = parseClaims(row, options.events)
      if (parsed !== null) current = { row: parsed, version: row.version }
    }
    isOutdated = false
  }

  const readClaims = async (): Promise<boolean> => {
    const read = await readRow(table, PARTITION_TABLE, '', CLAIMS_KEY)
    if (read.isErr()) return false
    applyRow(read.value)
    return true
  }

  /** Tells whether the row had changed meanwhile: the plan has to be made anew. */
  const commitRow = async (next: ClaimsRow, version: number): Promise<boolean> => {
    applyLimits(next)
    committedAtMs = clock.nowMs()
    const result = await table.commit({
      part: '',
      checks: [{ table: PARTITION_TABLE, key: CLAIMS_KEY, version }],
      writes: [{ table: PARTITION_TABLE, key: CLAIMS_KEY, value: JSON.stringify(next) }],
      deletes: []
    })
    tries++
    if (result.isErr()) {
      options.events.record(claimsNotStored, { cell, epoch, reason: result.error.message })
      // It may have been applied, or may still be: only a read tells, and until then the smaller claim counts.
      isOutdated = true
      return false
    }
    const wasKnown = isKnown()
    if (result.value.kind === 'applied') current = { row: next, version: result.value.version }
    else applyRow(result.value.rows.find((row) => row.key === CLAIMS_KEY && !row.deleted))
    if (!wasKnown && isKnown()) options.events.record(ceilingsKnown, { cell, epoch, tries, waitedMs: Math.round(clock.nowMs() - startedAtMs) })
    applyLimits(null)
    options.onLimits()
    return result.value.kind === 'conflict'
  }

  const planRow = (): { row: ClaimsRow, version: number } | null => {
    if (current === null || disposed) return null
    const share = computeShare(cell, options.listWorkers())
    const row = planClaims({ cell, epoch, row: current.row, ceilings: listCeilings(), share, demand: planner.listTeamDemand() })
    return row === null ? null : { row, version: current.version }
  }

  const runStep = async (): Promise<void> => {
    if (isOutdated && !await readClaims()) return
    if (disposed || current === null || !options.isLoaded()) return
    // Another cell that changes the row at the same pace would win each time if the next try waited.
    for (let attempt = 0; attempt < CLAIM_TRIES; attempt++) {
      const next = planRow()
      if (next === null) {
        applyLimits(null)
        break
      }
      if (!await commitRow(next.row, next.version)) break
    }
    if (clock.nowMs() - reviewedAtMs < CLAIM_REVIEW_MS) return
    reviewedAtMs = clock.nowMs()
    isOutdated = true
  }

  applyLimits(null)
  const loop = createSerialLoop({ clock, readPauseMs: () => CLAIM_PAUSE_MS, runStep })
  disposables.add(loop)
  return {
    wake: () => {
      if (isWoken) return
      isWoken = true
      clock.setTimer(Math.max(0, committedAtMs + CLAIM_COMMIT_MS - clock.nowMs()), () => {
        isWoken = false
        loop.wake()
      })
    },
    dispose: () => {
      disposed = true
      disposables.dispose()
    }
  }
}
