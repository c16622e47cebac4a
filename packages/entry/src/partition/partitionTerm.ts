/** One term of a cell's holder: jobs, workers, advice and commits together. */
import {
  createPartitionPlanner, createDisposableStore, isFinal,
  type ClusterConfig, type Clock, type Disposable, type EventLog, type JobPhase, type StartOrder, type TryAsk
} from '@fuchsiatally/core'
import type { AdviceDesk } from './adviceDesk.js'
import { createCeilingTask } from './ceilingTask.js'
import { createPartitionCommits } from './partitionCommits.js'
import { EXTENSION_OUTAGE_MS } from './constants.js'
import { computeUnknownLeaseMs } from './leaseBounds.js'
import { createPartitionJobs } from './partitionJobs.js'
import type { HolderRow } from './holderRow.js'
import { createJobSweep } from './jobSweep.js'
import { jobEnded, partitionReleased, workerLapsed, workerLeaving } from './events.js'
import type { PartitionBounds, PartitionTable, PartitionWorkerClient, ListedWorker, PlatformRows } from './ports.js'
import { createWorkerContact, type WorkerContact } from './workerContact.js'
import { createWorkerDirectory } from './workerDirectory.js'

/** Options of a term. */
export interface PartitionTermOptions {
  /** The cell is named after the service that its workers belong to. */
  readonly cell: string
  readonly row: HolderRow
  readonly version: number
  readonly table: PartitionTable
  readonly rows: PlatformRows
  readonly bounds: PartitionBounds
  readonly clock: Clock
  readonly events: EventLog
  readonly advice: AdviceDesk
  readonly readConfig: () => ClusterConfig | null
  readonly createWorkerClient: (worker: ListedWorker) => PartitionWorkerClient
  /** The table does not take this entry's commits, though it may take those of others. */
  readonly onStuck: () => void
  readonly onDeposed: () => void
}

/** A running term. */
export interface PartitionTerm extends Disposable {
  readonly epoch: number
  acceptNews: (key: string, value: string) => void
  /** Phase of a job as the table has it, or `null` if this holder doesn't know. */
  readCommittedPhase: (job: string) => JobPhase | null
  applyConfig: (config: ClusterConfig) => void
  /** Hands the cell on to the entry of an incarnation, or to any. */
  release: (successor: string | null) => Promise<void>
}

interface Member {
  listing: ListedWorker
  contact: WorkerContact
  /** No longer in the platform's list. */
  gone: boolean
}

/** Starts a term. */
export function createPartitionTerm (options: PartitionTermOptions): PartitionTerm {
  const { cell, row, clock, events, advice } = options
  const disposables = createDisposableStore()
  const planner = createPartitionPlanner()
  const members = new Map<string, Member>()
  const listings = new Map<string, ListedWorker>()
  const committed = new Map<string, JobPhase>()
  const startedAtMs = clock.nowMs()
  let disposed = false

  const dispose = (): void => {
    if (disposed) return
    disposed = true
    disposables.dispose()
    for (const { contact } of members.values()) contact.dispose()
  }

  const endTerm = (): void => {
    if (disposed) return
    dispose()
    options.onDeposed()
  }

  const addMember = (listing: ListedWorker): void => {
    const contact = createWorkerContact({
      worker: listing.id,
      client: options.createWorkerClient(listing),
      epoch: row.epoch,
      maxLeaseMs: options.bounds.maxLeaseMs,
      planner,
      clock,
      events,
      mayExtend: () => commits.readConfirmedAgeMs() < EXTENSION_OUTAGE_MS,
      onNews: () => commits.wake(),
      onDeposed: endTerm
    })
    members.set(listing.id, { listing, contact, gone: false })
  }

  const applyListing = (listing: ListedWorker): void => {
    listings.set(listing.id, listing)
    if (listing.service !== cell || !jobs.isLoaded()) return
    const known = members.get(listing.id)
    if (listing.draining && known?.listing.draining === false) events.record(workerLeaving, { worker: listing.id })
    planner.setWorker(listing)
    if (known !== undefined && known.listing.address === listing.address) {
      known.listing = listing
      known.gone = false
      commits.wake()
      return
    }
    known?.contact.dispose()
    addMember(listing)
  }

  const dropGone = (): void => {
    for (const [id, member] of members) {
      if (!member.gone || !member.contact.isOver()) continue
      member.contact.dispose()
      members.delete(id)
      planner.recordWorkerLost(id, clock.nowMs())
      planner.removeWorker(id)
    }
  }

  /** Workers that earlier terms gave runs to and that no list has shown since: nobody can tell of them but their leases. */
  const dropUnlisted = (): void => {
    if (clock.nowMs() - startedAtMs < computeUnknownLeaseMs(options.bounds.maxLeaseMs)) return
    for (const id of planner.listWorkers()) {
      if (members.has(id)) continue
      events.record(workerLapsed, { worker: id, reason: 'never listed in this term and past every lease' })
      planner.recordWorkerLost(id, clock.nowMs())
      planner.removeWorker(id)
    }
  }

  const recordGone = (id: string): void => {
    listings.delete(id)
    const member = members.get(id)
    if (member === undefined) return
    member.gone = true
    // It may live on, cut off from the table alone: it gets nothing new, but its lease goes on.
    planner.setWorker({ ...member.listing, draining: true })
  }

  const tryAsk: TryAsk = (question) => advice.tryAsk(question, (good) => {
    if (disposed) return
    if (good === null) planner.recordAdviceFailed(question, clock.nowMs())
    else planner.recordAdvice(question, good, clock.nowMs())
    commits.wake()
  })

  const plan = (): readonly StartOrder[] => {
    if (!jobs.isLoaded()) return []
    dropGone()
    dropUnlisted()
    const decisions = planner.decide(clock.nowMs(), clock.wallMs(), tryAsk)
    for (const { blocked } of planner.listTeamDemand().values()) if (blocked.memoryMb > 0) ceilings.wake()
    for (const stop of decisions.stops) members.get(stop.worker)?.contact.stopRun(stop)
    return decisions.starts
  }

  const jobs = disposables.add(createPartitionJobs({
    cell,
    table: options.table,
    planner,
    clock,
    events,
    onLoaded: () => {
      for (const listing of [...listings.values()]) applyListing(listing)
      ceilings.wake()
    },
    onNews: () => commits.wake()
  }))

  const ceilings = disposables.add(createCeilingTask({
    cell,
    epoch: row.epoch,
    table: options.table,
    planner,
    clock,
    events,
    readConfig: options.readConfig,
    listWorkers: () => [...listings.values()],
    isLoaded: () => jobs.isLoaded(),
    onLimits: () => commits.wake()
  }))

  const commits = disposables.add(createPartitionCommits({
    cell,
    row,
    version: options.version,
    table: options.table,
    planner,
    clock,
    events,
    statusMs: options.bounds.statusMs,
    isLoaded: () => jobs.isLoaded(),
    listContacts: () => [...members.values()].map((member) => member.contact),
    plan,
    startRun: (order) => {
      const member = members.get(order.worker)
      if (member === undefined || member.gone || member.listing.draining) planner.recordStartRefused(order, 'notSent', clock.nowMs())
      else member.contact.startRun(order)
    },
    onCommitted: (ids) => {
      for (const id of ids) {
        const phase = planner.readPhase(id)
        if (phase === null || planner.isChanged(id)) continue
        if (isFinal(phase) && committed.get(id) !== phase) events.record(jobEnded, { job: id, phase })
        committed.set(id, phase)
      }
    },
    onForgotten: (ids) => {
      for (const id of ids) committed.delete(id)
      sweep.add(ids)
    },
    onStuck: options.onStuck,
    onDeposed: endTerm
  }))

  const sweep = disposables.add(createJobSweep({ cell, table: options.table, clock, onDeleted: commits.dropStates }))

  disposables.add(createWorkerDirectory({
    table: options.table, rows: options.rows, clock, onWorker: applyListing, onGone: recordGone
  }))

  return {
    epoch: row.epoch,
    acceptNews: jobs.acceptNews,
    readCommittedPhase: (id) => committed.get(id) ?? null,
    applyConfig: () => {
      commits.wake()
    },
    release: async (successor) => {
      await commits.release(successor)
      events.record(partitionReleased, { cell, epoch: row.epoch, successor })
      dispose()
    },
    dispose
  }
}
