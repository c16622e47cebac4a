/** Contact with one owned worker: renews its lease and drives it to the desired set of attempts. */
import {
  computeTakeoverBoundMs, createDisposableStore, createLeaseTracker, formatAttempt, hasRightToExtend,
  isLapsedForCertain, LEASE_RENEWAL_MS, startInterval
} from '@fuchsiatally/core'
import type {
  AttemptId, Clock, Disposable, EventLog, LeaseReport, LeaseTracker, Random, Vm, WorkerDesired, WorkerObserved
} from '@fuchsiatally/core'
import type { OwnedWorker, StaleEpoch, WorkerClient, WorkerClientFactory, WorkerFailure } from '../ports.js'
import {
  extensionEnded, workerCallFailed, workerContacted, workerFenced, workerLapsed, workerLost, workerRestarted,
  workerUnreachable
} from './events.js'
import { createWorkerCommands } from './workerCommands.js'

const LEASE_JITTER = 0.1
/** Longest time between two reports of a worker where nothing changes, in milliseconds. */
const REPORT_REPEAT_MS = 10_000
const REPORT_JITTER = 0.2
/** Time that a new epoch has for its first contact before its worker may be called lost, in milliseconds. */
const FIRST_CONTACT_MS = 4_000

/** What a worker's task needs of its entry. */
export interface WorkerTaskOptions {
  readonly incarnation: string
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly createClient: WorkerClientFactory
  readonly outageToleranceMs: number
  /** Whether this entry's session is valid now. */
  readonly isSessionValid: () => boolean
  /** A time at which the worker's row named this entry for certain. */
  readonly readConfirmedMs: () => number
  readonly updateEpoch: (worker: string, minEpoch: number) => void
  readonly recordContact: (worker: string, epoch: number) => void
  /** What the worker runs changed, or it is time to say it again; `false` if it could not be sent. */
  readonly sendObserved: (message: WorkerObserved) => boolean
  /** Incarnation of the cell's scheduler, or `null` if unknown. */
  readonly findScheduler: () => string | null
}

/** One owned worker. */
export interface WorkerTask extends Disposable {
  /** A new epoch is in the table; `continuous` if this entry owned the worker without a break before. */
  setEpoch: (epoch: number, continuous: boolean) => void
  setVm: (vm: Vm) => void
  /** Takes a desired set that was accepted for the current epoch. */
  setDesired: (desired: WorkerDesired) => void
  /** Reports at once what the worker runs. */
  sendReport: () => void
  readEpoch: () => number
  readDesired: () => WorkerDesired | null
  readWorker: () => OwnedWorker
}

type LeaseFailure = WorkerFailure | StaleEpoch

/** Creates the task; contact begins with the first `setEpoch`. */
export function createWorkerTask (firstVm: Vm, options: WorkerTaskOptions): WorkerTask {
  const { clock, random, log } = options
  const store = createDisposableStore()
  let vm = firstVm
  let client: WorkerClient & Partial<Disposable> = options.createClient(vm.address)
  let epoch = 0
  let epochSetMs = 0
  let tracker: LeaseTracker = createLeaseTracker(Infinity)
  let report: LeaseReport | null = null
  let desired: WorkerDesired | null = null
  let desiredSetMs = 0
  /** Sequence of the last desired set that the scheduler may rely on. */
  let confirmedSequence = 0
  /** The epoch can no longer run tasks: only contact is kept until the next one. */
  let blocked = false
  /**
   * A report arrived while the session was valid: the worker knew no later owner by then, and will not forget one
   * unless it restarts. A first contact in an outage could meet a worker that was taken over and then restarted.
   */
  let trusted = false
  /** The worker has seen this higher epoch. */
  let fencedBy: number | null = null
  let restarted = false
  let isLost = false
  let extensionLogged = false
  let lastState: WorkerObserved['state'] = 'unreachable'
  let lastSignature = ''
  let nextReportMs = -Infinity
  let leaseInFlight = false
  let leaseWanted = false
  let disposed = false

  const commands = createWorkerCommands({
    worker: vm.id,
    clock,
    log,
    readClient: () => client,
    onSettled: () => { sendLease() },
    onStale: (result) => {
      if (result === 'leaseLapsed') blockEpoch()
      else sendLease()
    }
  })

  const hasContact = (): boolean => trusted && fencedBy === null && tracker.hasContact(clock.nowMs())
  const readState = (): WorkerObserved['state'] => {
    if (isLost) return 'lost'
    return !blocked && hasContact() ? 'reachable' : 'unreachable'
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
  const formatReport = (message: WorkerObserved): string => `${options.findScheduler()}|${formatSignature(message)}`
  const sendObserved = (): void => {
    if (epoch === 0 || disposed) return
    lastState = readState()
    const message = buildObserved(lastState)
    lastSignature = formatReport(message)
    const repeatMs = REPORT_REPEAT_MS * (1 - REPORT_JITTER * random.nextFloat())
    // What ended is repeated until it is acknowledged, and what could not be sent until it can.
    const isSettled = options.sendObserved(message) && message.ended.length === 0
    nextReportMs = isSettled ? clock.nowMs() + repeatMs : -Infinity
  }
  const sendIfChanged = (): void => {
    if (formatReport(buildObserved(readState())) !== lastSignature) sendObserved()
  }
  const blockEpoch = (): void => {
    if (!blocked) commands.reset()
    blocked = true
    options.updateEpoch(vm.id, epoch + 1)
  }
  const mayExtend = (nowMs: number): boolean => {
    // Without contact each further extension would put off the time from which the worker is lost for certain.
    if (!hasContact() || blocked || isLost || vm.state === 'gone') return false
    const allowed = hasRightToExtend(nowMs, options.readConfirmedMs(), options.outageToleranceMs)
    if (!allowed && !extensionLogged) log.record(extensionEnded, { worker: vm.id, epoch })
    extensionLogged = !allowed
    return allowed
  }
  const reconcile = (): void => {
    if (disposed || blocked || desired === null || report === null) return
    if (!hasContact() || report.leaseNotAfterMs <= report.clockMs) return
    commands.reconcile({ epoch, workerIncarnation: report.workerIncarnation, desired, report })
  }
  /** Returns whether the epoch can go on. */
  const checkReport = (next: LeaseReport): boolean => {
    const knownIncarnation = tracker.readWorkerIncarnation()
    if (knownIncarnation !== null && knownIncarnation !== next.workerIncarnation) {
      if (!restarted) log.record(workerRestarted, { worker: vm.id, epoch })
      restarted = true
      trusted = false
      return false
    }
    // Within one epoch `lost` is final: a desired set that was computed before may still be on its way.
    return !isLost
  }
  const handleReport = (next: LeaseReport, sentMs: number, isExtended: boolean): void => {
    const isFirst = !trusted && !restarted
    const canGoOn = checkReport(next)
    trusted ||= !restarted && options.isSessionValid()
    tracker.recordReport(next, sentMs, clock.nowMs())
    report = next
    fencedBy = null
    if (isFirst && trusted) {
      log.record(workerContacted, { worker: vm.id, epoch })
      options.recordContact(vm.id, epoch)
    }
    if (!canGoOn) blockEpoch()
    else if (tracker.isLapsed() && !blocked) {
      log.record(workerLapsed, { worker: vm.id, epoch })
      blockEpoch()
    }
    if (desired !== null && sentMs >= desiredSetMs) confirmedSequence = desired.sequence
    reconcile()
    sendIfChanged()
    // The first contact, also after a silence, extends nothing.
    if (!isExtended && mayExtend(clock.nowMs())) leaseWanted = true
  }
  const handleFailure = (failure: LeaseFailure): void => {
    if (failure.kind !== 'staleEpoch') {
      log.record(workerCallFailed, { worker: vm.id, call: 'renewLease', kind: failure.kind })
      return
    }
    if (fencedBy === null) log.record(workerFenced, { worker: vm.id, epoch, seen: failure.epoch })
    fencedBy = failure.epoch
    commands.reset()
    // The table decides: the row changes only if it still names this entry.
    options.updateEpoch(vm.id, failure.epoch + 1)
    sendIfChanged()
  }
  const runLease = async (): Promise<void> => {
    const sentEpoch = epoch
    const sentMs = clock.nowMs()
    const notAfterMs = mayExtend(sentMs) ? tracker.computeNotAfter(sentMs) : 0
    if (notAfterMs > 0) tracker.recordExtension(sentMs)
    const answer = await client.renewLease({
      owner: options.incarnation,
      epoch: sentEpoch,
      workerIncarnation: tracker.readWorkerIncarnation() ?? '',
      notAfterMs,
      acknowledged: commands.listAcknowledged(desired)
    })
    if (disposed || sentEpoch !== epoch) return
    if (answer.isErr()) handleFailure(answer.error)
    // A worker that has seen another epoch than it was told breaks the contract of the answer.
    else if (answer.value.epoch === sentEpoch) handleReport(answer.value, sentMs, notAfterMs > 0)
  }
  const sendLease = (): void => {
    if (disposed || epoch === 0 || vm.state === 'gone') return
    leaseWanted = leaseInFlight
    if (leaseInFlight) return
    leaseInFlight = true
    runLease().finally(() => {
      leaseInFlight = false
      if (leaseWanted) sendLease()
    }).catch(() => {})
  }
  const checkLost = (): void => {
    const nowMs = clock.nowMs()
    const isSilent = nowMs - epochSetMs >= FIRST_CONTACT_MS && !tracker.hasContact(nowMs)
    const isLapsed = isLapsedForCertain(nowMs, tracker.readLapseBoundMs(), options.readConfirmedMs())
    const isOver = vm.state === 'gone' || (isSilent && isLapsed)
    if (isLost || !isOver) return
    isLost = true
    blocked = true
    commands.reset()
    log.record(workerLost, { worker: vm.id, epoch, gone: vm.state === 'gone' })
  }
  const runTick = (): void => {
    if (epoch === 0) return
    checkLost()
    if (readState() === 'unreachable' && lastState === 'reachable') log.record(workerUnreachable, { worker: vm.id, epoch })
    if (clock.nowMs() >= nextReportMs) sendObserved()
    else sendIfChanged()
    sendLease()
  }
  store.add(startInterval(clock, random, LEASE_RENEWAL_MS, LEASE_JITTER, runTick))

  return {
    setEpoch: (next, continuous) => {
      const nowMs = clock.nowMs()
      const boundMs = continuous ? tracker.readLapseBoundMs() : computeTakeoverBoundMs(nowMs, options.outageToleranceMs)
      tracker = createLeaseTracker(boundMs)
      epoch = next
      epochSetMs = nowMs
      report = null
      desired = null
      confirmedSequence = 0
      blocked = false
      trusted = false
      restarted = false
      fencedBy = null
      isLost = false
      commands.reset()
      checkLost()
      sendLease()
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
      // A gang is released on this word, so the worker itself must have answered after the set arrived.
      const hasHeld = next.run.some((task) => task.held === true)
      confirmedSequence = hasHeld ? 0 : next.sequence
      if (hasHeld) sendLease()
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
      store.dispose()
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

/** Everything but the usage, which always changes. */
function formatSignature (message: WorkerObserved): string {
  const { workerEpoch, cellEpoch, desiredSequence, state, running, ended } = message
  const parts = [workerEpoch, cellEpoch, desiredSequence, state, formatIds(running), formatIds(ended.map(({ id }) => id))]
  return parts.join('|')
}
