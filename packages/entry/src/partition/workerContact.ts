/** Contact of a cell's holder with one worker: its lease, its lists of runs, and the orders it is given. */
import { createDisposableStore, type PartitionPlanner, type Clock, type Disposable, type EventLog, type RunName, type StartOrder, type StopOrder } from '@fuchsiatally/core'
import {
  CLOCK_SLOWNESS, COMMIT_WAIT_MS, LEASE_MARGIN_MS, LEASE_RETRY_MS, LEASE_WAIT_MS, MIN_START_LEASE_MS, START_TIMEOUTS_MS, SUSPECT_PAUSE_MS, UNEXTENDED_WAIT_MS
} from './constants.js'
import { computeLeaseMs, computeUnknownLeaseMs } from './leaseBounds.js'
import { runEnded, runRefused, runStopping, runUnsettled, workerHeld, workerLapsed, workerSilent } from './events.js'
import { formatRun } from './formatRun.js'
import type { PartitionWorkerClient, LeaseAnswer } from './ports.js'
import { failProcess } from '../process/failProcess.js'

/** Options of a contact. */
export interface WorkerContactOptions {
  readonly worker: string
  readonly client: PartitionWorkerClient
  readonly epoch: number
  readonly maxLeaseMs: number
  readonly planner: PartitionPlanner
  readonly clock: Clock
  readonly events: EventLog
  /** Whether this holder was confirmed lately enough to extend leases. */
  readonly mayExtend: () => boolean
  /** A report or an order's fate changed the planner. */
  readonly onNews: () => void
  /** The worker obeys a higher epoch. */
  readonly onDeposed: () => void
}

/** Contact with one worker. */
export interface WorkerContact extends Disposable {
  startRun: (order: StartOrder) => void
  stopRun: (order: StopOrder) => void
  /** Remembers which of the listed ends the commit that begins now stores. */
  beginCommit: () => void
  /** That commit was applied. */
  finishCommit: () => void
  /** The platform's list does not show the worker any longer; `true` once nothing of it can run. */
  isOver: () => boolean
}

interface PendingEnd {
  readonly number: number
  readonly job: string
}

/** Starts the contact; it goes on until disposed. */
export function createWorkerContact (options: WorkerContactOptions): WorkerContact {
  const { worker, client, epoch, planner, clock, events } = options
  const disposables = createDisposableStore()
  const createdAtMs = clock.nowMs()
  const unsettled = new Map<string, RunName>()
  const stopping = new Set<string>()
  let disposed = false
  let held = false
  let lost = false
  let bornAtMs: number | null = null
  /** Reading of the worker's clock and when it was received. */
  let reading: { clockMs: number, receivedAtMs: number } | null = null
  let leaseUntilMs = -Infinity
  /** The last lease call asked for an extension. */
  let isExtended = false
  let processedEnd = 0
  let acknowledgedEnd = 0
  let storedEnd = 0
  let pendingEnds: PendingEnd[] = []
  let releaseWait: (() => void) | null = null
  let failures = 0

  const wait = (delayMs: number): Promise<void> => new Promise((resolve) => {
    const timer = clock.setTimer(delayMs, resolve)
    releaseWait = () => {
      timer.dispose()
      resolve()
    }
  })
  const waitFor = (delayMs: number): Promise<void> => new Promise((resolve) => { clock.setTimer(delayMs, resolve) })

  /** Least time that the worker's clock may show now: it may be slow, and a pause of this process is not counted. */
  const readWorkerClock = (): number | null => {
    if (reading === null) return null
    return reading.clockMs + (clock.nowMs() - reading.receivedAtMs) * (1 - CLOCK_SLOWNESS)
  }

  const computeLease = (): number | null => {
    const nowMs = readWorkerClock()
    return nowMs === null ? null : Math.floor(nowMs + computeLeaseMs(options.maxLeaseMs))
  }

  const endContact = (): void => {
    if (disposed) return
    dispose()
    options.onDeposed()
  }

  const setSuspect = (): void => planner.setSuspect(worker, clock.nowMs() + SUSPECT_PAUSE_MS)

  const recordSilence = (reason: string): void => {
    failures++
    setSuspect()
    if (!held || failures < 2) return
    held = false
    planner.setHeld(worker, false)
    events.record(workerSilent, { worker, reason })
    options.onNews()
  }

  const recordLoss = (reason: string): void => {
    lost = true
    held = false
    planner.recordWorkerLost(worker, clock.nowMs(), (run) => unsettled.has(formatRun(run)))
    events.record(workerLapsed, { worker, reason, unsettled: unsettled.size })
    options.onNews()
  }

  /** Time until every lease that any holder may have granted has run out, in milliseconds. */
  const computeLapseMs = (): number => {
    const nowMs = readWorkerClock()
    // Never reached in this term: the holder before may have renewed until it gave up.
    if (nowMs === null) return createdAtMs + computeUnknownLeaseMs(options.maxLeaseMs) - clock.nowMs()
    return (leaseUntilMs + LEASE_MARGIN_MS - nowMs) / (1 - CLOCK_SLOWNESS)
  }

  /** Gives the worker's runs up when its lease has run out, also while a call of it is under way. */
  const watchLapse = (): void => {
    if (disposed || lost || failures === 0) return
    const lapseMs = computeLapseMs()
    if (lapseMs < 0) recordLoss('its lease has lapsed')
    else clock.setTimer(lapseMs + 1, watchLapse)
  }

  const applyAnswer = (answer: LeaseAnswer, askedAtMs: number): void => {
    const nowMs = clock.nowMs()
    if (bornAtMs !== null && answer.bornAtMs !== bornAtMs) {
      processedEnd = acknowledgedEnd = storedEnd = 0
      pendingEnds = []
      leaseUntilMs = -Infinity
      recordLoss('started anew')
    }
    bornAtMs = answer.bornAtMs
    reading = { clockMs: answer.clockMs, receivedAtMs: nowMs }
    failures = 0
    planner.setSuspect(worker, 0)
    lost = false
    const ended = answer.ended.filter((end) => end.number > processedEnd)
    for (const end of ended) {
      processedEnd = Math.max(processedEnd, end.number)
      pendingEnds.push({ number: end.number, job: end.job })
      events.record(runEnded, { run: formatRun(end), worker, how: end.how })
    }
    const strays = planner.recordReport(worker, { askedAtMs, running: answer.running, ended }, nowMs, clock.wallMs())
    for (const stray of strays) stopRun(stray)
    if (!held) {
      held = true
      planner.setHeld(worker, true)
      events.record(workerHeld, { worker, epoch, running: answer.running.length, ended: ended.length })
      options.onNews()
    }
    if (ended.length > 0) options.onNews()
  }

  const renewLease = async (): Promise<void> => {
    const askedAtMs = clock.nowMs()
    // A worker that didn't answer gets no extension: the lease that it may have would never be known to end.
    const lease = failures === 0 && options.mayExtend() ? computeLease() : null
    if (lease !== null) leaseUntilMs = Math.max(leaseUntilMs, lease)
    const longestMs = lease === null || !isExtended ? UNEXTENDED_WAIT_MS : LEASE_WAIT_MS
    isExtended = lease !== null
    // A worker that left a call without an answer shows soon whether it lives.
    const waitMs = held && failures === 0 && pendingEnds.length === 0 ? longestMs : 0
    const result = await client.renewLease({ epoch, acknowledgedEnd, leaseUntilMs: lease, waitMs })
    if (disposed) return
    if (result.isErr() || result.value.kind === 'otherWorker') {
      recordSilence(result.isErr() ? result.error.message : 'another worker answers at its address')
      if (failures === 1) watchLapse()
      await waitFor(LEASE_RETRY_MS)
      return
    }
    if (result.value.kind === 'deposed') {
      endContact()
      return
    }
    const isFirst = reading === null
    applyAnswer(result.value, askedAtMs)
    if (!isFirst && pendingEnds.length > 0) await wait(COMMIT_WAIT_MS)
  }

  const runLoop = async (): Promise<void> => {
    for (;;) {
      await renewLease()
      if (disposed) return
    }
  }

  const sendStart = async (order: StartOrder): Promise<void> => {
    const name = formatRun(order)
    unsettled.set(name, order)
    let isCertain = true
    // A retry asks for no longer lease: what a worker that is cut off may hold has to end.
    const lease = failures === 0 ? computeLease() : leaseUntilMs
    for (const [attempt, timeoutMs] of START_TIMEOUTS_MS.entries()) {
      const nowMs = readWorkerClock()
      if (lease === null || nowMs === null || disposed) break
      if (lease - nowMs < MIN_START_LEASE_MS || stopping.has(name)) break
      leaseUntilMs = Math.max(leaseUntilMs, lease)
      const result = await client.startRun(order, epoch, lease, timeoutMs)
      if (disposed) return
      if (result.isErr()) {
        setSuspect()
        if (result.error.kind === 'unknown') isCertain = false
        events.record(runUnsettled, { run: name, worker, attempt, message: result.error.message })
        continue
      }
      if (result.value.kind === 'deposed') {
        endContact()
        return
      }
      planner.setSuspect(worker, 0)
      if (result.value.kind === 'started') {
        unsettled.delete(name)
        planner.recordSettled(order, worker, clock.nowMs())
        return
      }
      const reason = result.value.kind === 'otherWorker' ? 'unavailable' : result.value.reason
      events.record(runRefused, { run: name, worker, reason, attempt })
      if (reason === 'superseded') {
        // An earlier try was carried out and has ended, or the run was stopped: the next list tells.
        unsettled.delete(name)
        planner.recordSettled(order, worker, clock.nowMs())
        return
      }
      if (isCertain) {
        unsettled.delete(name)
        planner.recordStartRefused(order, reason === 'room' || reason === 'ticket' ? reason : 'unavailable', clock.nowMs())
        options.onNews()
        return
      }
      break
    }
    if (isCertain) {
      unsettled.delete(name)
      planner.recordStartRefused(order, 'notSent', clock.nowMs())
      options.onNews()
      return
    }
    // The order may still be carried out: a stop that is answered bars it for good.
    stopRun({ ...order, reason: 'superseded' })
  }

  const sendStop = async (order: StopOrder, name: string): Promise<void> => {
    stopping.add(name)
    for (;;) {
      if (!planner.isHeldAt(order, worker) && order.reason !== 'stray' && !unsettled.has(name)) break
      const result = await client.stopRun(order, epoch)
      if (disposed) return
      if (result.isOk() && result.value.kind === 'deposed') {
        endContact()
        return
      }
      if (result.isOk()) {
        unsettled.delete(name)
        planner.recordSettled(order, worker, clock.nowMs())
        options.onNews()
        break
      }
      if (order.reason === 'stray') break
      await waitFor(LEASE_RETRY_MS)
    }
    stopping.delete(name)
  }

  const stopRun = (order: StopOrder): void => {
    const name = formatRun(order)
    if (stopping.has(name)) return
    events.record(runStopping, { run: name, worker, reason: order.reason })
    sendStop(order, name).catch(failProcess)
  }

  const dispose = (): void => {
    if (disposed) return
    disposed = true
    disposables.dispose()
    client.dispose()
    releaseWait?.()
  }

  runLoop().catch(failProcess)

  return {
    startRun: (order) => { sendStart(order).catch(failProcess) },
    stopRun,
    beginCommit: () => {
      storedEnd = acknowledgedEnd
      for (const end of pendingEnds) {
        if (planner.isChanged(end.job)) break
        storedEnd = end.number
      }
    },
    finishCommit: () => {
      if (storedEnd <= acknowledgedEnd) return
      acknowledgedEnd = storedEnd
      pendingEnds = pendingEnds.filter((end) => end.number > acknowledgedEnd)
      if (pendingEnds.length === 0) releaseWait?.()
    },
    isOver: () => lost || (!planner.hasRuns(worker) && !held),
    dispose
  }
}
