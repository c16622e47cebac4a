/** An entry: follows the configuration, takes over and schedules partitions, and serves callers. */
import { createDisposableStore, type ClusterConfig, type Clock, type Disposable, type EventLog, type PartitionPlanner, type Random } from '@fuchsiatally/core'
import type { Peer, PeerMesh, SessionView } from '../ports.js'
import { createAdviceRouter } from './adviceRouter.js'
import { createPartitionHandover } from './partitionHandover.js'
import { createLoopMonitor } from './loopMonitor.js'
import { createPartitionTerm, type PartitionTerm } from './partitionTerm.js'
import { createPartitionWatch, type PartitionView } from './partitionWatch.js'
import { createConfigWatch } from './configWatch.js'
import { partitionHandedOver, partitionLost, partitionAcquired, entryStarted, entryStopping } from './events.js'
import { CAPACITY_PART, PARTITION_TABLE, type CapacityRow, type EntryRow } from './partitionRows.js'
import { createJobApi, type JobApi } from './jobApi.js'
import type { AdviceClient, PartitionBounds, PartitionTable, PartitionWorkerClient, ListedWorker, PlatformRows } from './ports.js'
import { MIN_HANDOVER_TERM_MS, STUCK_REPORT_MEMORY_MS, WRITE_RETRY_MS } from './constants.js'
import { computeCapacityClass } from './rendezvousRank.js'
import { readRow } from './readRow.js'
import { createMonitoredTable } from './tableHealth.js'
import { createRelayedTable, type RelayedTable } from './tableRelay.js'
import { failProcess } from '../process/failProcess.js'

export interface PartitionEntryOptions {
  readonly self: Peer
  /** `host:port` of the link listener. */
  readonly linkAddress: string
  /** Processor capacity of this entry, in cores. */
  readonly cores: number
  readonly table: PartitionTable
  readonly rows: PlatformRows
  readonly bounds: PartitionBounds
  readonly mesh: PeerMesh
  readonly adviceClient: AdviceClient
  readonly createWorkerClient: (worker: ListedWorker) => PartitionWorkerClient
  readonly clock: Clock
  readonly random: Random
  /** Replaces the planner of each term in tests. */
  readonly createPlanner?: () => PartitionPlanner
  readonly events: EventLog
}

/** A running entry. */
export interface PartitionEntry extends Disposable {
  readonly jobs: JobApi
  readConfig: () => ClusterConfig | null
  /** Whether the configuration is recent enough to authenticate keys. */
  isConfigFresh: () => boolean
  /** Whether the entry should receive new callers. */
  isReady: () => boolean
  listSessions: () => readonly SessionView[]
  countHeld: () => number
  /** Hands over all partitions and takes no others. */
  release: () => Promise<void>
}

export function createPartitionEntry (options: PartitionEntryOptions): PartitionEntry {
  const { self, mesh, clock, events, bounds } = options
  const disposables = createDisposableStore()
  const table: RelayedTable = disposables.add(createRelayedTable({
    ...options, direct: createMonitoredTable(options.table, clock, events), readCores: (entry): number => partitions.readCores(entry)
  }))
  const terms = new Map<string, PartitionTerm>()
  const lostAtMs = new Map<string, number>()
  /** Terms that ended at this entry, as `partition/epoch`: a stale holder row must not restart one. */
  const endedTerms = new Set<string>()
  const leavingPeers = new Set<string>()
  let stopping = false
  /** Planned hand-over in progress. */
  let currentHandover: Promise<void> = Promise.resolve()

  const loop = disposables.add(createLoopMonitor(clock))
  const config = disposables.add(createConfigWatch({ ...options, table }))
  const advice = disposables.add(createAdviceRouter({ ...options, client: options.adviceClient }))

  const removeTerm = (partition: string, epoch: number): void => {
    terms.delete(partition)
    lostAtMs.set(partition, clock.nowMs())
    endedTerms.add(`${partition}/${epoch}`)
  }

  const recordLost = (partition: string, epoch: number, reason: 'succeeded' | 'termEnded'): void => {
    removeTerm(partition, epoch)
    events.record(partitionLost, {
      cell: partition,
      epoch,
      reason,
      holder: partitions.readPartition(partition)?.row?.entry ?? null,
      renewalAgeMs: Math.round(partitions.readPartitionAgeMs(partition)),
      loopLate: loop.isLate(STUCK_REPORT_MEMORY_MS)
    })
  }

  const startTerm = (view: PartitionView): void => {
    const { partition, row, version, confirmedAt } = view
    if (row === null) return
    events.record(partitionAcquired, { cell: partition, epoch: row.epoch })
    // Peers that know the new holder push the jobs that they accept to it.
    mesh.broadcastMessage({ type: 'cellChanged', cell: partition })
    terms.set(partition, createPartitionTerm({
      ...options,
      table,
      partition,
      row,
      version,
      confirmedAt,
      advice,
      loop,
      readConfig: config.readConfig,
      onDeposed: () => recordLost(partition, row.epoch, 'termEnded'),
      onStuck: () => {
        if (!loop.isLate(STUCK_REPORT_MEMORY_MS)) mesh.broadcastMessage({ type: 'cellStuck', cell: partition, epoch: row.epoch })
      }
    }))
  }

  const handleHolderRow = (view: PartitionView): void => {
    const { partition, row } = view
    const term = terms.get(partition)
    if (row !== null && row.incarnation === self.incarnation && !row.released) {
      if (term === undefined && !stopping && !endedTerms.has(`${partition}/${row.epoch}`)) startTerm(view)
      return
    }
    if (term === undefined || (row !== null && row.epoch <= term.epoch)) return
    term.dispose()
    recordLost(partition, term.epoch, 'succeeded')
  }

  const partitions = disposables.add(createPartitionWatch({
    self,
    cores: options.cores,
    table,
    clock,
    events,
    listPartitions: () => config.readConfig()?.services ?? [],
    listPeers: mesh.listPeers,
    countHeld: () => terms.size,
    // Workers cannot fence holders that alternate within this time.
    mayTakeOver: (partition) => !stopping && table.isDirect() && clock.nowMs() - (lostAtMs.get(partition) ?? -Infinity) > bounds.turnMs + REACQUIRE_MARGIN_MS,
    onHolder: handleHolderRow,
    onClaims: (row) => { for (const term of terms.values()) term.applyClaims(row) }
  }))

  config.onChange((next) => {
    for (const term of terms.values()) term.applyConfig(next)
    // The new configuration may name partitions without a holder; before the first configuration, an entry knows of no partitions.
    partitions.readNow()
  })

  const applyPushedRow = (partition: string, key: string, value: string): boolean => {
    const term = terms.get(partition)
    term?.applyPushedRow(key, value)
    return term !== undefined
  }
  mesh.onMessage('jobNews', (message) => { applyPushedRow(message.cell, message.key, message.value) })

  mesh.onMessage('entryLeaving', (_message, from) => { leavingPeers.add(from.incarnation) })
  mesh.onMessage('cellChanged', () => partitions.readNow())
  mesh.onMessage('cellStuck', (message, from) => partitions.recordStuck(message.cell, message.epoch, from.incarnation))

  const listStayingPeers = (): Peer[] => mesh.listPeers().filter((peer) => !leavingPeers.has(peer.incarnation))

  const releaseTo = async (partition: string, term: PartitionTerm, successor: string | null): Promise<void> => {
    await term.release(successor)
    if (successor !== null) mesh.sendMessage(successor, { type: 'cellChanged', cell: partition })
  }

  const releasePartition = async (partition: string, successor: Peer): Promise<void> => {
    const term = terms.get(partition)
    if (term === undefined) return
    events.record(partitionHandedOver, {
      cell: partition,
      epoch: term.epoch,
      successor: successor.entry,
      cores: options.cores,
      successorCores: partitions.readCores(successor.entry),
      termAgeMs: Math.round(partitions.readTermAgeMs(partition))
    })
    removeTerm(partition, term.epoch)
    currentHandover = releaseTo(partition, term, successor.incarnation)
    await currentHandover
  }

  disposables.add(createPartitionHandover({
    cores: options.cores,
    clock,
    // A successor that lost the partition just before this term may not take it over yet.
    minTermMs: Math.max(MIN_HANDOVER_TERM_MS, bounds.turnMs + REACQUIRE_MARGIN_MS),
    partitions,
    listPeers: listStayingPeers,
    listHeld: () => [...terms.keys()],
    mayHandOver: () => !stopping && table.isDirect(),
    releasePartition
  }))

  /**
   * Successors for the partitions released in a graceful shutdown: peers with the fewest partitions first, among them those of the largest
   * capacity, and then those that started last. In a rolling restart, an entry that has just started is not the next one to stop.
   */
  const chooseSuccessors = (count: number): (string | null)[] => {
    const peers = listStayingPeers().map((peer) => ({
      incarnation: peer.incarnation,
      held: partitions.countPartitionsOf(peer.incarnation),
      capacityClass: computeCapacityClass(partitions.readCores(peer.entry)),
      startOrder: partitions.readStartOrder(peer.incarnation)
    }))
    peers.sort((a, b) => a.held - b.held || b.capacityClass - a.capacityClass || b.startOrder - a.startOrder)
    return Array.from({ length: count }, (_, index) => peers[index % Math.max(1, peers.length)]?.incarnation ?? null)
  }

  const jobs = createJobApi({
    table,
    mesh,
    partitions,
    listPartitions: () => config.readConfig()?.services ?? [],
    clock,
    events,
    applyPushedRow,
    readCommittedPhase: (partition, job) => terms.get(partition)?.readCommittedPhase(job) ?? null
  })

  const storeOwnRow = async (part: string, row: EntryRow | CapacityRow): Promise<void> => {
    const name = { table: PARTITION_TABLE, key: self.entry }
    for (;;) {
      const stored = await readRow(table, name.table, part, name.key)
      if (stored.isOk()) {
        // The check keeps a late write of an earlier life of this entry from replacing the row.
        const result = await table.commit({ part, checks: [{ ...name, version: stored.value?.version ?? 0 }], writes: [{ ...name, value: JSON.stringify(row) }], deletes: [] })
        if (result.isOk() && result.value.kind === 'applied') return
      }
      if (stopping) return
      await new Promise<void>((resolve) => { clock.setTimer(WRITE_RETRY_MS, resolve) })
    }
  }
  storeOwnRow(CAPACITY_PART, { cores: options.cores }).catch(failProcess)
  storeOwnRow('', { incarnation: self.incarnation, failureDomain: self.failureDomain, linkAddress: options.linkAddress }).catch(failProcess)
  events.record(entryStarted, { ...self, linkAddress: options.linkAddress, cores: options.cores })

  return {
    jobs,
    readConfig: config.readConfig,
    isConfigFresh: config.isFresh,
    isReady: () => !stopping && config.readConfig() !== null && config.isFresh() && table.isDirect(),
    listSessions: partitions.listSessions,
    countHeld: () => terms.size,
    release: async () => {
      stopping = true
      events.record(entryStopping, { cells: [...terms.keys()] })
      mesh.broadcastMessage({ type: 'entryLeaving' })
      const held = [...terms]
      terms.clear()
      const successors = chooseSuccessors(held.length)
      await Promise.all([currentHandover, ...held.map(([partition, term], index) => releaseTo(partition, term, successors[index] ?? null))])
    },
    dispose: () => {
      disposables.dispose()
      for (const term of terms.values()) term.dispose()
    }
  }
}

/** Margin for orders in flight, added to the time in which a lost partition must not be taken over again, in milliseconds. */
const REACQUIRE_MARGIN_MS = 1000
