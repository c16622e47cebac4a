/** Which workers this entry owns: rows `owner/<worker>`, changed by compare-and-set in batches. */
import { CellRow, createDecoder, createDisposableStore, OWNER_PREFIX, SESSION_ALLOWANCE_MS, SESSION_TTL_MS } from '@fuchsiatally/core'
import type { Clock, EventLog, Random, Row, RowCheck, Transaction, Vm } from '@fuchsiatally/core'
import type { PlatformClient, TransactionOutcome } from '@fuchsiatally/table'
import type { PollInfo } from '../failureDomain/tablePoll.js'
import type { SessionService } from '../failureDomain/sessions.js'
import { createOutageLog } from '../failureDomain/outageLog.js'
import { ownershipConflict, ownershipSettled, ownershipUnsettled, workerDisowned, workersGiven, workersTaken } from './events.js'
import { createOwnerRows } from './ownerRows.js'
import { collectChanges, collectGifts, createOwnerChooser, formatOwnerKey } from './ownershipPlan.js'
import type { OwnershipChange, OwnershipPlanOptions } from './ownershipPlan.js'
import { createVmDirectory } from './vmDirectory.js'

/** Most rows changed in one transaction. */
const MAX_BATCH = 64
/** Wait before a transaction of unknown fate is sent again, in milliseconds. */
const SETTLE_RETRY_MS = 500
/** Pause after a conflict in a planned stop, in milliseconds. */
const RELEASE_PAUSE_MS = 50
/** Transactions that a planned stop tries before it leaves the rest to its session's end. */
const MAX_RELEASE_ROUNDS = 40

/** A worker that this entry may command under an epoch. */
export interface OwnedEpoch {
  readonly vm: Vm
  readonly epoch: number
  /** This entry owned the worker all the time since the epoch that it was told before. */
  readonly continuous: boolean
}

/** Receives the news; each call follows a read of the table that shows them. */
export interface OwnershipListener {
  handleOwned: (owned: OwnedEpoch) => void
  handleDisowned: (worker: string) => void
  /** The VM of an owned worker was listed with other contents. */
  handleVm: (vm: Vm) => void
}

/** Options of the ownership. */
export interface OwnershipOptions {
  readonly sessions: SessionService
  readonly platform: PlatformClient
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  /** Key of the row of the cell's scheduler role, read in one snapshot with the owner rows. */
  readonly cellKey: string
}

/** Ownership of workers by this entry. */
export interface Ownership {
  start: (listener: OwnershipListener) => void
  /** Ends; `release` hands every worker over first. Call `sessions.setLeaving()` before and `sessions.stop` after. */
  stop: (release: boolean) => Promise<void>
  /** Asks for an epoch of at least `minEpoch` of an owned worker. */
  updateEpoch: (worker: string, minEpoch: number) => void
  /** The worker accepted a contact of the epoch: all earlier owners are shut out. */
  recordContact: (worker: string, epoch: number) => void
  /**
   * A time at which the rows of all owned workers named this entry: that of the last session renewal which a read of the
   * rows is known to be younger than. Nobody else had taken them over by then.
   */
  readConfirmedMs: () => number
  /** Epoch of the scheduler role as of the last read; at least as new as every row handed out. */
  readCellEpoch: () => number
  /** The last VM list. */
  listVms: () => readonly Vm[]
  isVmListRead: () => boolean
  /**
   * Whether an incarnation can never command a worker again: its session is removed for good, and each worker that
   * it owned has accepted a later owner or is gone. The incarnation must have been read from the table.
   */
  isFenced: (incarnation: string) => boolean
}

const decodeCellRow = createDecoder(CellRow)
const NO_HOLDER: CellRow = { incarnation: '', epoch: 0 }

interface HandedOut {
  epoch: number
  /** Version of the row up to which the ownership is known to be unbroken. */
  version: number
  vm: Vm
}

/** Creates the ownership; nothing is sent before `start`. */
export function createOwnership (options: OwnershipOptions): Ownership {
  const { sessions, platform, clock, random, log } = options
  const store = createDisposableStore()
  const outage = createOutageLog({ log, clock, failed: ownershipUnsettled, recovered: ownershipSettled })
  const rows = createOwnerRows(log)
  const chooser = createOwnerChooser()
  const handedOut = new Map<string, HandedOut>()
  const wantedEpochs = new Map<string, number>()
  const contactedEpochs = new Map<string, number>()
  /** Revision at which a change by this entry was settled: reads from there on show all that came before it. */
  const settledRevisions = new Map<string, number>()
  /** When each incarnation that was asked for was first found removed. */
  const removedSinceMs = new Map<string, number>()
  let listener: OwnershipListener | null = null
  let confirmedMs = -Infinity
  let hasPolled = false
  let cellEpoch = 0
  let state: 'idle' | 'running' | 'releasing' | 'stopped' = 'idle'
  let committing: Promise<boolean> | null = null
  let removing = false

  const directory = createVmDirectory({ platform, clock, random, log, onRead: () => handleVms() })
  store.add(directory)
  const plan: OwnershipPlanOptions = { sessions, directory, rows, wantedEpochs, contactedEpochs }

  const waitFor = (delayMs: number): Promise<void> => new Promise((resolve) => { clock.setTimer(delayMs, resolve) })
  const isStopped = (): boolean => state === 'stopped'
  const disown = (worker: string): void => {
    handedOut.delete(worker)
    wantedEpochs.delete(worker)
    contactedEpochs.delete(worker)
    log.record(workerDisowned, { worker, owner: rows.getOwner(worker)?.row?.incarnation ?? null })
    listener?.handleDisowned(worker)
  }
  const dropForeign = (): void => {
    for (const worker of [...handedOut.keys()]) {
      if (rows.getOwner(worker)?.row?.incarnation !== sessions.incarnation) disown(worker)
    }
  }
  const applyCellRow = (cellRows: readonly Row[]): void => {
    for (const row of cellRows) cellEpoch = Math.max(cellEpoch, decodeCellRow(row.value).unwrapOr(NO_HOLDER).epoch)
  }
  const handOut = (info: PollInfo): void => {
    for (const [worker, { row, version }] of rows.listOwners()) {
      if (row?.incarnation !== sessions.incarnation) continue
      const known = handedOut.get(worker)
      if (known?.epoch === row.epoch || info.revision < (settledRevisions.get(worker) ?? 0)) continue
      const vm = directory.getVm(worker)
      if (vm === undefined) continue
      const continuous = known !== undefined && known.version === version
      handedOut.set(worker, { epoch: row.epoch, version, vm })
      wantedEpochs.delete(worker)
      listener?.handleOwned({ vm, epoch: row.epoch, continuous })
    }
  }
  const handleVms = (): void => {
    for (const [worker, known] of handedOut) {
      const vm = directory.getVm(worker)!
      if (JSON.stringify(vm) === JSON.stringify(known.vm)) continue
      known.vm = vm
      listener?.handleVm(vm)
    }
    decide()
  }
  const handlePolled = (info: PollInfo): void => {
    hasPolled = true
    dropForeign()
    // A read may be answered from an old snapshot, so its own sending does not tell its age.
    const renewal = sessions.readLastRenewal()
    if (renewal !== null && info.revision >= renewal.revision) confirmedMs = renewal.sentMs
    handOut(info)
    decide()
    removeExpiredSessions()
  }
  /** Sends until the fate is known; the same transaction each time, so that it is applied at most once. */
  const sendUntilSettled = async (transaction: Transaction): Promise<TransactionOutcome | null> => {
    while (!isStopped()) {
      const answer = await platform.transact(transaction)
      if (answer.isOk()) {
        outage.recordSuccess()
        return answer.value
      }
      outage.recordFailure({ kind: answer.error.kind, message: answer.error.message })
      await waitFor(SETTLE_RETRY_MS)
    }
    return null
  }
  const applySettled = (changes: readonly OwnershipChange[], revision: number): void => {
    for (const { worker, previous } of changes) {
      settledRevisions.set(worker, revision)
      const known = handedOut.get(worker)
      // Nobody else wrote the row in between, so the unbroken ownership reaches to the new version.
      if (known !== undefined && known.version === previous?.checkVersion) known.version += 1
    }
    dropForeign()
  }
  const commit = async (changes: readonly OwnershipChange[]): Promise<boolean> => {
    const own = sessions.readOwnCheck()
    if (own === null) return false
    const outcome = await sendUntilSettled(buildTransaction(random.nextId(), own, changes))
    if (outcome === null) return false
    rows.applyRows(outcome.rows.filter((row) => row.key.startsWith(OWNER_PREFIX)))
    if (outcome.kind === 'applied') {
      recordChanges(log, changes)
      applySettled(changes, outcome.revision)
      sessions.sendPoll()
      return true
    }
    // The next regular read decides again: reading at once could go round without a pause.
    log.record(ownershipConflict, { workers: changes.length })
    return false
  }
  const startCommit = (changes: readonly OwnershipChange[]): Promise<boolean> => {
    const started = commit(changes.slice(0, MAX_BATCH)).finally(() => {
      committing = null
    })
    committing = started
    return started
  }
  const decide = (): void => {
    if (state !== 'running' || committing !== null) return
    if (!hasPolled || !directory.isRead() || !sessions.isValid()) return
    const changes = collectChanges(plan, chooser)
    if (changes.length > 0) startCommit(changes).catch(() => {})
  }
  /** Rows of dead incarnations that own nothing any more go away, which makes their end final. */
  const removeExpiredSessions = (): void => {
    if (state !== 'running' || removing || !sessions.isValid()) return
    const dead = sessions.listSessions().find((session) =>
      session.expired && session.incarnation !== sessions.incarnation && !hasWorkers(session.incarnation))
    if (dead === undefined) return
    removing = true
    sessions.removeExpired(dead.incarnation).finally(() => {
      removing = false
    })
  }
  const hasWorkers = (incarnation: string): boolean =>
    rows.listUnfenced(incarnation).some((worker) => directory.getVm(worker)?.state !== 'gone')
  /** Whether an incarnation was found removed so long ago that its own view of its session has ended too. */
  const isSettled = (incarnation: string): boolean => {
    const sinceMs = removedSinceMs.get(incarnation)
    if (sinceMs === undefined) removedSinceMs.set(incarnation, clock.nowMs())
    return sinceMs !== undefined && clock.nowMs() - sinceMs >= SESSION_TTL_MS + SESSION_ALLOWANCE_MS
  }
  const release = async (): Promise<void> => {
    for (let round = 0; round < MAX_RELEASE_ROUNDS; round += 1) {
      await committing
      const gifts = collectGifts(plan)
      if (gifts.length === 0 || sessions.readOwnCheck() === null) return
      // A conflict is most often a session renewal in flight.
      if (!await startCommit(gifts)) await waitFor(RELEASE_PAUSE_MS)
    }
  }
  return {
    start: (newListener) => {
      if (state !== 'idle') return
      state = 'running'
      listener = newListener
      store.add(sessions.addPoll({ key: options.cellKey }, applyCellRow))
      store.add(sessions.addPoll({ prefix: OWNER_PREFIX }, (changed) => rows.applyRows(changed)))
      store.add(sessions.onPolled(handlePolled))
      directory.sendRead()
    },
    stop: async (isRelease) => {
      if (state === 'running' && isRelease) {
        state = 'releasing'
        await release()
      }
      state = 'stopped'
      store.dispose()
      await committing
      for (const worker of [...handedOut.keys()]) disown(worker)
    },
    updateEpoch: (worker, minEpoch) => {
      wantedEpochs.set(worker, Math.max(minEpoch, wantedEpochs.get(worker) ?? 0))
      decide()
    },
    recordContact: (worker, epoch) => {
      contactedEpochs.set(worker, epoch)
    },
    readConfirmedMs: () => confirmedMs,
    readCellEpoch: () => cellEpoch,
    listVms: () => [...directory.listVms()],
    isVmListRead: directory.isRead,
    isFenced: (incarnation) => sessions.isRemoved(incarnation) && !hasWorkers(incarnation) && isSettled(incarnation)
  }
}

function buildTransaction (writeId: string, own: RowCheck, changes: readonly OwnershipChange[]): Transaction {
  const checks = new Map<string, RowCheck>([[own.key, own]])
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
    if (kind === 'give' || kind === 'remove') log.record(workersGiven, { workers, reason: kind })
    else log.record(workersTaken, { workers, reason: kind })
  }
}
