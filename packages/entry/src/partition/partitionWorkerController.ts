/** Controls one worker on behalf of a partition's holder: renews its lease, applies its run reports and sends it orders. */
import { createDisposableStore, type Disposable, type RunName, type StartOrder, type StopOrder } from '@fuchsiatally/core'
import {
  COMMIT_WAIT_MS, ISOLATED_LEASE_WAIT_MS, LEASE_RETRY_MS, LEASE_WAIT_MS, MAX_EXCUSED_CALLS, MIN_START_LEASE_MS, START_ATTEMPT_TIMEOUTS_MS, START_TRANSIT_MS,
  SUSPECT_PAUSE_MS, UNEXTENDED_LEASE_WAIT_MS
} from './constants.js'
import { runEnded, runRefused, runStopping, orderInDoubt, workerReachable, workerUnresponsive } from './events.js'
import type { HolderLoad } from './holderLoad.js'
import { formatRun } from './formatRun.js'
import { createLateStarts } from './lateStarts.js'
import type { PartitionWorkerClient, LeaseResponse } from './ports.js'
import { createReportedEnds } from './reportedEnds.js'
import type { StartWindow } from './startWindow.js'
import { createWorkerLease, type LeaseCall, type WorkerLeaseOptions } from './workerLease.js'
import { createWorkerLosses, recordGivenUp, type LossCause, type WorkerLossesOptions } from './workerLosses.js'
import { failProcess } from '../process/failProcess.js'

export interface PartitionWorkerControllerOptions extends WorkerLossesOptions, WorkerLeaseOptions {
  /** `host:port` of the worker. */
  readonly address: string
  readonly client: PartitionWorkerClient
  readonly load: HolderLoad
  /** Shared by the controllers of a term. */
  readonly startWindow: StartWindow
  /** A report or the outcome of an order changed the planner. */
  readonly onChange: () => void
  /** Another worker, or a later life of this one, responds at its address. */
  readonly onReplaced: () => void
  /** The worker has accepted a higher epoch. */
  readonly onDeposed: () => void
}

/** Controller of one worker. */
export interface PartitionWorkerController extends Disposable {
  /** The worker is listed at another address: calls go there from now on. What is known of its runs and in doubt stays, until a response shows another life. */
  setClient: (client: PartitionWorkerClient, address: string) => void
  /** @param commitMs duration of the commit that stored the start, in milliseconds */
  startRun: (order: StartOrder, commitMs: number) => void
  stopRun: (order: StopOrder) => void
  /** Marks the ended runs that are covered by the commit that begins now. */
  beginCommit: () => void
  /** Acknowledges the marked runs: the commit was applied, or there was nothing to commit. */
  finishCommit: () => void
  /** For a worker that is no longer listed: whether none of its runs can still be running. */
  isQuiescent: () => boolean
}

/** Starts the controller; it runs until disposed. */
export function createPartitionWorkerController (options: PartitionWorkerControllerOptions): PartitionWorkerController {
  const { worker, epoch, planner, clock, events, startWindow } = options
  let { client, address } = options
  const disposables = createDisposableStore()
  const inDoubt = new Map<string, RunName>()
  const stopping = new Set<string>()
  const lateStarts = createLateStarts(clock)
  let disposed = false
  let isReachable = false
  let isLost = false
  /** Whether the runs of earlier terms have been compared with a complete report. */
  let isBirthRecorded = false
  /** Whether the last report left out ends that follow once others are acknowledged. */
  let hasMoreEnds = false
  const lease = createWorkerLease(options)
  /** Whether the last lease call requested an extension. */
  let wasExtended = false
  const ends = createReportedEnds({ clock, isChanged: planner.isChanged })
  let failures = 0
  const losses = createWorkerLosses(options)
  /** How the last call failed. */
  let lastFailure: LossCause = 'silent'
  /** Consecutive lease calls without a response that this process's own delay explains. */
  let excusedCalls = 0

  const waitFor = (delayMs: number): Promise<void> => new Promise((resolve) => { clock.setTimer(delayMs, resolve) })

  const endTerm = (): void => {
    if (disposed) return
    dispose()
    options.onDeposed()
  }

  const setSuspect = (): void => planner.setSuspect(worker, clock.nowMs() + SUSPECT_PAUSE_MS)

  const recordMissedRenewal = (reason: string, cause: LossCause): void => {
    if (failures === 0) losses.recordFailing(cause, lease.readClockMs() !== null)
    failures++
    lastFailure = cause
    setSuspect()
    if (!isReachable || failures < 2) return
    isReachable = false
    planner.setSynced(worker, false)
    events.record(workerUnresponsive, { worker, reason })
    options.onChange()
  }

  const recordWorkerLost = (reason: string, cause: LossCause, isAlive: (run: RunName, confirmedAtMs: number | null) => boolean = () => false): void => {
    isLost = true
    isReachable = false
    losses.recordLost(reason, cause, inDoubt.size, (run, confirmedAtMs) => {
      if (isAlive(run, confirmedAtMs)) return 'alive'
      if (inDoubt.has(formatRun(run))) return 'inDoubt'
      return confirmedAtMs === null ? 'unsent' : 'lost'
    })
    options.onChange()
  }

  /** Declares the worker's runs lost when its lease has expired, even while a call to it is in flight. */
  const watchExpiry = (): void => {
    if (disposed || isLost || failures === 0) return
    const delayMs = lease.computeExpiryDelayMs()
    if (delayMs < 0) recordWorkerLost('its lease has expired', lastFailure)
    else clock.setTimer(delayMs + 1, watchExpiry)
  }

  const applyResponse = (response: LeaseResponse, call: LeaseCall, acknowledgedEnd: number): void => {
    const nowMs = clock.nowMs()
    const { sentAtMs } = call
    const life = lease.recordReport(call, response)
    if (life === 'restarted') {
      ends.forgetAll()
      // Its next life proves that a worker that was lost before has crashed.
      if (isLost) options.onReplaced()
      if (failures === 0) losses.recordFailing('restarted', true)
      // Starts reach the next life under the same id before its first report: those that it lists, or that this report may be too early for, run there.
      const running = new Set(response.running.map(formatRun))
      recordWorkerLost('the worker restarted', 'restarted', (run, confirmedAtMs) => running.has(formatRun(run)) || (confirmedAtMs !== null && confirmedAtMs >= sentAtMs))
    } else {
      ends.recordAnswered(acknowledgedEnd)
      if (isLost) planner.recordWorkerSurvived(worker)
    }
    hasMoreEnds = response.hasMoreEnds
    if (!isBirthRecorded && !hasMoreEnds) {
      isBirthRecorded = true
      const reported = new Set([...response.running, ...response.ended].map(formatRun))
      recordGivenUp(events, worker, planner.recordWorkerBorn(worker, response.bornAtMs, (run) => reported.has(formatRun(run)), nowMs, clock.wallMs()))
    }
    losses.recordResponse()
    failures = excusedCalls = 0
    planner.setSuspect(worker, 0)
    isLost = false
    const ended = ends.takeNew(response.ended)
    for (const end of ended) events.record(runEnded, { run: formatRun(end), worker, how: end.how })
    const strays = planner.recordReport(worker, { requestedAtMs: sentAtMs, running: response.running, ended, hasMoreEnds }, nowMs, clock.wallMs())
    for (const stray of strays) stopRun(stray)
    for (const run of response.running) inDoubt.delete(formatRun(run))
    if (life === 'restarted') for (const order of lateStarts.list()) if (!planner.isAllocatedAt(order, worker)) stopRun({ ...order, worker, reason: 'stray' })
    if (!isReachable) {
      isReachable = true
      planner.setSynced(worker, true)
      events.record(workerReachable, { worker, address, bornAtMs: response.bornAtMs, epoch, running: response.running.length, ended: ended.length })
      options.onChange()
    }
    if (ended.length > 0) options.onChange()
  }

  const renewLease = async (): Promise<void> => {
    // A worker that did not respond gets no extension: otherwise the expiry of its lease could be deferred forever.
    const leaseUntilMs = failures === 0 ? lease.computeDeadline() : null
    const call = lease.startCall(leaseUntilMs)
    const longestMs = leaseUntilMs === null || !wasExtended ? UNEXTENDED_LEASE_WAIT_MS : planner.isIsolated(worker) ? ISOLATED_LEASE_WAIT_MS : LEASE_WAIT_MS
    wasExtended = leaseUntilMs !== null
    // Does not wait after a failed call, so that an unresponsive worker is detected quickly.
    const waitMs = isReachable && failures === 0 && excusedCalls === 0 && !ends.hasPending() && !hasMoreEnds ? longestMs : 0
    const calledClient = client
    // Another life may answer, and would forget the ends of its own that have these numbers.
    const acknowledgedEnd = failures === 0 && excusedCalls === 0 && !lease.mayHaveRestarted() ? ends.readAcknowledged() : 0
    const result = await calledClient.renewLease({ epoch, acknowledgedEnd, leaseUntilMs, waitMs })
    // The failure of a call to a former address says nothing about the new one.
    if (disposed || (result.isErr() && calledClient !== client)) return
    if (result.isErr()) lease.recordFailed(call)
    if (result.isErr() && result.error.isOwnDelay === true && excusedCalls < MAX_EXCUSED_CALLS) {
      excusedCalls++
      return
    }
    if (result.isErr() || result.value.kind === 'otherWorker') {
      if (result.isErr()) recordMissedRenewal(result.error.message, result.error.connection ?? 'silent')
      else {
        recordMissedRenewal('another worker responds at its address', 'replaced')
        options.onReplaced()
      }
      if (failures === 1) watchExpiry()
      await waitFor(LEASE_RETRY_MS)
      return
    }
    if (result.value.kind === 'deposed') {
      endTerm()
      return
    }
    const isFirst = lease.readClockMs() === null
    const response = result.value
    options.load.measurePart('report', () => applyResponse(response, call, acknowledgedEnd))
    if (!isFirst && ends.hasPending()) await ends.waitForCommit(COMMIT_WAIT_MS)
  }

  const runLoop = async (): Promise<void> => {
    for (;;) {
      await renewLease()
      if (disposed) return
    }
  }

  const sendStart = async (order: StartOrder, commitMs: number): Promise<void> => {
    const name = formatRun(order)
    // The worker may have been lost since the decision, and the task may run elsewhere.
    if (!planner.isAllocatedAt(order, worker)) return
    inDoubt.set(name, order)
    // Fewer starts at a time would not make the store faster.
    await startWindow.waitForSlot(order.decidedAtMs + commitMs, order.ticket !== null)
    let isOutcomeKnown = true
    // After a failed call the lease is not extended: the lease of an unreachable worker has to expire.
    const leaseUntilMs = failures === 0 ? lease.computeDeadline() : lease.readUntilMs()
    let call: LeaseCall | null = null
    const timeouts = [...START_ATTEMPT_TIMEOUTS_MS]
    let excusedAttempts = 0
    for (const [attempt, timeoutMs] of timeouts.entries()) {
      const nowMs = lease.readClockMs()
      // A report or an acknowledged stop has settled the outcome.
      const isSettled = !inDoubt.has(name)
      // The order may have waited for the commit and for the window while the worker's capacity shrank.
      const hasNoRoom = attempt === 0 && planner.isOvercommitted(worker)
      const hasExpired = attempt === 0 && clock.nowMs() + START_TRANSIT_MS >= order.ticketUntilMs
      // The lease was computed by the clock of the worker's former life.
      const isOutdated = call !== null && lease.isOutdated(call)
      if (hasExpired || isSettled || leaseUntilMs === null || nowMs === null || disposed || leaseUntilMs - nowMs < MIN_START_LEASE_MS || isOutdated || stopping.has(name) || hasNoRoom) {
        if (attempt === 0) startWindow.releaseSlot(null)
        if (isSettled) return
        if (hasExpired) options.load.recordStartExpired()
        break
      }
      call = lease.startCall(leaseUntilMs)
      const { sentAtMs } = call
      if (attempt === 0) options.load.recordStartSent(sentAtMs - order.decidedAtMs)
      const result = await client.startRun(order, epoch, leaseUntilMs, timeoutMs)
      const isResponse = result.isOk() || result.error.isOwnDelay === true
      if (attempt === 0) startWindow.releaseSlot(isResponse ? clock.nowMs() - sentAtMs : null)
      if (disposed) return
      if (result.isErr()) {
        if (result.error.kind === 'unknown') {
          lease.recordUnanswered(call)
          lateStarts.add(order, sentAtMs)
        }
        if (result.error.isOwnDelay === true && excusedAttempts < MAX_EXCUSED_CALLS) {
          excusedAttempts++
          timeouts.push(timeoutMs)
        } else setSuspect()
        if (result.error.kind === 'unknown') isOutcomeKnown = false
        events.record(orderInDoubt, { run: name, worker, attempt, elapsedMs: Math.round(clock.nowMs() - sentAtMs), message: result.error.message })
        continue
      }
      if (result.value.kind === 'deposed') {
        endTerm()
        return
      }
      lease.recordAnswered(call, result.value.kind === 'otherWorker' ? null : result.value.clockMs ?? null)
      planner.setSuspect(worker, 0)
      if (result.value.kind !== 'otherWorker' && !lease.mayHaveRestarted() && !lease.isOutdated(call)) losses.recordResponse()
      if (result.value.kind === 'started') {
        inDoubt.delete(name)
        planner.recordStartConfirmed(order, worker, clock.nowMs())
        return
      }
      const reason = result.value.kind === 'otherWorker' ? 'unavailable' : result.value.reason
      if (reason === 'ticket') options.load.recordTicketRefused()
      events.record(runRefused, { run: name, worker, reason, attempt })
      if (reason === 'superseded') {
        // An earlier attempt started the run, which has ended, or the run was stopped: the next report shows which.
        inDoubt.delete(name)
        planner.recordOrderSettled(order, worker, clock.nowMs())
        return
      }
      if (isOutcomeKnown) {
        inDoubt.delete(name)
        planner.recordStartRefused(order, reason === 'room' || reason === 'ticket' ? reason : 'unavailable', clock.nowMs())
        options.onChange()
        return
      }
      break
    }
    if (isOutcomeKnown) {
      inDoubt.delete(name)
      planner.recordStartRefused(order, 'notSent', clock.nowMs())
      options.onChange()
      return
    }
    // The start may still be executed late: an acknowledged stop order prevents it permanently.
    stopRun({ ...order, reason: 'superseded' })
  }

  const sendStop = async (order: StopOrder, name: string): Promise<void> => {
    stopping.add(name)
    for (;;) {
      if (!planner.isAllocatedAt(order, worker) && order.reason !== 'stray' && !inDoubt.has(name)) break
      const result = await client.stopRun(order, epoch)
      if (disposed) return
      if (result.isOk() && result.value.kind === 'deposed') {
        endTerm()
        return
      }
      if (result.isOk()) {
        inDoubt.delete(name)
        planner.recordOrderSettled(order, worker, clock.nowMs())
        options.onChange()
        break
      }
      if (order.reason === 'stray' && !lateStarts.has(order)) break
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
    ends.cancelWait()
  }

  runLoop().catch(failProcess)

  return {
    setClient: (next, nextAddress) => {
      const former = client
      client = next
      address = nextAddress
      former.dispose()
    },
    startRun: (order, commitMs) => { sendStart(order, commitMs).catch(failProcess) },
    stopRun,
    beginCommit: ends.beginCommit,
    finishCommit: ends.finishCommit,
    isQuiescent: () => (isLost && (inDoubt.size === 0 || !lease.mayRunUnseen())) || (!planner.hasRuns(worker) && !isReachable),
    dispose
  }
}
