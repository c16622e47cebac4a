/** Follows who holds each cell and which entries there are, and decides when this entry takes a cell. */
import { createDisposableStore, type Clock, type Disposable, type EventLog } from '@fuchsiatally/core'
import type { Peer, SessionView } from '../ports.js'
import { createSerialLoop } from '../process/serialLoop.js'
import { ALARMED_WATCH_MS, HEALTHY_READ_MS, HOLDER_SILENCE_MS, MAX_RANK, RANK_STEP_MS, RENEW_MS, STUCK_SILENCE_MS, UNLINKED_SILENCE_MS, WATCH_MS } from './constants.js'
import { PARTITION_TABLE, CLAIMS_KEY, HOLDER_KEY, parseEntryRow, parseHolderRow, type EntryRow, type HolderRow } from './holderRow.js'
import type { PartitionTable, TableRow } from './ports.js'
import { computeRank } from './rank.js'
import { createTableFeed } from './tableFeed.js'

/** A cell as the table shows it. */
export interface PartitionView {
  readonly cell: string
  readonly row: HolderRow | null
  /** Version of the holder's row; 0 where there is none. */
  readonly version: number
}

/** Options of the watch. */
export interface PartitionWatchOptions {
  readonly self: Peer
  readonly table: PartitionTable
  readonly clock: Clock
  readonly events: EventLog
  /** Cells that the configuration asks for. */
  readonly listPartitions: () => readonly string[]
  /** Peers with a live link. */
  readonly listPeers: () => readonly Peer[]
  /** Cells that this entry holds now. */
  readonly countHeld: () => number
  /** Whether this entry may take cells at all, and this one now. */
  readonly mayTake: (cell: string) => boolean
  /** The row names this process as the holder, or somebody else. */
  readonly onHolder: (view: PartitionView) => void
}

/** View of all cells. */
export interface PartitionWatch extends Disposable {
  readPartition: (cell: string) => PartitionView | null
  /** Time since this entry last saw the holder's row change, in milliseconds. */
  readPartitionAgeMs: (cell: string) => number
  listSessions: () => readonly SessionView[]
  /** Rises with each entry that starts; 0 for one that the table doesn't show. */
  readStartOrder: (incarnation: string) => number
  /** Cells that an incarnation holds, as the table shows it. */
  countPartitionsOf: (incarnation: string) => number
  /** The holder says that the table does not take its commits. */
  noteStuck: (cell: string, epoch: number, incarnation: string) => void
  /** Looks again at once. */
  wake: () => void
}

interface Seen {
  view: PartitionView
  readonly changedAtMs: number
  /** Since when the holder's silence counts. */
  silentSinceMs: number
  /** The holder said that the table does not take its commits. */
  isStuck: boolean
}

/** Starts to follow the cells. */
export function createPartitionWatch (options: PartitionWatchOptions): PartitionWatch {
  const { self, table, clock, events } = options
  const disposables = createDisposableStore()
  const cells = new Map<string, Seen>()
  const entries = new Map<string, EntryRow & { readonly version: number }>()
  let lastReadMs = -Infinity
  /** The last read was answered fast. */
  let isHealthy = false

  const applyRow = (row: TableRow, nowMs: number): void => {
    if (row.key === CLAIMS_KEY) return
    if (row.part === '') {
      const entry = row.deleted ? null : parseEntryRow(row, events)
      if (entry === null) entries.delete(row.key)
      else entries.set(row.key, { ...entry, version: row.version })
      return
    }
    if (row.key !== HOLDER_KEY) return
    const holder = row.deleted ? null : parseHolderRow(row, events)
    const view = { cell: row.part, row: holder, version: row.deleted ? 0 : row.version }
    cells.set(row.part, { view, changedAtMs: nowMs, silentSinceMs: nowMs, isStuck: false })
    options.onHolder(view)
  }

  // A cell that the configuration names later is read whole then.
  const feed = createTableFeed({
    table,
    name: PARTITION_TABLE,
    listParts: () => ['', ...options.listPartitions()],
    applyRow: (row) => applyRow(row, clock.nowMs())
  })

  const takePartition = async (cell: string, seen: Seen | undefined): Promise<void> => {
    const row: HolderRow = {
      entry: self.entry,
      incarnation: self.incarnation,
      epoch: (seen?.view.row?.epoch ?? 0) + 1,
      released: false,
      renewals: 0,
      waiting: [...seen?.view.row?.waiting ?? []]
    }
    const result = await table.commit({
      part: cell,
      checks: [{ table: PARTITION_TABLE, key: HOLDER_KEY, version: seen?.view.version ?? 0 }],
      writes: [{ table: PARTITION_TABLE, key: HOLDER_KEY, value: JSON.stringify(row) }],
      deletes: []
    })
    // After a lost answer or a conflict the next read shows the holder.
    if (result.isErr() || result.value.kind === 'conflict') return
    const view = { cell, row, version: result.value.version }
    cells.set(cell, { view, changedAtMs: clock.nowMs(), silentSinceMs: clock.nowMs(), isStuck: false })
    options.onHolder(view)
  }

  const isLinked = (row: HolderRow): boolean => {
    return row.incarnation === self.incarnation || options.listPeers().some((peer) => peer.incarnation === row.incarnation)
  }

  /** Whether some holder may have to be replaced soon. */
  const isAlarmed = (): boolean => {
    for (const { view, isStuck, silentSinceMs } of cells.values()) {
      if (isStuck || (view.row !== null && !isLinked(view.row))) return true
      if (clock.nowMs() - silentSinceMs > 2 * RENEW_MS) return true
    }
    return false
  }

  const isDue = (cell: string, seen: Seen | undefined, nowMs: number): boolean => {
    const others = options.listPeers().filter((peer) => peer.incarnation !== seen?.view.row?.incarnation)
    const rank = computeRank(cell, self.entry, others.map((peer) => peer.entry)) + 2 * options.countHeld()
    const waitMs = Math.min(MAX_RANK, rank) * RANK_STEP_MS
    if (seen === undefined || seen.view.row === null) return nowMs - startedAtMs >= waitMs
    const { row } = seen.view
    if (row.incarnation === self.incarnation) return false
    if (row.entry === self.entry) return true
    if (row.released && row.successor === self.incarnation) return true
    if (row.released && row.successor === undefined) return nowMs - seen.silentSinceMs >= waitMs
    // Without a link the holder has probably died; one that lives renews in the table all the same.
    if (!isHealthy) return nowMs - seen.silentSinceMs >= HOLDER_SILENCE_MS + waitMs
    if (seen.isStuck) return nowMs - seen.silentSinceMs >= STUCK_SILENCE_MS + waitMs
    return nowMs - seen.silentSinceMs >= (isLinked(row) ? HOLDER_SILENCE_MS : UNLINKED_SILENCE_MS) + waitMs
  }

  const startedAtMs = clock.nowMs()
  const runStep = async (): Promise<void> => {
    const askedAtMs = clock.nowMs()
    if (!await feed.readNews(0)) return
    // After a gap in the view every holder gets the whole time again.
    if (askedAtMs - lastReadMs > HOLDER_SILENCE_MS / 2) for (const seen of cells.values()) seen.silentSinceMs = clock.nowMs()
    lastReadMs = clock.nowMs()
    isHealthy = lastReadMs - askedAtMs <= HEALTHY_READ_MS
    for (const cell of options.listPartitions()) {
      const seen = cells.get(cell)
      if (options.mayTake(cell) && isDue(cell, seen, askedAtMs)) await takePartition(cell, seen)
    }
  }
  const loop = createSerialLoop({ clock, readPauseMs: () => isAlarmed() ? ALARMED_WATCH_MS : WATCH_MS, runStep })
  disposables.add(loop)

  return {
    readPartition: (cell) => cells.get(cell)?.view ?? null,
    readPartitionAgeMs: (cell) => clock.nowMs() - (cells.get(cell)?.changedAtMs ?? -Infinity),
    listSessions: () => [...entries].map(([entry, row]): SessionView => ({
      entry, incarnation: row.incarnation, failureDomain: row.failureDomain, linkAddress: row.linkAddress, httpAddress: '', leaving: false, configVersion: 0, expired: false
    })),
    readStartOrder: (incarnation) => {
      for (const entry of entries.values()) if (entry.incarnation === incarnation) return entry.version
      return 0
    },
    countPartitionsOf: (incarnation) => {
      let count = 0
      for (const { view } of cells.values()) if (view.row?.incarnation === incarnation) count++
      return count
    },
    noteStuck: (cell, epoch, incarnation) => {
      const seen = cells.get(cell)
      if (seen?.view.row?.epoch !== epoch || seen.view.row.incarnation !== incarnation) return
      seen.isStuck = true
      loop.wake()
    },
    wake: loop.wake,
    dispose: () => disposables.dispose()
  }
}
