/** An entry of the cells: follows the configuration, holds cells when it is its turn, and serves callers. */
import { createDisposableStore, type ClusterConfig, type Clock, type Disposable, type EventLog, type Random } from '@fuchsiatally/core'
import type { Peer, PeerMesh, SessionView } from '../ports.js'
import { createAdviceDesk } from './adviceDesk.js'
import { createPartitionTerm, type PartitionTerm } from './partitionTerm.js'
import { createPartitionWatch, type PartitionView } from './partitionWatch.js'
import { createConfigWatch } from './configWatch.js'
import { partitionLost, partitionTaken, entryStarted, entryStopping } from './events.js'
import { PARTITION_TABLE, type EntryRow } from './holderRow.js'
import { createJobDesk, type JobDesk } from './jobDesk.js'
import type { AdviceClient, PartitionBounds, PartitionTable, PartitionWorkerClient, ListedWorker, PlatformRows } from './ports.js'
import { WRITE_RETRY_MS } from './constants.js'
import { createWatchedTable } from './tableHealth.js'
import { failProcess } from '../process/failProcess.js'

/** Options of an entry. */
export interface PartitionEntryOptions {
  readonly self: Peer
  /** `host:port` of the link listener. */
  readonly linkAddress: string
  readonly table: PartitionTable
  readonly rows: PlatformRows
  readonly bounds: PartitionBounds
  readonly mesh: PeerMesh
  readonly adviceClient: AdviceClient
  readonly createWorkerClient: (worker: ListedWorker) => PartitionWorkerClient
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
}

/** A running entry. */
export interface PartitionEntry extends Disposable {
  readonly desk: JobDesk
  readConfig: () => ClusterConfig | null
  /** Whether keys may be judged now. */
  isFresh: () => boolean
  /** Whether the entry should get new callers. */
  isReady: () => boolean
  listSessions: () => readonly SessionView[]
  countHeld: () => number
  /** Hands its cells on and takes no others. */
  release: () => Promise<void>
}

/** Starts an entry. */
export function createPartitionEntry (options: PartitionEntryOptions): PartitionEntry {
  const { self, mesh, clock, events, bounds } = options
  const table = createWatchedTable(options.table, clock, events)
  const disposables = createDisposableStore()
  const terms = new Map<string, PartitionTerm>()
  const lostAtMs = new Map<string, number>()
  /** Terms that ended here, as `cell/epoch`: a row that still shows one starts nothing. */
  const ended = new Set<string>()
  const leavingPeers = new Set<string>()
  let stopping = false

  const config = disposables.add(createConfigWatch({ ...options, table }))
  const advice = disposables.add(createAdviceDesk({ ...options, client: options.adviceClient }))

  const recordLost = (cell: string, epoch: number): void => {
    terms.delete(cell)
    lostAtMs.set(cell, clock.nowMs())
    ended.add(`${cell}/${epoch}`)
    events.record(partitionLost, { cell, epoch })
  }

  const startTerm = (view: PartitionView): void => {
    const { cell, row, version } = view
    if (row === null) return
    events.record(partitionTaken, { cell, epoch: row.epoch })
    // Peers that know of the new holder tell it at once what they accept.
    mesh.broadcastMessage({ type: 'cellChanged', cell })
    terms.set(cell, createPartitionTerm({
      ...options,
      table,
      cell,
      row,
      version,
      advice,
      readConfig: config.readConfig,
      onDeposed: () => recordLost(cell, row.epoch),
      onStuck: () => mesh.broadcastMessage({ type: 'cellStuck', cell, epoch: row.epoch })
    }))
  }

  const handleHolder = (view: PartitionView): void => {
    const { cell, row } = view
    const term = terms.get(cell)
    if (row !== null && row.incarnation === self.incarnation && !row.released) {
      if (term === undefined && !stopping && !ended.has(`${cell}/${row.epoch}`)) startTerm(view)
      return
    }
    if (term === undefined || (row !== null && row.epoch <= term.epoch)) return
    term.dispose()
    recordLost(cell, term.epoch)
  }

  const cells = disposables.add(createPartitionWatch({
    self,
    table,
    clock,
    events,
    listPartitions: () => config.readConfig()?.services ?? [],
    listPeers: mesh.listPeers,
    countHeld: () => terms.size,
    // Holders that take turns within this time would confuse the workers' fences.
    mayTake: (cell) => !stopping && clock.nowMs() - (lostAtMs.get(cell) ?? -Infinity) > bounds.turnMs + TURN_MARGIN_MS,
    onHolder: handleHolder
  }))

  config.onChange((next) => {
    for (const term of terms.values()) term.applyConfig(next)
    // It may name cells that nobody holds; the first one does so to an entry that has just started.
    cells.wake()
  })

  const acceptNews = (cell: string, key: string, value: string): boolean => {
    const term = terms.get(cell)
    term?.acceptNews(key, value)
    return term !== undefined
  }
  mesh.onMessage('jobNews', (message) => { acceptNews(message.cell, message.key, message.value) })

  mesh.onMessage('entryLeaving', (_message, from) => { leavingPeers.add(from.incarnation) })
  mesh.onMessage('cellChanged', () => cells.wake())
  mesh.onMessage('cellStuck', (message, from) => cells.noteStuck(message.cell, message.epoch, from.incarnation))

  /**
   * Peers for the cells that a planned stop gives up: those with the fewest cells first, and among them the one that started last.
   * Entries are mostly restarted one after the other, and who has just started is not the next.
   */
  const chooseSuccessors = (count: number): (string | null)[] => {
    const peers = mesh.listPeers().filter((peer) => !leavingPeers.has(peer.incarnation)).map((peer) => ({
      incarnation: peer.incarnation, held: cells.countPartitionsOf(peer.incarnation), startOrder: cells.readStartOrder(peer.incarnation)
    }))
    peers.sort((a, b) => a.held - b.held || b.startOrder - a.startOrder)
    return Array.from({ length: count }, (_, index) => peers[index % Math.max(1, peers.length)]?.incarnation ?? null)
  }

  const desk = createJobDesk({
    table,
    mesh,
    cells,
    clock,
    events,
    acceptNews,
    readCommittedPhase: (cell, job) => terms.get(cell)?.readCommittedPhase(job) ?? null
  })

  const registerSelf = async (): Promise<void> => {
    const row: EntryRow = { incarnation: self.incarnation, failureDomain: self.failureDomain, linkAddress: options.linkAddress }
    for (;;) {
      const result = await table.commit({ part: '', checks: [], writes: [{ table: PARTITION_TABLE, key: self.entry, value: JSON.stringify(row) }], deletes: [] })
      if (result.isOk() || stopping) return
      await new Promise<void>((resolve) => { clock.setTimer(WRITE_RETRY_MS, resolve) })
    }
  }
  registerSelf().catch(failProcess)
  events.record(entryStarted, { ...self, linkAddress: options.linkAddress })

  return {
    desk,
    readConfig: config.readConfig,
    isFresh: config.isFresh,
    isReady: () => !stopping && config.readConfig() !== null && config.isFresh() && !table.isSuspect(),
    listSessions: cells.listSessions,
    countHeld: () => terms.size,
    release: async () => {
      stopping = true
      events.record(entryStopping, { cells: [...terms.keys()] })
      mesh.broadcastMessage({ type: 'entryLeaving' })
      const held = [...terms]
      terms.clear()
      const successors = chooseSuccessors(held.length)
      await Promise.all(held.map(async ([cell, term], index) => {
        const successor = successors[index] ?? null
        await term.release(successor)
        if (successor !== null) mesh.sendMessage(successor, { type: 'cellChanged', cell })
      }))
    },
    dispose: () => {
      disposables.dispose()
      for (const term of terms.values()) term.dispose()
    }
  }
}

/** Added to the time in which holders must not take turns, in milliseconds, for orders under way. */
const TURN_MARGIN_MS = 1000
