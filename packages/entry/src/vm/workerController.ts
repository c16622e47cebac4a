/** Controller of one owned worker: renews its lease and reconciles it with the desired set of attempts. */
import {
  computeTakeoverBoundMs, createDisposableStore, createLeaseTracker, formatAttempt, mayExtendLeases,
  isExpiryCertain, LEASE_RENEWAL_MS, startInterval
} from '@fuchsiatally/core'
import type {
  AttemptId, Clock, Disposable, EventLog, LeaseReport, LeaseTracker, Random, Vm, WorkerDesired, WorkerObserved
} from '@fuchsiatally/core'
import type { OwnedWorker, StaleEpoch, WorkerClient, WorkerClientFactory, WorkerFailure } from '../ports.js'
import {
  leaseExtensionStopped, workerCallFailed, workerContacted, workerFenced, workerLeaseExpired, workerLost, workerRestarted,
  workerUnreachable
} from './events.js'
import { createWorkerReconciler } from './workerReconciler.js'

const LEASE_JITTER = 0.1
/** Maximum interval between two reports of an unchanged worker, in milliseconds. */
const REPORT_REPEAT_INTERVAL_MS = 10_000
const REPORT_JITTER = 0.2
/** Time allowed for the first contact of a new epoch before the worker may be declared lost, in milliseconds. */
const FIRST_CONTACT_TIMEOUT_MS = 4_000

/** Options of a worker controller. */
export interface WorkerControllerOptions {
  readonly incarnation: string
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly createClient: WorkerClientFactory
  readonly outageToleranceMs: number
  /** Whether this entry's session is currently valid. */
  readonly isSessionValid: () => boolean
  /** Returns a time at which the worker's row is known to have named this entry. */
  readonly readConfirmedMs: () => number
  readonly requestEpoch: (worker: string, minEpoch: number) => void
  readonly recordContact: (worker: string, epoch: number) => void
  /** Sends a report to the scheduler; returns `false` if it could not be sent. */
  readonly sendObserved: (message: WorkerObserved) => boolean
  /** Returns the incarnation of the cell's scheduler, or `null` if unknown. */
  readonly findScheduler: () => string | null
}

/** Controller of one owned worker. */
export interface WorkerController extends Disposable {
  /** Starts a new epoch read from the table; `continuous` if this entry has owned the worker without interruption. */
  setEpoch: (epoch: number, continuous: boolean) => void
  setVm: (vm: Vm) => void
  /** Applies a desired set that was accepted for the current epoch. */
  setDesired: (desired: WorkerDesired) => void
  /** Sends a report immediately. */
  sendReport: () => void
  readEpoch: () => number
  readDesired: () => WorkerDesired | null
  readWorker: () => OwnedWorker
}

type LeaseFailure = WorkerFailure | StaleEpoch

/** Creates the controller; calls to the worker begin with the first `setEpoch`. */
export function createWorkerController (firstVm: Vm, options: WorkerControllerOptions): WorkerController {
  const { clock, random, log } = options
  const disposables = createDisposableStore()
  let vm = firstVm
  let client: WorkerClient & Partial<Disposable> = options.createClient(vm.address)
  let epoch = 0
  let epochSetMs = 0
  let tracker: LeaseTracker = createLeaseTracker(Infinity)
  let report: LeaseReport | null = null
  let desired: WorkerDesired | null = null
  let desiredSetMs = 0
  /** Sequence of the last desired set that is confirmed to the scheduler. */
  let confirmedSequence = 0
  /** Whether the epoch can no longer run tasks; until the next epoch, only lease calls without extension are made. */
  let epochBlocked = false
  /**
   * Whether a report of this epoch arrived while the session was valid, so that no other entry had taken the worker over.
   * A first contact during an outage proves nothing: the worker may have accepted another owner and forgotten its epoch
   * by restarting. A restart after the first contact is recognized by the worker's incarnation.
   */
  let contactTrusted = false
  /** Higher epoch that the worker has accepted, or `null`. */
  let fencingEpoch: number | null = null
  let workerRestartSeen = false
  let isLost = false
  let extensionStopLogged = false
  let lastState: WorkerObserved['state'] = 'unreachable'
  let lastReportKey = ''
  let nextReportMs = -Infinity
  let renewalInFlight = false
  let renewalPending = false
  let disposed = false

  const reconciler = createWorkerReconciler({
    worker: vm.id,
    clock,
    log,
    readClient: () => client,
    onIdle: () => { startRenewal() },
    onStale: (result) => {
      if (result === 'leaseLapsed') blockEpoch()
      else startRenewal()
    }
  })

  const hasContact = (): boolean => contactTrusted && fencingEpoch === null && tracker.hasContact(clock.nowMs())
  const readState = (): WorkerObserved['state'] => {
    if (isLost) return 'lost'
    return !epochBlocked && hasContact() ? 'reachable' : 'unreachable'
  }
  const buildObserved = (state: WorkerObserved['state']): WorkerObserved => ({
    type: 'workerObserved',
    worker: vm.id,
    workerEpoch: epoch,
    cellEpoch: desired?.cellEpoch ?? 0,
    desiredSequence: confirmedSequence,
    state,
    running: isLost ? [] : report?.running ?? [],
    ended: report?.ended ?? [],
    usage: isLost ? [] : report?.usage ?? []
  })
  const formatReportKey = (message: WorkerObserved): string => `${options.findScheduler()}|${formatObserved(message)}`
  const sendObserved = (): void => {
    if (epoch === 0 || disposed) return
    lastState = readState()
    const message = buildObserved(lastState)
    lastReportKey = formatReportKey(message)
    const repeatMs = REPORT_REPEAT_INTERVAL_MS * (1 - REPORT_JITTER * random.nextFloat())
    // The next tick repeats a report that could not be sent or that contains ended attempts not acknowledged yet.
    const hasNothingPending = options.sendObserved(message) && message.ended.length === 0
    nextReportMs = hasNothingPending ? clock.nowMs() + repeatMs : -Infinity
  }
  const sendIfChanged = (): void => {
    if (formatReportKey(buildObserved(readState())) !== lastReportKey) sendObserved()
  }
  const blockEpoch = (): void => {
    if (!epochBlocked) reconciler.reset()
    epochBlocked = true
    options.requestEpoch(vm.id, epoch + 1)
  }
  const mayExtend = (nowMs: number): boolean => {
    // Without contact, each extension would postpone the time at which the lease is known to have expired.
    if (!hasContact() || epochBlocked || isLost || vm.state === 'gone') return false
    const allowed = mayExtendLeases(nowMs, options.readConfirmedMs(), options.outageToleranceMs)
    if (!allowed && !extensionStopLogged) log.record(leaseExtensionStopped, { worker: vm.id, epoch })
    extensionStopLogged = !allowed
    return allowed
  }
  const reconcile = (): void => {
    if (disposed || epochBlocked || desired === null || report === null) return
    if (!hasContact() || report.leaseNotAfterMs <= report.clockMs) return
    reconciler.reconcile({ epoch, workerIncarnation: report.workerIncarnation, desired, report })
  }
  /** Returns whether the epoch can still run tasks. */
  const checkReport = (next: LeaseReport): boolean => {
    const knownIncarnation = tracker.readWorkerIncarnation()
    if (knownIncarnation !== null && knownIncarnation !== next.workerIncarnation) {
      if (!workerRestartSeen) log.record(workerRestarted, { worker: vm.id, epoch })
      workerRestartSeen = true
      contactTrusted = false
      return false
    }
    // `lost` is final within an epoch: a desired set computed before the tasks were rescheduled may still arrive.
    return !isLost
  }
  const handleReport = (next: LeaseReport, sentMs: number, isExtended: boolean): void => {
    const isFirst = !contactTrusted && !workerRestartSeen
    const isEpochUsable = checkReport(next)
    contactTrusted ||= !workerRestartSeen && options.isSessionValid()
    tracker.recordReport(next, sentMs, clock.nowMs())
    report = next
    fencingEpoch = null
    if (isFirst && contactTrusted) {
      log.record(workerContacted, { worker: vm.id, epoch })
      options.recordContact(vm.id, epoch)
    }
    if (!isEpochUsable) blockEpoch()
    else if (tracker.isExpired() && !epochBlocked) {
      log.record(workerLeaseExpired, { worker: vm.id, epoch })
      blockEpoch()
    }
    if (desired !== null && sentMs >= desiredSetMs) confirmedSequence = desired.sequence
    reconcile()
    sendIfChanged()
    // A call sent without contact does not extend the lease; once it has established contact, the next call follows immediately.
    if (!isExtended && mayExtend(clock.nowMs())) renewalPending = true
  }
  const handleFailure = (failure: LeaseFailure): void => {
    if (failure.kind !== 'staleEpoch') {
      log.record(workerCallFailed, { worker: vm.id, call: 'renewLease', kind: failure.kind })
      return
    }
    if (fencingEpoch === null) log.record(workerFenced, { worker: vm.id, epoch, seen: failure.epoch })
    fencingEpoch = failure.epoch
    reconciler.reset()
    // The table is authoritative: the row changes only if it still names this entry.
    options.requestEpoch(vm.id, failure.epoch + 1)
    sendIfChanged()
  }
  const renewLease = async (): Promise<void> => {
    const sentEpoch = epoch
    const sentMs = clock.nowMs()
    const notAfterMs = mayExtend(sentMs) ? tracker.computeNotAfter(sentMs) : 0
    if (notAfterMs > 0) tracker.recordExtension(sentMs)
    const response = await client.renewLease({
      owner: options.incarnation,
      epoch: sentEpoch,
      workerIncarnation: tracker.readWorkerIncarnation() ?? '',
      notAfterMs,
      acknowledged: reconciler.listAcknowledged(desired)
    })
    if (disposed || sentEpoch !== epoch) return
    if (response.isErr()) handleFailure(response.error)
    // A response with another epoch than that of the call violates the protocol and is ignored.
    else if (response.value.epoch === sentEpoch) handleReport(response.value, sentMs, notAfterMs > 0)
  }
  const startRenewal = (): void => {
    if (disposed || epoch === 0 || vm.state === 'gone') return
    renewalPending = renewalInFlight
    if (renewalInFlight) return
    renewalInFlight = true
    renewLease().finally(() => {
      renewalInFlight = false
      if (renewalPending) startRenewal()
    }).catch(() => {})
  }
  const checkLost = (): void => {
    const nowMs = clock.nowMs()
    const isContactLost = nowMs - epochSetMs >= FIRST_CONTACT_TIMEOUT_MS && !tracker.hasContact(nowMs)
    const isExpired = isExpiryCertain(nowMs, tracker.readExpiryBoundMs(), options.readConfirmedMs())
    const isUnrecoverable = vm.state === 'gone' || (isContactLost && isExpired)
    if (isLost || !isUnrecoverable) return
    isLost = true
    epochBlocked = true
    reconciler.reset()
    log.record(workerLost, { worker: vm.id, epoch, gone: vm.state === 'gone' })
  }
  const runTick = (): void => {
    if (epoch === 0) return
    checkLost()
    if (readState() === 'unreachable' && lastState === 'reachable') log.record(workerUnreachable, { worker: vm.id, epoch })
    if (clock.nowMs() >= nextReportMs) sendObserved()
    else sendIfChanged()
    startRenewal()
  }
  disposables.add(startInterval(clock, random, LEASE_RENEWAL_MS, LEASE_JITTER, runTick))

  return {
    setEpoch: (next, continuous) => {
      const nowMs = clock.nowMs()
      const boundMs = continuous ? tracker.readExpiryBoundMs() : computeTakeoverBoundMs(nowMs, options.outageToleranceMs)
      tracker = createLeaseTracker(boundMs)
      epoch = next
      epochSetMs = nowMs
      report = null
      desired = null
      confirmedSequence = 0
      epochBlocked = false
      contactTrusted = false
      workerRestartSeen = false
      fencingEpoch = null
      isLost = false
      reconciler.reset()
      checkLost()
      startRenewal()
    },
    setVm: (next) => {
      if (next.address !== vm.address) {
        client.dispose?.()
        client = options.createClient(next.address)
      }
      vm = next
      checkLost()
      sendIfChanged()
    },
    setDesired: (next) => {
      desired = next
      desiredSetMs = clock.nowMs()
      // Gangs are released on this confirmation, so the worker must have answered a call made after the set arrived.
      const hasHeldTasks = next.run.some((task) => task.held === true)
      confirmedSequence = hasHeldTasks ? 0 : next.sequence
      if (hasHeldTasks) startRenewal()
      reconcile()
      sendIfChanged()
    },
    sendReport: sendObserved,
    readEpoch: () => epoch,
    readDesired: () => desired,
    readWorker: () => ({
      id: vm.id,
      epoch,
      rack: vm.rack,
      hasContact: vm.state !== 'gone' && hasContact(),
      leaving: vm.state !== 'live',
      runners: vm.runners.map((runner) => ({ ...runner, busy: readBusy(report, runner.service) }))
    }),
    dispose: () => {
      disposed = true
      disposables.dispose()
      client.dispose?.()
    }
  }
}

function readBusy (report: LeaseReport | null, service: string): number {
  return report?.runners.find((runner) => runner.service === service)?.busy ?? 0
}

function formatIds (ids: readonly AttemptId[]): string {
  return ids.map(formatAttempt).join(' ')
}

/** Formats everything but the usage, which changes with each report. */
function formatObserved (message: WorkerObserved): string {
  const { workerEpoch, cellEpoch, desiredSequence, state, running, ended } = message
  const parts = [workerEpoch, cellEpoch, desiredSequence, state, formatIds(running), formatIds(ended.map(({ id }) => id))]
  return parts.join('|')
}
