/** Follows the holder rows and the entries, and decides when this entry takes a partition over. */
import { createDisposableStore, type Clock, type Disposable, type EventLog } from '@fuchsiatally/core'
import type { Peer, SessionView } from '../ports.js'
import { createSerialLoop } from '../process/serialLoop.js'
import { DISTANT_WATCH_INTERVAL_MS, FAILED_HOLDER_PAUSE_MS, LINK_LOSS_GRACE_MS, SUSPECT_WATCH_INTERVAL_MS, MAX_HEALTHY_READ_MS, HOLDER_TIMEOUT_MS, MAX_SUCCESSOR_RANK, START_SETTLE_MS, SUCCESSOR_RANK_DELAY_MS, RENEWAL_INTERVAL_MS, STUCK_HOLDER_TIMEOUT_MS, RELEASED_TIMEOUT_MS, UNLINKED_HOLDER_TIMEOUT_MS, WATCH_INTERVAL_MS, YOUNG_TERM_MS } from './constants.js'
import { takeoverDecided } from './events.js'
import { CAPACITY_PART, DEFAULT_CORES, PARTITION_TABLE, CLAIMS_KEY, HOLDER_KEY, parseCapacityRow, parseEntryRow, parseHolderRow, type EntryRow, type HolderRow } from './partitionRows.js'
import type { ClockReading, PartitionTable, TableRow } from './ports.js'
import { computeSuccessorRank, hasLargerCandidate, type Candidate } from './rendezvousRank.js'
import { createTableFeed } from './tableFeed.js'

/** Holder of a partition as stored in the table. */
export interface PartitionView {
  readonly partition: string
  /** `null` if there is none (version 0) or it can't be decoded. */
  readonly row: HolderRow | null
  /** Version of the holder row; 0 if there is none. */
  readonly version: number
  /** Time at which the takeover commit or the read that showed the row was sent. */
  readonly confirmedAt: ClockReading
}

export interface PartitionWatchOptions {
  readonly self: Peer
  /** Processor capacity of this entry, in cores. */
  readonly cores: number
  readonly table: PartitionTable
  readonly clock: Clock
  readonly events: EventLog
  /** Partitions named by the configuration. */
  readonly listPartitions: () => readonly string[]
  /** Peers with a live link. */
  readonly listPeers: () => readonly Peer[]
  /** Number of partitions that this entry holds. */
  readonly countHeld: () => number
  /** Whether this entry is allowed to take the partition over at present. */
  readonly mayTakeOver: (partition: string) => boolean
  /** Runs for each change of a holder row, whether it names this process or another. */
  readonly onHolder: (view: PartitionView) => void
  /** Receives the row of all partitions' claims on ceilings when it changes. */
  readonly onClaims: (row: TableRow) => void
}

/** View of all partitions. */
export interface PartitionWatch extends Disposable {
  readPartition: (partition: string) => PartitionView | null
  /** Time since this entry last saw the holder row change, in milliseconds. */
  readPartitionAgeMs: (partition: string) => number
  listSessions: () => readonly SessionView[]
  /** Position in the order of starts: higher for entries that started later; 0 if the table has no row of the incarnation. */
  readStartOrder: (incarnation: string) => number
  /** Time since this entry first saw the current epoch of a partition, in milliseconds. */
  readTermAgeMs: (partition: string) => number
  /** Time since this entry first saw the row of an incarnation, in milliseconds; 0 if there is none. */
  readUptimeMs: (incarnation: string) => number
  /** Processor capacity of an entry, in cores. */
  readCores: (entry: string) => number
  /** Number of partitions that an incarnation holds, or was named the successor for, according to the table. */
  countPartitionsOf: (incarnation: string) => number
  /** Whether an incarnation recently lost a partition without a release, or did not take one that was released to it. */
  hasFailedRecently: (incarnation: string) => boolean
  /** Records the report of a holder that the table does not accept its commits. */
  recordStuck: (partition: string, epoch: number, incarnation: string) => void
  /** Reads the rows at once. */
  readNow: () => void
}

/**
 * `noHolder`: nobody ever held the partition; `restarted`: its holder was an earlier process of this entry; `successor`: the holder named
 * this entry; `released`: nobody was named, or the successor did not take it; `silent`, `unlinked`, `stuck`: no renewal within the full
 * timeout, or within the shorter one for a holder whose link is down or that reported itself as stuck.
 */
type TakeoverReason = 'noHolder' | 'restarted' | 'successor' | 'released' | 'silent' | 'unlinked' | 'stuck'

interface Takeover {
  readonly why: TakeoverReason
  /** Rank of this entry among the successors. */
  readonly rank: number
}

interface ObservedPartition {
  view: PartitionView
  readonly changedAtMs: number
  /** Time at which this entry first saw the epoch. */
  readonly termSeenAtMs: number
  /** Time from which the holder's timeout counts: its last renewal seen here, or the end of a gap between reads. */
  timeoutStartedAtMs: number
  /** Whether the holder reported that the table does not accept its commits. */
  isStuck: boolean
}

export function createPartitionWatch (options: PartitionWatchOptions): PartitionWatch {
  const { self, table, clock, events } = options
  const disposables = createDisposableStore()
  const partitions = new Map<string, ObservedPartition>()
  const startedAtMs = clock.nowMs()
  const entries = new Map<string, EntryRow & { readonly version: number, readonly seenAtMs: number }>()
  /** Processor capacity by entry, in cores. */
  const capacities = new Map<string, number>()
  /** Time at which this entry first saw that a partition has no holder. */
  const vacantSinceMs = new Map<string, number>()
  /** Time at which this entry first saw that it has no link to a holder, by incarnation. */
  const unlinkedSinceMs = new Map<string, number>()
  /** Time of the last lost term or failed hand-over, by incarnation. */
  const failedAtMs = new Map<string, number>()
  const readClocks = (): ClockReading => ({ nowMs: clock.nowMs(), wallMs: clock.wallMs() })
  /** Time at which the last read was sent. */
  let readSentAt = readClocks()
  let lastReadMs = -Infinity
  /** Whether the last read was answered within `MAX_HEALTHY_READ_MS`. */
  let isTableHealthy = false
  /** Whether this entry is among the first successors of any partition, as of the last read. */
  let isCloseSuccessor = true

  /** Records the previous holder, or its named successor, if another entry took the partition over; a release between two reads isn't seen. */
  const recordFailedHolder = (previous: HolderRow | null, next: HolderRow | null, nowMs: number): void => {
    if (previous === null || next === null || next.epoch <= previous.epoch) return
    for (const [incarnation, failedMs] of failedAtMs) if (nowMs - failedMs >= FAILED_HOLDER_PAUSE_MS) failedAtMs.delete(incarnation)
    const expected = previous.released ? previous.successor : previous.incarnation
    if (expected !== undefined && expected !== next.incarnation) failedAtMs.set(expected, nowMs)
  }

  const recordView = (view: PartitionView, nowMs: number): void => {
    const previous = partitions.get(view.partition)
    recordFailedHolder(previous?.view.row ?? null, view.row, nowMs)
    const termSeenAtMs = previous !== undefined && previous.view.row?.epoch === view.row?.epoch ? previous.termSeenAtMs : nowMs
    partitions.set(view.partition, { view, changedAtMs: nowMs, termSeenAtMs, timeoutStartedAtMs: nowMs, isStuck: false })
  }

  const applyRow = (row: TableRow, nowMs: number): void => {
    if (row.key === CLAIMS_KEY) {
      options.onClaims(row)
      return
    }
    if (row.part === CAPACITY_PART) {
      const capacity = row.deleted ? null : parseCapacityRow(row, events)
      if (capacity === null) capacities.delete(row.key)
      else capacities.set(row.key, capacity.cores)
      return
    }
    if (row.part === '') {
      const entry = row.deleted ? null : parseEntryRow(row, events)
      if (entry === null) entries.delete(row.key)
      else entries.set(row.key, { ...entry, version: row.version, seenAtMs: clock.nowMs() })
      return
    }
    if (row.key !== HOLDER_KEY) return
    const holder = row.deleted ? null : parseHolderRow(row, events)
    const view = { partition: row.part, row: holder, version: row.deleted ? 0 : row.version, confirmedAt: readSentAt }
    vacantSinceMs.delete(row.part)
    recordView(view, nowMs)
    options.onHolder(view)
  }

  // A partition that is added to the configuration later is read in full at that time.
  const feed = createTableFeed({
    table,
    name: PARTITION_TABLE,
    listParts: () => ['', CAPACITY_PART, ...options.listPartitions()],
    applyRow: (row) => applyRow(row, clock.nowMs())
  })

  const takeOverPartition = async (partition: string, observed: ObservedPartition | undefined, { why, rank }: Takeover): Promise<void> => {
    const row: HolderRow = {
      entry: self.entry,
      incarnation: self.incarnation,
      epoch: (observed?.view.row?.epoch ?? 0) + 1,
      released: false,
      renewals: 0,
      waiting: [...observed?.view.row?.waiting ?? []]
    }
    const previous = observed?.view.row ?? null
    events.record(takeoverDecided, {
      cell: partition,
      epoch: row.epoch,
      why,
      rank,
      cores: options.cores,
      holder: previous?.entry ?? null,
      isLinked: previous !== null && isLinked(previous),
      renewalAgeMs: observed === undefined ? null : Math.round(clock.nowMs() - observed.changedAtMs),
      termAgeMs: observed === undefined ? null : Math.round(clock.nowMs() - observed.termSeenAtMs)
    })
    const confirmedAt = readClocks()
    const result = await table.commit({
      part: partition,
      checks: [{ table: PARTITION_TABLE, key: HOLDER_KEY, version: observed?.view.version ?? 0 }],
      writes: [{ table: PARTITION_TABLE, key: HOLDER_KEY, value: JSON.stringify(row) }],
      deletes: []
    })
    // After a lost response or a conflict, the next read shows the holder.
    if (result.isErr() || result.value.kind === 'conflict') return
    // After a pause of this process, another entry may hold the partition by now.
    if (Math.max(clock.nowMs() - confirmedAt.nowMs, clock.wallMs() - confirmedAt.wallMs) > HOLDER_TIMEOUT_MS) return
    const view = { partition, row, version: result.value.version, confirmedAt }
    recordView(view, clock.nowMs())
    options.onHolder(view)
  }

  const isLinked = (row: HolderRow): boolean => {
    return row.incarnation === self.incarnation || options.listPeers().some((peer) => peer.incarnation === row.incarnation)
  }

  const updateUnlinkedHolders = (nowMs: number): void => {
    const previous = new Map(unlinkedSinceMs)
    unlinkedSinceMs.clear()
    for (const { view: { row } } of partitions.values()) {
      if (row !== null && !isLinked(row)) unlinkedSinceMs.set(row.incarnation, previous.get(row.incarnation) ?? nowMs)
    }
  }

  /** Whether the loss of the link to a holder may mean its end: it has not renewed its row since. */
  const isLinkLossRecent = ({ view: { row }, changedAtMs }: ObservedPartition): boolean => {
    const sinceMs = row === null ? undefined : unlinkedSinceMs.get(row.incarnation)
    return sinceMs !== undefined && changedAtMs - sinceMs < LINK_LOSS_GRACE_MS
  }

  /** Whether a holder may have to be replaced soon. */
  const hasSuspectHolder = (): boolean => {
    for (const { view, isStuck, timeoutStartedAtMs } of partitions.values()) {
      if (isStuck || (view.row !== null && !isLinked(view.row))) return true
      if (clock.nowMs() - timeoutStartedAtMs > 2 * RENEWAL_INTERVAL_MS) return true
    }
    return false
  }

  const readCores = (entry: string): number => capacities.get(entry) ?? DEFAULT_CORES

  const countPartitionsOf = (incarnation: string): number => {
    let count = 0
    for (const { view: { row } } of partitions.values()) if (row !== null && (row.released ? row.successor : row.incarnation) === incarnation) count++
    return count
  }

  const buildCandidate = (entry: string, incarnation: string): Candidate => ({ entry, cores: readCores(entry), held: countPartitionsOf(incarnation) })

  /** Rank of this entry among the successors of a partition's holder, or among all entries if there is none. */
  const computeOwnRank = (partition: string, holder: HolderRow | null): number => {
    const own = { entry: self.entry, cores: options.cores, held: options.countHeld() }
    // Larger entries that have just started have a row before they have a link.
    if (holder === null && hasLargerCandidate(own, [...entries].map(([entry, { incarnation }]) => buildCandidate(entry, incarnation)))) return MAX_SUCCESSOR_RANK
    const others = options.listPeers().filter((peer) => peer.incarnation !== holder?.incarnation)
    return Math.min(MAX_SUCCESSOR_RANK, computeSuccessorRank(partition, own, others.map(({ entry, incarnation }) => buildCandidate(entry, incarnation))))
  }

  const readVacantSinceMs = (partition: string, nowMs: number): number => {
    const sinceMs = vacantSinceMs.get(partition) ?? nowMs
    vacantSinceMs.set(partition, sinceMs)
    return Math.max(sinceMs, startedAtMs + START_SETTLE_MS)
  }

  /** Timeout of a holder, and what it is based on. */
  const chooseTimeout = (observed: ObservedPartition, row: HolderRow): { why: TakeoverReason, timeoutMs: number } => {
    if (row.released) return { why: 'released', timeoutMs: row.successor === undefined ? 0 : RELEASED_TIMEOUT_MS }
    // The shorter timeouts require a table that responds quickly: with a slow one, the renewals of a live holder may arrive late.
    if (isTableHealthy && observed.changedAtMs - observed.termSeenAtMs >= YOUNG_TERM_MS) {
      if (observed.isStuck) return { why: 'stuck', timeoutMs: STUCK_HOLDER_TIMEOUT_MS }
      if (isLinkLossRecent(observed)) return { why: 'unlinked', timeoutMs: UNLINKED_HOLDER_TIMEOUT_MS }
    }
    return { why: 'silent', timeoutMs: HOLDER_TIMEOUT_MS }
  }

  /** Decides whether this entry takes a partition over now; `null` if not. */
  const decideTakeover = (partition: string, observed: ObservedPartition | undefined, nowMs: number): Takeover | null => {
    const row = observed?.view.row ?? null
    // A row that can't be decoded names a holder of unknown epoch.
    if (observed !== undefined && row === null && observed.view.version > 0) return null
    if (row !== null && !row.released && row.incarnation === self.incarnation) return null
    const rank = computeOwnRank(partition, row)
    if (rank < MAX_SUCCESSOR_RANK) isCloseSuccessor = true
    const waitMs = rank * SUCCESSOR_RANK_DELAY_MS
    if (observed === undefined || row === null) return nowMs - readVacantSinceMs(partition, nowMs) >= waitMs ? { why: 'noHolder', rank } : null
    if (row.released && row.successor === self.incarnation) return { why: 'successor', rank }
    if (!row.released && row.entry === self.entry) return { why: 'restarted', rank }
    const { why, timeoutMs } = chooseTimeout(observed, row)
    return nowMs - observed.timeoutStartedAtMs >= timeoutMs + waitMs ? { why, rank } : null
  }

  const runStep = async (): Promise<void> => {
    readSentAt = readClocks()
    const sentAtMs = readSentAt.nowMs
    if (!await feed.readUpdates(0)) return
    // After a gap between reads, in which renewals were not observed, the timeout of every holder starts over.
    if (sentAtMs - lastReadMs > HOLDER_TIMEOUT_MS / 2) for (const observed of partitions.values()) observed.timeoutStartedAtMs = clock.nowMs()
    lastReadMs = clock.nowMs()
    updateUnlinkedHolders(lastReadMs)
    isTableHealthy = lastReadMs - sentAtMs <= MAX_HEALTHY_READ_MS
    isCloseSuccessor = options.listPartitions().length === 0
    for (const partition of options.listPartitions()) {
      const observed = partitions.get(partition)
      const takeover = options.mayTakeOver(partition) ? decideTakeover(partition, observed, sentAtMs) : null
      if (takeover !== null) await takeOverPartition(partition, observed, takeover)
    }
  }
  const readPauseMs = (): number => {
    if (hasSuspectHolder()) return SUSPECT_WATCH_INTERVAL_MS
    return isCloseSuccessor ? WATCH_INTERVAL_MS : DISTANT_WATCH_INTERVAL_MS
  }
  const loop = createSerialLoop({ clock, readPauseMs, runStep })
  disposables.add(loop)

  return {
    readPartition: (partition) => partitions.get(partition)?.view ?? null,
    readPartitionAgeMs: (partition) => clock.nowMs() - (partitions.get(partition)?.changedAtMs ?? -Infinity),
    listSessions: () => [...entries].map(([entry, row]): SessionView => ({
      entry, incarnation: row.incarnation, failureDomain: row.failureDomain, linkAddress: row.linkAddress, httpAddress: '', leaving: false, configVersion: 0, expired: false
    })),
    readStartOrder: (incarnation) => {
      for (const entry of entries.values()) if (entry.incarnation === incarnation) return entry.version
      return 0
    },
    readTermAgeMs: (partition) => clock.nowMs() - (partitions.get(partition)?.termSeenAtMs ?? clock.nowMs()),
    readUptimeMs: (incarnation) => {
      for (const entry of entries.values()) if (entry.incarnation === incarnation) return clock.nowMs() - entry.seenAtMs
      return 0
    },
    readCores,
    countPartitionsOf,
    hasFailedRecently: (incarnation) => clock.nowMs() - (failedAtMs.get(incarnation) ?? -Infinity) < FAILED_HOLDER_PAUSE_MS,
    recordStuck: (partition, epoch, incarnation) => {
      const observed = partitions.get(partition)
      if (observed?.view.row?.epoch !== epoch || observed.view.row.incarnation !== incarnation) return
      // A holder repeats its report with each failed commit; only the first one is news.
      if (observed.isStuck) return
      observed.isStuck = true
      loop.wake()
    },
    readNow: loop.wake,
    dispose: () => disposables.dispose()
  }
}
