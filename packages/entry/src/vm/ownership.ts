/** Ownership of workers, stored in rows `owner/<worker>` and changed by compare-and-set in batches. */
import { CellRow, createDecoder, createDisposableStore, OWNER_PREFIX, SESSION_EXPIRY_MARGIN_MS, SESSION_TTL_MS } from '@fuchsiatally/core'
import type { Clock, EventLog, Random, Row, RowCheck, Transaction, Vm } from '@fuchsiatally/core'
import type { PlatformClient, TransactionOutcome } from '@fuchsiatally/table'
import type { PollInfo } from '../failureDomain/tablePoll.js'
import type { SessionService } from '../failureDomain/sessions.js'
import { createOutageLog } from '../failureDomain/outageLog.js'
import { ownershipConflict, ownershipWriteInDoubt, ownershipWriteResolved, workerOwnershipLost, workersAcquired, workersHandedOver } from './events.js'
import { createOwnerRows } from './ownerRows.js'
import { collectChanges, collectHandovers, createOwnerChooser, formatOwnerKey } from './ownershipPlan.js'
import type { OwnershipChange, OwnershipPlanOptions } from './ownershipPlan.js'
import { createVmDirectory } from './vmDirectory.js'

/** Maximum number of owner rows changed in one transaction. */
const MAX_ROWS_PER_TRANSACTION = 64
/** Delay before a transaction of unknown outcome is retried, in milliseconds. */
const IN_DOUBT_RETRY_DELAY_MS = 500
/** Delay after a conflict during graceful shutdown, in milliseconds. */
const RELEASE_RETRY_DELAY_MS = 50
/** Maximum number of handover transactions during graceful shutdown; other entries take over the remaining workers once the session has ended. */
const MAX_RELEASE_ROUNDS = 40

/** Worker that this entry may command under an epoch. */
export interface OwnedEpoch {
  readonly vm: Vm
  readonly epoch: number
  /** Whether this entry has owned the worker without interruption since the epoch of the previous notification. */
  readonly continuous: boolean
}

/** Receives ownership changes; each call follows a read of the table that shows the change. */
export interface OwnershipListener {
  handleAcquired: (owned: OwnedEpoch) => void
  handleLost: (worker: string) => void
  /** Called when the listed properties of an owned worker's VM have changed. */
  handleVmChange: (vm: Vm) => void
}

/** Options of worker ownership. */
export interface OwnershipOptions {
  readonly sessions: SessionService
  readonly platform: PlatformClient
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  /** Key of the scheduler role's row, which is read in the same snapshot as the owner rows. */
  readonly cellKey: string
}

/** Ownership of workers by this entry. */
export interface Ownership {
  start: (listener: OwnershipListener) => void
  /** Stops; with `release`, hands over all workers first. Call `sessions.setLeaving()` before and `sessions.stop` after. */
  stop: (release: boolean) => Promise<void>
  /** Requests that the epoch of an owned worker be raised to at least `minEpoch`. */
  requestEpoch: (worker: string, minEpoch: number) => void
  /** Records that the worker accepted a lease call of the epoch, which fences off all earlier owners. */
  recordContact: (worker: string, epoch: number) => void
  /**
   * Returns a time at which the rows of all owned workers named this entry, so that no other entry had taken them over:
   * the send time of the last session renewal that is covered by a read of the rows.
   */
  readConfirmedMs: () => number
  /** Returns the epoch of the scheduler role as of the last read; never older than the owner rows passed to the listener. */
  readCellEpoch: () => number
  /** Returns the last VM list read. */
  listVms: () => readonly Vm[]
  isVmListRead: () => boolean
  /**
   * Whether an incarnation can never command a worker again: its session is permanently removed, and each worker that
   * it owned has accepted a later owner or is gone. The incarnation must have been read from the table.
   */
  isFenced: (incarnation: string) => boolean
}

const decodeCellRow = createDecoder(CellRow)
const NO_HOLDER: CellRow = { incarnation: '', epoch: 0 }

interface AcquiredWorker {
  epoch: number
  /** Version of the row up to which ownership is known to be uninterrupted. */
  version: number
  vm: Vm
}

/** Creates the ownership of one entry; nothing is sent before `start`. */
export function createOwnership (options: OwnershipOptions): Ownership {
  const { sessions, platform, clock, random, log } = options
  const disposables = createDisposableStore()
  const outageLog = createOutageLog({ log, clock, failed: ownershipWriteInDoubt, recovered: ownershipWriteResolved })
  const rows = createOwnerRows(log)
  const chooser = createOwnerChooser()
  const acquired = new Map<string, AcquiredWorker>()
  const requestedEpochs = new Map<string, number>()
  const acceptedEpochs = new Map<string, number>()
  /** Revision at which this entry's last change to each worker's row was applied; only reads at or after it announce ownership, with a scheduler row as recent. */
  const appliedRevisions = new Map<string, number>()
  /** Time at which each queried incarnation was first found to be removed. */
  const removedSinceMs = new Map<string, number>()
  let listener: OwnershipListener | null = null
  let confirmedMs = -Infinity
  let hasPolled = false
  let cellEpoch = 0
  let state: 'idle' | 'running' | 'releasing' | 'stopped' = 'idle'
  let commitInFlight: Promise<boolean> | null = null
  let removalInFlight = false

  const directory = createVmDirectory({ platform, clock, random, log, onRead: () => handleVms() })
  disposables.add(directory)
  const plan: OwnershipPlanOptions = { sessions, directory, rows, requestedEpochs, acceptedEpochs }

  const waitFor = (delayMs: number): Promise<void> => new Promise((resolve) => { clock.setTimer(delayMs, resolve) })
  const isStopped = (): boolean => state === 'stopped'
  const dropWorker = (worker: string): void => {
    acquired.delete(worker)
    requestedEpochs.delete(worker)
    acceptedEpochs.delete(worker)
    log.record(workerOwnershipLost, { worker, owner: rows.getRow(worker)?.row?.incarnation ?? null })
    listener?.handleLost(worker)
  }
  const dropReassigned = (): void => {
    for (const worker of [...acquired.keys()]) {
      if (rows.getRow(worker)?.row?.incarnation !== sessions.incarnation) dropWorker(worker)
    }
  }
  const applyCellRow = (cellRows: readonly Row[]): void => {
    for (const row of cellRows) cellEpoch = Math.max(cellEpoch, decodeCellRow(row.value).unwrapOr(NO_HOLDER).epoch)
  }
  const notifyAcquired = (info: PollInfo): void => {
    for (const [worker, { row, version }] of rows.listRows()) {
      if (row?.incarnation !== sessions.incarnation) continue
      const known = acquired.get(worker)
      if (known?.epoch === row.epoch || info.revision < (appliedRevisions.get(worker) ?? 0)) continue
      const vm = directory.getVm(worker)
      if (vm === undefined) continue
      const continuous = known !== undefined && known.version === version
      acquired.set(worker, { epoch: row.epoch, version, vm })
      requestedEpochs.delete(worker)
      listener?.handleAcquired({ vm, epoch: row.epoch, continuous })
    }
  }
  const handleVms = (): void => {
    for (const [worker, known] of acquired) {
      const vm = directory.getVm(worker)!
      if (JSON.stringify(vm) === JSON.stringify(known.vm)) continue
      known.vm = vm
      listener?.handleVmChange(vm)
    }
    startDueCommit()
  }
  const handlePolled = (info: PollInfo): void => {
    hasPolled = true
    dropReassigned()
    // A read may be served from an old snapshot, so the time at which it was sent does not bound its age.
    const renewal = sessions.readLastRenewal()
    if (renewal !== null && info.revision >= renewal.revision) confirmedMs = renewal.sentMs
    notifyAcquired(info)
    startDueCommit()
    removeExpiredSession()
  }
  /** Resends the same transaction, which is applied at most once, until its outcome is known; returns `null` if ownership is stopped first. */
  const sendUntilResolved = async (transaction: Transaction): Promise<TransactionOutcome | null> => {
    while (!isStopped()) {
      const response = await platform.transact(transaction)
      if (response.isOk()) {
        outageLog.recordSuccess()
        return response.value
      }
      outageLog.recordFailure({ kind: response.error.kind, message: response.error.message })
      await waitFor(IN_DOUBT_RETRY_DELAY_MS)
    }
    return null
  }
  const recordApplied = (changes: readonly OwnershipChange[], revision: number): void => {
    for (const { worker, previous } of changes) {
      appliedRevisions.set(worker, revision)
      const known = acquired.get(worker)
      // The version check excludes other writers, so ownership is uninterrupted up to the new version.
      if (known !== undefined && known.version === previous?.checkVersion) known.version += 1
    }
    dropReassigned()
  }
  const commit = async (changes: readonly OwnershipChange[]): Promise<boolean> => {
    const ownCheck = sessions.readOwnCheck()
    if (ownCheck === null) return false
    const outcome = await sendUntilResolved(buildTransaction(random.nextId(), ownCheck, changes))
    if (outcome === null) return false
    rows.applyRows(outcome.rows.filter((row) => row.key.startsWith(OWNER_PREFIX)))
    if (outcome.kind === 'applied') {
      recordChanges(log, changes)
      recordApplied(changes, outcome.revision)
      sessions.readNow()
      return true
    }
    // The changes are planned again after the next scheduled read; an immediate read could lead to a busy loop of conflicts.
    log.record(ownershipConflict, { workers: changes.length })
    return false
  }
  const startCommit = (changes: readonly OwnershipChange[]): Promise<boolean> => {
    const started = commit(changes.slice(0, MAX_ROWS_PER_TRANSACTION)).finally(() => {
      commitInFlight = null
    })
    commitInFlight = started
    return started
  }
  const startDueCommit = (): void => {
    if (state !== 'running' || commitInFlight !== null) return
    if (!hasPolled || !directory.isRead() || !sessions.isValid()) return
    const changes = collectChanges(plan, chooser)
    if (changes.length > 0) startCommit(changes).catch(() => {})
  }
  /** Removes the session row of one expired incarnation that can no longer command any existing worker, which makes the expiry final. */
  const removeExpiredSession = (): void => {
    if (state !== 'running' || removalInFlight || !sessions.isValid()) return
    const expiredSession = sessions.listSessions().find((session) =>
      session.expired && session.incarnation !== sessions.incarnation && !mayCommandWorkers(session.incarnation))
    if (expiredSession === undefined) return
    removalInFlight = true
    sessions.removeExpired(expiredSession.incarnation).finally(() => {
      removalInFlight = false
    })
  }
  const mayCommandWorkers = (incarnation: string): boolean =>
    rows.listCommandable(incarnation).some((worker) => directory.getVm(worker)?.state !== 'gone')
  /** Whether a removed incarnation's own view of its session has expired too. The time is counted from the first call for the incarnation. */
  const isSessionOver = (incarnation: string): boolean => {
    const sinceMs = removedSinceMs.get(incarnation)
    if (sinceMs === undefined) removedSinceMs.set(incarnation, clock.nowMs())
    return sinceMs !== undefined && clock.nowMs() - sinceMs >= SESSION_TTL_MS + SESSION_EXPIRY_MARGIN_MS
  }
  const release = async (): Promise<void> => {
    for (let round = 0; round < MAX_RELEASE_ROUNDS; round += 1) {
      await commitInFlight
      const handovers = collectHandovers(plan)
      if (handovers.length === 0 || sessions.readOwnCheck() === null) return
      // Most conflicts are caused by a session renewal in flight.
      if (!await startCommit(handovers)) await waitFor(RELEASE_RETRY_DELAY_MS)
    }
  }
  return {
    start: (newListener) => {
      if (state !== 'idle') return
      state = 'running'
      listener = newListener
      disposables.add(sessions.addSubscription({ key: options.cellKey }, applyCellRow))
      disposables.add(sessions.addSubscription({ prefix: OWNER_PREFIX }, (changed) => rows.applyRows(changed)))
      disposables.add(sessions.onPolled(handlePolled))
      directory.startRead()
    },
    stop: async (isRelease) => {
      if (state === 'running' && isRelease) {
        state = 'releasing'
        await release()
      }
      state = 'stopped'
      disposables.dispose()
      await commitInFlight
      for (const worker of [...acquired.keys()]) dropWorker(worker)
    },
    requestEpoch: (worker, minEpoch) => {
      requestedEpochs.set(worker, Math.max(minEpoch, requestedEpochs.get(worker) ?? 0))
      startDueCommit()
    },
    recordContact: (worker, epoch) => {
      acceptedEpochs.set(worker, epoch)
    },
    readConfirmedMs: () => confirmedMs,
    readCellEpoch: () => cellEpoch,
    listVms: () => [...directory.listVms()],
    isVmListRead: directory.isRead,
    isFenced: (incarnation) => sessions.isRemoved(incarnation) && !mayCommandWorkers(incarnation) && isSessionOver(incarnation)
  }
}

function buildTransaction (writeId: string, ownCheck: RowCheck, changes: readonly OwnershipChange[]): Transaction {
  const checks = new Map<string, RowCheck>([[ownCheck.key, ownCheck]])
  const writes = []
  for (const { worker, previous, row, sessionCheck } of changes) {
    const key = formatOwnerKey(worker)
    checks.set(key, { key, version: previous?.checkVersion ?? 0 })
    if (sessionCheck !== null) checks.set(sessionCheck.key, sessionCheck)
    writes.push({ key, value: row })
  }
  return { writeId, checks: [...checks.values()], writes }
}

function recordChanges (log: EventLog, changes: readonly OwnershipChange[]): void {
  for (const kind of ['claim', 'take', 'raise', 'give', 'remove'] as const) {
    const workers = changes.filter((change) => change.kind === kind).map((change) => change.worker)
    if (workers.length === 0) continue
    if (kind === 'give' || kind === 'remove') log.record(workersHandedOver, { workers, reason: kind })
    else log.record(workersAcquired, { workers, reason: kind })
  }
}
