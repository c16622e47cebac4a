/** Keeps a partition's claims on the teams' ceilings in line with its demand. */
import {
  addResources, computeClaimLimits, ClaimsRow, createCeilingTurns, createDisposableStore, NO_CLAIMS, NO_RESOURCES, planClaims, takeOverClaims,
  type ClusterConfig, type PartitionPlanner, type Clock, type Disposable, type EventLog, type Resources
} from '@fuchsiatally/core'
import { createSerialLoop } from '../process/serialLoop.js'
import { MIN_CLAIM_COMMIT_INTERVAL_MS, CLAIM_PAUSE_MS, CLAIM_REFRESH_MS, MAX_CLAIM_ATTEMPTS } from './constants.js'
import { ceilingTurnTaken, claimsStored, claimsNotStored } from './events.js'
import { PARTITION_TABLE, CLAIMS_KEY, createRowReader } from './partitionRows.js'
import type { PartitionTable, ListedWorker, TableRow } from './ports.js'
import { readRow } from './readRow.js'

export interface CeilingClaimsOptions {
  readonly partition: string
  readonly epoch: number
  readonly table: PartitionTable
  readonly planner: PartitionPlanner
  readonly clock: Clock
  readonly events: EventLog
  readonly readConfig: () => ClusterConfig | null
  readonly listWorkers: () => readonly ListedWorker[]
  /** Whether the planner knows every run; until then the claims of earlier terms are adopted as they are. */
  readonly isLoaded: () => boolean
  /** Runs after the planner's limits have been updated. */
  readonly onLimits: () => void
}

/** The running claims loop. */
export interface CeilingClaims extends Disposable {
  /** Schedules a review of the claims, because work of some team is blocked by its ceiling. */
  scheduleReview: () => void
  /** Applies the row of all claims as the feed of the table shows it. */
  applyFeedRow: (row: TableRow) => void
}

const parseClaims = createRowReader(ClaimsRow)

/** The partition's share of the listed capacity. */
function computeShare (partition: string, workers: readonly ListedWorker[]): Resources {
  let own = NO_RESOURCES
  let all = NO_RESOURCES
  for (const worker of workers) {
    all = addResources(all, worker.capacity)
    if (worker.service === partition) own = addResources(own, worker.capacity)
  }
  return {
    processors: all.processors > 0 ? own.processors / all.processors : 0,
    memoryMb: all.memoryMb > 0 ? own.memoryMb / all.memoryMb : 0,
    accelerators: all.accelerators > 0 ? own.accelerators / all.accelerators : 0
  }
}

/** Starts the loop; until its first claims are in the table, the partition starts no work of teams with a ceiling. */
export function createCeilingClaims (options: CeilingClaimsOptions): CeilingClaims {
  const { partition, epoch, table, planner, clock } = options
  const disposables = createDisposableStore()
  let current: { row: ClaimsRow, version: number } | null = null
  let isStale = true
  /** Version of the row in the table if that is malformed, otherwise `null`. */
  let malformedVersion: number | null = null
  let disposed = false
  let refreshedAtMs = clock.nowMs()
  let committedAtMs = -Infinity
  let isReviewScheduled = false
  const startedAtMs = clock.nowMs()
  let tries = 0
  const turns = createCeilingTurns(partition)
  let isCommitting = false

  const listCeilings = (): Map<string, Resources> => new Map((options.readConfig()?.teams ?? []).map((team) => [team.name, team.ceiling]))

  /** Whether the table holds claims of this term. */
  const hasStoredClaims = (): boolean => current?.row.cells[partition]?.epoch === epoch

  const applyLimits = (pending: ClaimsRow | null): void => {
    const ceilings = listCeilings()
    planner.setTeamLimits(computeClaimLimits(partition, epoch, current?.row ?? NO_CLAIMS, pending, ceilings), hasStoredClaims(), ceilings)
  }

  const applyRow = (row: TableRow | undefined): void => {
    if (row !== undefined && row.version === malformedVersion) return
    const claims = row === undefined ? NO_CLAIMS : parseClaims(row, options.events)
    const version = row?.version ?? 0
    // The claims of other partitions are unknown until the row is sound again: those that were read last stay in force, and none are written.
    isStale = claims === null
    malformedVersion = claims === null ? version : null
    if (claims !== null) current = { row: claims, version }
  }

  const readClaims = async (): Promise<boolean> => {
    const read = await readRow(table, PARTITION_TABLE, '', CLAIMS_KEY)
    if (read.isErr()) return false
    applyRow(read.value)
    return true
  }

  const recordTurns = (next: ClaimsRow, previous: ClaimsRow): void => {
    const known = previous.cells[partition]?.turns ?? {}
    for (const [team, turn] of Object.entries(next.cells[partition]?.turns ?? {})) {
      if (turn.number !== known[team]?.number) options.events.record(ceilingTurnTaken, { cell: partition, epoch, team, ...turn })
    }
  }

  /** Returns `true` if the row changed to other claims in the meantime, so that they have to be planned again. */
  const commitRow = async (next: ClaimsRow, version: number): Promise<boolean> => {
    applyLimits(next)
    committedAtMs = clock.nowMs()
    isCommitting = true
    const result = await table.commit({
      part: '',
      checks: [{ table: PARTITION_TABLE, key: CLAIMS_KEY, version }],
      writes: [{ table: PARTITION_TABLE, key: CLAIMS_KEY, value: JSON.stringify(next) }],
      deletes: []
    })
    isCommitting = false
    tries++
    if (result.isErr()) {
      options.events.record(claimsNotStored, { cell: partition, epoch, reason: result.error.message })
      // A write of unknown outcome may be applied already, or may be applied later: until a read shows the row, the smaller claim counts.
      isStale = true
      return false
    }
    const hadStoredClaims = hasStoredClaims()
    if (result.value.kind === 'applied') {
      recordTurns(next, current?.row ?? NO_CLAIMS)
      current = { row: next, version: result.value.version }
    } else applyRow(result.value.rows.find((row) => row.key === CLAIMS_KEY && !row.deleted))
    if (!hadStoredClaims && hasStoredClaims()) options.events.record(claimsStored, { cell: partition, epoch, tries, waitedMs: Math.round(clock.nowMs() - startedAtMs) })
    applyLimits(null)
    options.onLimits()
    return result.value.kind === 'conflict' && malformedVersion === null
  }

  const planRow = (): { row: ClaimsRow, version: number } | null => {
    if (current === null || disposed) return null
    if (!options.isLoaded()) {
      const adopted = takeOverClaims(partition, epoch, current.row)
      return adopted === null ? null : { row: adopted, version: current.version }
    }
    const share = computeShare(partition, options.listWorkers())
    const ceilings = listCeilings()
    const demand = planner.listTeamDemand()
    const row = planClaims({
      partition, epoch, row: current.row, ceilings, share, demand, turns: turns.decide({ row: current.row, ceilings, demand, share, nowMs: clock.nowMs() })
    })
    return row === null ? null : { row, version: current.version }
  }

  const runStep = async (): Promise<void> => {
    if (isStale && !await readClaims()) return
    if (disposed || current === null || malformedVersion !== null) return
    // Retries at once: with a pause, another partition that updates the row at the same rate could win every time.
    for (let attempt = 0; attempt < MAX_CLAIM_ATTEMPTS; attempt++) {
      const next = planRow()
      if (next === null) {
        applyLimits(null)
        break
      }
      if (!await commitRow(next.row, next.version)) break
    }
    if (clock.nowMs() - refreshedAtMs < CLAIM_REFRESH_MS) return
    refreshedAtMs = clock.nowMs()
    isStale = true
  }

  const isWaiting = (): boolean => [...planner.listTeamDemand().values()].some(({ longestWaiting }) => longestWaiting !== null)

  applyLimits(null)
  const loop = createSerialLoop({ clock, readPauseMs: () => CLAIM_PAUSE_MS, runStep })
  disposables.add(loop)
  return {
    scheduleReview: () => {
      if (isReviewScheduled) return
      isReviewScheduled = true
      clock.setTimer(Math.max(0, committedAtMs + MIN_CLAIM_COMMIT_INTERVAL_MS - clock.nowMs()), () => {
        isReviewScheduled = false
        loop.wake()
      })
    },
    applyFeedRow: (row) => {
      // While the outcome of a write is unknown, only a read by the loop settles it.
      if (disposed || isCommitting || isStale || current === null || row.deleted || row.version <= current.version) return
      applyRow(row)
      if (current.version !== row.version) return
      applyLimits(null)
      if (isWaiting() || Object.values(current.row.cells).some((section) => section.turns !== undefined)) loop.wake()
    },
    dispose: () => {
      disposed = true
      disposables.dispose()
    }
  }
}
