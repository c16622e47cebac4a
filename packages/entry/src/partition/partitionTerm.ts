/** One term of a partition's holder: connects its jobs, workers, advice and commits. */
import {
  createPartitionPlanner, createDisposableStore, isFinal,
  type ClusterConfig, type Clock, type Disposable, type EventLog, type JobPhase, type PartitionPlanner, type StartOrder, type TrySendQuery, type WorkerLoss
} from '@fuchsiatally/core'
import type { AdviceRouter } from './adviceRouter.js'
import { createCeilingClaims } from './ceilingClaims.js'
import { createPartitionCommits } from './partitionCommits.js'
import { LATE_LEASE_MEMORY_MS, MAX_MISSING_AS_CRASHED, MAX_STARTS_IN_FLIGHT, MAX_UNCONFIRMED_EXTENSION_MS, MAX_START_WAIT_MS, SLOW_START_RESPONSE_MS } from './constants.js'
import { computeLateLeaseMs, computeLeaseMs, computePriorLeaseBoundMs } from './leaseBounds.js'
import { createPartitionJobs } from './partitionJobs.js'
import type { HolderRow } from './partitionRows.js'
import { createHolderLoad } from './holderLoad.js'
import type { LoopMonitor } from './loopMonitor.js'
import { createJobCleanup } from './jobCleanup.js'
import { jobEnded, partitionReleased, workerIsolationChanged, workerLost, workerLeaving } from './events.js'
import type { ClockReading, PartitionBounds, PartitionTable, PartitionWorkerClient, ListedWorker, PlatformRows, TableRow } from './ports.js'
import { createPartitionWorkerController, type PartitionWorkerController } from './partitionWorkerController.js'
import { createPlanPacer } from './planPacer.js'
import { createStartWindow } from './startWindow.js'
import { createStateRows } from './stateRows.js'
import { createWorkerDirectory } from './workerDirectory.js'
import { formatLostRuns, recordGivenUp } from './workerLosses.js'

export interface PartitionTermOptions {
  /** Name of the partition, which is the service of its workers. */
  readonly partition: string
  readonly row: HolderRow
  readonly version: number
  /** Time from which the term counts as confirmed. */
  readonly confirmedAt: ClockReading
  readonly table: PartitionTable
  readonly rows: PlatformRows
  readonly bounds: PartitionBounds
  readonly clock: Clock
  /** Event loop of this process. */
  readonly loop: LoopMonitor
  readonly events: EventLog
  readonly advice: AdviceRouter
  readonly readConfig: () => ClusterConfig | null
  readonly createWorkerClient: (worker: ListedWorker) => PartitionWorkerClient
  readonly createPlanner?: () => PartitionPlanner
  /** The table does not accept this entry's commits, although it may accept those of others. */
  readonly onStuck: () => void
  readonly onDeposed: () => void
}

/** A running term. */
export interface PartitionTerm extends Disposable {
  readonly epoch: number
  applyPushedRow: (key: string, value: string) => void
  /** Applies the row of all partitions' claims on ceilings. */
  applyClaims: (row: TableRow) => void
  /** Committed phase of a job, or `null` if this holder does not know it. */
  readCommittedPhase: (job: string) => JobPhase | null
  applyConfig: (config: ClusterConfig) => void
  /** Hands the partition over to the given incarnation, or to any entry. */
  release: (successor: string | null) => Promise<void>
}

/** A worker that this term controls. */
interface ManagedWorker {
  listing: ListedWorker
  controller: PartitionWorkerController
  /** Whether the worker has disappeared from the platform's list. */
  isUnlisted: boolean
}

export function createPartitionTerm (options: PartitionTermOptions): PartitionTerm {
  const { partition, row, clock, events, advice } = options
  const disposables = createDisposableStore()
  const planner = (options.createPlanner ?? createPartitionPlanner)()
  const load = disposables.add(createHolderLoad({ partition, epoch: row.epoch, clock, events, readBacklog: planner.countBacklog }))
  const startWindow = createStartWindow({
    limit: MAX_STARTS_IN_FLIGHT, slowResponseMs: SLOW_START_RESPONSE_MS, clock, maxWaitMs: MAX_START_WAIT_MS, onQueueEmpty: () => commits.wake()
  })
  const stateRows = createStateRows(events)
  const managedWorkers = new Map<string, ManagedWorker>()
  const listings = new Map<string, ListedWorker>()
  /** Worker that was listed last at each address, of any service. */
  const newestByAddress = new Map<string, string>()
  const committedPhases = new Map<string, JobPhase>()
  const startedAtMs = clock.nowMs()
  let disposed = false

  const dispose = (): void => {
    if (disposed) return
    disposed = true
    disposables.dispose()
    for (const { controller } of managedWorkers.values()) controller.dispose()
  }

  const endTerm = (): void => {
    if (disposed) return
    dispose()
    options.onDeposed()
  }

  const computeGrantMs = (): number | null => {
    const confirmedAgeMs = commits.readConfirmedAgeMs()
    if (confirmedAgeMs >= MAX_UNCONFIRMED_EXTENSION_MS) return null
    return options.loop.isLate(LATE_LEASE_MEMORY_MS) ? computeLateLeaseMs(options.bounds.maxLeaseMs, confirmedAgeMs) : computeLeaseMs(options.bounds.maxLeaseMs)
  }

  const addWorker = (listing: ListedWorker): void => {
    const controller = createPartitionWorkerController({
      worker: listing.id,
      address: listing.address,
      client: options.createWorkerClient(listing),
      epoch: row.epoch,
      termStartedAtMs: startedAtMs,
      maxLeaseMs: options.bounds.maxLeaseMs,
      planner,
      clock,
      events,
      load,
      startWindow,
      computeGrantMs,
      readListedBirthMs: () => managedWorkers.get(listing.id)?.listing.bornAtMs ?? listing.bornAtMs ?? null,
      onChange: () => commits.wake(),
      isDraining: () => managedWorkers.get(listing.id)?.listing.draining ?? false,
      onReplaced: () => recordReplaced(listing.id),
      isReplaced: () => newestByAddress.get(managedWorkers.get(listing.id)?.listing.address ?? listing.address) !== listing.id,
      onDeposed: endTerm
    })
    managedWorkers.set(listing.id, { listing, controller, isUnlisted: false })
    for (const stop of planner.listOrderedStops(listing.id)) controller.stopRun(stop)
  }

  /** Another worker responds, or is listed, at the address of one that may have been lost before. */
  const recordReplaced = (worker: string): void => {
    const givenUp = planner.recordWorkerReplaced(worker, clock.nowMs(), clock.wallMs())
    recordGivenUp(events, worker, givenUp)
    if (givenUp.length > 0) commits.wake()
  }

  /** A worker that is listed at the address of another one replaces it, unless both have been listed before. */
  const recordAddress = (listing: ListedWorker): void => {
    if (listings.get(listing.id)?.address === listing.address) return
    const previous = newestByAddress.get(listing.address)
    newestByAddress.set(listing.address, listing.id)
    if (previous !== undefined && previous !== listing.id) recordReplaced(previous)
  }

  /**
   * Gives a worker no new runs that is no longer listed for this partition. It may still be alive and only cut off from the table: its lease is
   * renewed until its runs are over.
   */
  const drainWorker = (id: string): void => {
    const member = managedWorkers.get(id)
    if (member === undefined) return
    member.isUnlisted = true
    planner.setWorker({ ...member.listing, draining: true })
  }

  const applyListing = (listing: ListedWorker): void => {
    recordAddress(listing)
    listings.set(listing.id, listing)
    if (!jobs.isLoaded()) return
    if (listing.service !== partition) {
      drainWorker(listing.id)
      return
    }
    const existing = managedWorkers.get(listing.id)
    if (listing.draining && existing?.listing.draining === false) events.record(workerLeaving, { worker: listing.id })
    planner.setWorker(listing)
    if (existing === undefined) {
      addWorker(listing)
      return
    }
    if (existing.listing.address !== listing.address) existing.controller.setClient(options.createWorkerClient(listing), listing.address)
    existing.listing = listing
    existing.isUnlisted = false
    commits.wake()
  }

  const buildLoss = (kind: WorkerLoss['kind']): WorkerLoss => ({ kind, failedAtMs: clock.nowMs(), nowMs: clock.nowMs(), wallMs: clock.wallMs() })

  const removeUnlistedWorkers = (): void => {
    for (const [id, member] of managedWorkers) {
      if (!member.isUnlisted || !member.controller.isQuiescent()) continue
      member.controller.dispose()
      managedWorkers.delete(id)
      planner.recordWorkerLost(id, buildLoss('left'))
      planner.removeWorker(id)
    }
  }

  /** Removes workers with runs of earlier terms that were never listed in this term, once all their leases must have expired. */
  const removeNeverListedWorkers = (): void => {
    if (clock.nowMs() - startedAtMs < computePriorLeaseBoundMs(options.bounds.maxLeaseMs)) return
    const missing = planner.listWorkers().filter((id) => !managedWorkers.has(id))
    // A single worker may have crashed shortly before this term; several are missing after an outage.
    const loss = buildLoss(missing.length <= MAX_MISSING_AS_CRASHED ? 'refused' : 'missing')
    for (const id of missing) {
      const outcome = planner.recordWorkerLost(id, loss)
      events.record(workerLost, {
        worker: id,
        reason: 'not listed in this term, and all its leases have expired',
        cause: 'unlisted',
        kind: loss.kind,
        ...formatLostRuns(outcome)
      })
      recordGivenUp(events, id, outcome.givenUp)
      planner.removeWorker(id)
    }
  }

  const recordUnlisted = (id: string): void => {
    listings.delete(id)
    drainWorker(id)
  }

  const tryRequestAdvice: TrySendQuery = (request) => advice.trySubmit(request, (tickets, expectedAtMs) => {
    if (disposed) return
    const nowMs = clock.nowMs()
    const arrivedAtMs = Math.max(nowMs - options.loop.readLongestDelayMs(), Math.min(nowMs, expectedAtMs))
    if (tickets === null) planner.recordAdviceFailed(request, nowMs)
    else planner.recordAdvice(request, tickets, arrivedAtMs)
    commits.wake()
  })

  const plan = (maxTicketedStarts: number): readonly StartOrder[] => {
    if (!jobs.isLoaded()) return []
    removeUnlistedWorkers()
    removeNeverListedWorkers()
    const decisions = planner.decide(clock.nowMs(), clock.wallMs(), tryRequestAdvice, { canSend: advice.canSubmit, maxTicketedStarts })
    for (const { blocked } of planner.listTeamDemand().values()) if (blocked.memoryMb > 0) ceilings.scheduleReview()
    for (const change of decisions.isolation) events.record(workerIsolationChanged, { cell: partition, ...change })
    for (const stop of decisions.stops) managedWorkers.get(stop.worker)?.controller.stopRun(stop)
    return decisions.starts
  }

  const jobs = disposables.add(createPartitionJobs({
    partition,
    table: options.table,
    planner,
    stateRows,
    clock,
    events,
    onLoaded: () => {
      for (const listing of [...listings.values()]) applyListing(listing)
      ceilings.scheduleReview()
    },
    onOrphanedCrashes: (ids) => commits.deleteStates(ids),
    onWithdrawnExpired: (ids) => cleanup.addWithdrawn(ids),
    statusMs: options.bounds.statusMs,
    onChange: () => commits.wake()
  }))

  const ceilings = disposables.add(createCeilingClaims({
    partition,
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
    partition,
    row,
    version: options.version,
    confirmedAt: options.confirmedAt,
    table: options.table,
    planner,
    stateRows,
    clock,
    events,
    load,
    statusMs: options.bounds.statusMs,
    isLoaded: () => jobs.isLoaded(),
    listControllers: () => [...managedWorkers.values()].map((member) => member.controller),
    pacer: createPlanPacer(clock),
    plan,
    countStartRoom: startWindow.countRoom,
    startRun: (order, commitMs) => {
      const member = managedWorkers.get(order.worker)
      if (member === undefined || member.isUnlisted || member.listing.draining) planner.recordStartRefused(order, 'notSent', clock.nowMs())
      else member.controller.startRun(order, commitMs)
    },
    onCommitted: (ids) => {
      for (const id of ids) {
        const phase = planner.readPhase(id)
        if (phase === null || planner.isChanged(id)) continue
        if (isFinal(phase) && committedPhases.get(id) !== phase) events.record(jobEnded, { job: id, phase })
        committedPhases.set(id, phase)
      }
    },
    onJobsExpired: (ids) => {
      for (const id of ids) committedPhases.delete(id)
      cleanup.add(ids)
    },
    onStuck: options.onStuck,
    onDeposed: endTerm
  }))

  const cleanup = disposables.add(createJobCleanup({
    partition, table: options.table, clock, isOfEarlierVersion: jobs.isOfEarlierVersion, onDeleted: commits.deleteStates
  }))

  disposables.add(createWorkerDirectory({
    table: options.table, rows: options.rows, clock, events, onWorker: applyListing, onUnlisted: recordUnlisted
  }))

  return {
    epoch: row.epoch,
    applyPushedRow: jobs.applyPushedRow,
    applyClaims: ceilings.applyFeedRow,
    readCommittedPhase: (id) => committedPhases.get(id) ?? null,
    applyConfig: () => {
      commits.wake()
    },
    release: async (successor) => {
      await commits.release(successor)
      events.record(partitionReleased, { cell: partition, epoch: row.epoch, successor })
      dispose()
    },
    dispose
  }
}
