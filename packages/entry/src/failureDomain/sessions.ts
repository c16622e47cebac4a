/** This entry's session row and its view of the others' rows. */
import { createDecoder, createSessionHolder, createSessionObserver, SESSION_PREFIX, SESSION_RENEWAL_MS, SessionRow } from '@fuchsiatally/core'
import type {
  Clock, Disposable, EventLog, ObservedSession, Random, Row, RowCheck, SessionChange, Transaction
} from '@fuchsiatally/core'
import type { PlatformClient, TransactionOutcome } from '@fuchsiatally/table'
import type { Sessions, SessionView } from '../ports.js'
import {
  sessionLost, sessionRegistered, sessionReleased, sessionReleaseFailed, sessionRemoved, sessionRenewalFailed,
  sessionRenewalRecovered, sessionReplaced, tableRowMalformed
} from './events.js'
import { createOutageLog } from './outageLog.js'
import { createTablePoll } from './tablePoll.js'
import type { PollInfo, PollReceiver, PollTarget, TablePoll } from './tablePoll.js'

/** Wait before a renewal of unknown fate is sent again, in milliseconds. */
const RENEWAL_RETRY_MS = 250
/** How often a planned stop tries to delete the row. */
const RELEASE_TRIES = 3

/** Options of an entry's sessions. */
export interface SessionsOptions {
  /** Name of this entry, unique among the cell's entry VMs. */
  readonly entry: string
  /** Random identity of this process; default: made by `random`. */
  readonly incarnation?: string
  readonly failureDomain: string
  /** `host:port` of the link listener. */
  readonly linkAddress: string
  /** `host:port` of the HTTP listener. */
  readonly httpAddress: string
  readonly platform: PlatformClient
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  /** Version of the configuration in force, reported in the row; default: always 0. */
  readonly readConfigVersion?: () => number
  /** Runs once when the row belongs to another incarnation or was removed: this process must stop. */
  readonly onLost?: () => void
}

/** The last good renewal. */
export interface RenewalInfo {
  /** Time before it was first sent. */
  readonly sentMs: number
  /** Revision of the table at which it was settled: a read that shows this revision is younger than `sentMs`. */
  readonly revision: number
}

/** Sessions with their life cycle and the poll that others share. */
export interface SessionService extends Sessions {
  /** Begins to register, renew and observe. */
  start: () => void
  /** Marks the row as leaving at once; the others hand this entry nothing more. */
  setLeaving: () => void
  /** Ends everything; `release` deletes the row so that nobody waits for its expiry. */
  stop: (release: boolean) => Promise<void>
  /** Follows a row or prefix in the combined read of each second. */
  addPoll: (target: PollTarget, receive: PollReceiver) => Disposable
  /** Runs after each successful read, when all its rows were handed out. */
  onPolled: (receive: (info: PollInfo) => void) => Disposable
  /** Reads the table at once. */
  sendPoll: () => void
  /** Check for transactions that only a registered incarnation may commit; `null` before registration and after loss. */
  readOwnCheck: () => RowCheck | null
  readLastRenewal: () => RenewalInfo | null
  /** Whether no row names the incarnation any more: it can never be valid again. */
  isRemoved: (incarnation: string) => boolean
  /** Check that an expired session was not renewed; `null` if no row names the incarnation. */
  readSessionCheck: (incarnation: string) => RowCheck | null
  /** Deletes the row of an expired session unless it was renewed meanwhile. */
  removeExpired: (incarnation: string) => Promise<boolean>
}

const decodeRow = createDecoder(SessionRow)

/** Creates the sessions; nothing is sent before `start`. */
export function createSessions (options: SessionsOptions): SessionService {
  const { entry, failureDomain, platform, clock, random, log } = options
  const incarnation = options.incarnation ?? random.nextId()
  const key = SESSION_PREFIX + entry
  const holder = createSessionHolder()
  const outage = createOutageLog({ log, clock, failed: sessionRenewalFailed, recovered: sessionRenewalRecovered })
  const observer = createSessionObserver()
  let poll: TablePoll | null = null
  const earlySubscriptions: Array<(target: TablePoll) => Disposable> = []
  let ownVersion: number | null = null
  let lastRenewal: RenewalInfo | null = null
  let leaving = false
  let state: 'idle' | 'running' | 'stopped' | 'lost' = 'idle'
  let renewTimer: Disposable = { dispose: () => {} }
  let renewing: Promise<void> = Promise.resolve()

  const isRunning = (): boolean => state === 'running'
  const buildTransaction = (version: number, value: SessionRow | null): Transaction => ({
    writeId: random.nextId(),
    checks: [{ key, version }],
    writes: [{ key, value }]
  })
  const buildRow = (): SessionRow => ({
    incarnation,
    failureDomain,
    linkAddress: options.linkAddress,
    httpAddress: options.httpAddress,
    leaving,
    configVersion: options.readConfigVersion?.() ?? 0
  })
  const recordLoss = (row: Row | undefined): void => {
    if (state !== 'running') return
    state = 'lost'
    ownVersion = null
    holder.recordLost()
    log.record(sessionLost, { entry, incarnation, deleted: row === undefined || row.value === null })
    options.onLost?.()
  }
  const handleConflict = (rows: readonly Row[]): void => {
    holder.recordRefused()
    const row = rows.find((candidate) => candidate.key === key)
    const decoded = row === undefined ? undefined : decodeRow(row.value)
    if (decoded?.isOk() === true && decoded.value.incarnation === incarnation) ownVersion = row!.version
    else recordLoss(row)
  }
  const handleApplied = (outcome: Extract<TransactionOutcome, { kind: 'applied' }>): void => {
    const row = outcome.rows.find((candidate) => candidate.key === key)
    holder.recordApplied()
    lastRenewal = { sentMs: holder.readLastRenewalMs(), revision: outcome.revision }
    if (row === undefined) return
    // A lost answer may be settled only after the row was replaced by another incarnation.
    const decoded = decodeRow(row.value)
    if (decoded.isOk() && decoded.value.incarnation === incarnation) ownVersion = row.version
    else recordLoss(row)
  }
  /** Sends until the fate is known; the same transaction each time, so that it is applied at most once. */
  const sendUntilSettled = async (transaction: Transaction): Promise<TransactionOutcome | null> => {
    while (isRunning()) {
      holder.recordSend(clock.nowMs())
      const answer = await platform.transact(transaction)
      if (answer.isOk()) {
        outage.recordSuccess()
        return answer.value
      }
      outage.recordFailure({ kind: answer.error.kind, message: answer.error.message })
      await waitFor(clock, RENEWAL_RETRY_MS)
    }
    return null
  }
  const register = async (): Promise<void> => {
    let version = 0
    let conflicts = 0
    while (isRunning()) {
      const outcome = await sendUntilSettled(buildTransaction(version, buildRow()))
      if (outcome === null) return
      if (outcome.kind === 'applied') {
        handleApplied(outcome)
        log.record(sessionRegistered, { entry, incarnation, failureDomain })
        return
      }
      holder.recordRefused()
      const row = outcome.rows.find((candidate) => candidate.key === key)
      version = row?.version ?? 0
      if (row !== undefined && row.value !== null) log.record(sessionReplaced, { entry, incarnation })
      // Two processes of one name must not write against each other without a pause.
      if (conflicts > 0) await waitFor(clock, RENEWAL_RETRY_MS)
      conflicts += 1
    }
  }
  const renew = async (): Promise<void> => {
    if (ownVersion === null) await register()
    else {
      const outcome = await sendUntilSettled(buildTransaction(ownVersion, buildRow()))
      if (outcome?.kind === 'applied') handleApplied(outcome)
      if (outcome?.kind === 'conflict') handleConflict(outcome.rows)
    }
  }
  const runRenewal = (): void => {
    if (state !== 'running') return
    const startedMs = clock.nowMs()
    renewing = renew().then(() => {
      if (state !== 'running') return
      const delayMs = Math.max(0, SESSION_RENEWAL_MS - (clock.nowMs() - startedMs))
      renewTimer = clock.setTimer(delayMs, runRenewal)
    })
  }
  const toChange = (row: Row): SessionChange | null => {
    const name = row.key.slice(SESSION_PREFIX.length)
    if (row.value === null) return { entry: name, version: row.version, row: null }
    const decoded = decodeRow(row.value)
    if (decoded.isOk()) return { entry: name, version: row.version, row: decoded.value }
    log.record(tableRowMalformed, { key: row.key, message: decoded.error.message })
    return null
  }
  const receiveRows: PollReceiver = (rows, info) => {
    observer.recordRead(rows.map(toChange).filter((change) => change !== null), info.sentMs, info.receivedMs)
    const own = rows.find((row) => row.key === key)
    // A lower version is only a read that was overtaken by a renewal.
    if (own === undefined || ownVersion === null || own.version < ownVersion) return
    const decoded = decodeRow(own.value)
    if (decoded.isErr() || decoded.value.incarnation !== incarnation) recordLoss(own)
  }
  const startPoll = (): void => {
    poll = createTablePoll({ platform, clock, random, log })
    poll.addPoll({ prefix: SESSION_PREFIX }, receiveRows)
    for (const subscribe of earlySubscriptions) subscribe(poll)
    poll.sendPoll()
  }
  const subscribe = (add: (target: TablePoll) => Disposable): Disposable => {
    if (poll !== null) return add(poll)
    let added: Disposable | null = null
    let disposed = false
    earlySubscriptions.push((target) => {
      if (!disposed) added = add(target)
      return { dispose: () => {} }
    })
    return {
      dispose: () => {
        disposed = true
        added?.dispose()
      }
    }
  }
  const release = async (): Promise<boolean> => {
    for (let tries = 0; tries < RELEASE_TRIES && ownVersion !== null; tries += 1) {
      const answer = await platform.transact(buildTransaction(ownVersion, null))
      if (answer.isOk() && answer.value.kind === 'applied') return true
      const row = answer.isOk() ? answer.value.rows.find((candidate) => candidate.key === key) : undefined
      const decoded = row === undefined ? undefined : decodeRow(row.value)
      if (decoded?.isOk() === true && decoded.value.incarnation === incarnation) ownVersion = row!.version
    }
    return false
  }
  const isOwn = (observed: ObservedSession): boolean => observed.row.incarnation === incarnation
  const toView = (observed: ObservedSession): SessionView => ({
    ...observed.row,
    entry: observed.entry,
    leaving: isOwn(observed) ? leaving : observed.row.leaving,
    expired: isOwn(observed) ? !holder.isValid(clock.nowMs()) : observed.expired
  })
  return {
    entry,
    incarnation,
    failureDomain,
    isValid: () => holder.isValid(clock.nowMs()),
    readLastRenewalMs: holder.readLastRenewalMs,
    listSessions: () => observer.listObserved().map(toView),
    isGone: (other) => observer.isRemoved(other) || observer.findByIncarnation(other)?.expired === true,
    readLastRenewal: () => lastRenewal,
    isRemoved: observer.isRemoved,
    start: () => {
      if (state !== 'idle') return
      state = 'running'
      startPoll()
      runRenewal()
    },
    setLeaving: () => {
      if (leaving) return
      leaving = true
      renewTimer.dispose()
      renewing.then(() => {
        renewTimer.dispose()
        runRenewal()
      })
    },
    stop: async (isRelease) => {
      const wasRunning = state === 'running'
      state = 'stopped'
      renewTimer.dispose()
      poll?.dispose()
      await renewing
      holder.recordLost()
      if (!wasRunning || !isRelease) return
      log.record(await release() ? sessionReleased : sessionReleaseFailed, { entry, incarnation })
    },
    addPoll: (target, receive) => subscribe((table) => table.addPoll(target, receive)),
    onPolled: (receive) => subscribe((table) => table.onPolled(receive)),
    sendPoll: () => poll?.sendPoll(),
    readOwnCheck: () => ownVersion === null ? null : { key, version: ownVersion },
    readSessionCheck: (other) => {
      const observed = observer.findByIncarnation(other)
      return observed === undefined ? null : { key: SESSION_PREFIX + observed.entry, version: observed.version }
    },
    removeExpired: async (other) => {
      const observed = observer.findByIncarnation(other)
      if (observed === undefined || !observed.expired || isOwn(observed)) return false
      const rowKey = SESSION_PREFIX + observed.entry
      const answer = await platform.transact({
        writeId: random.nextId(),
        checks: [{ key: rowKey, version: observed.version }],
        writes: [{ key: rowKey, value: null }]
      })
      const removed = answer.isOk() && answer.value.kind === 'applied'
      if (removed) log.record(sessionRemoved, { entry: observed.entry, incarnation: other })
      return removed
    }
  }
}

function waitFor (clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimer(delayMs, resolve)
  })
}
