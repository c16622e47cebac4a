/** Manages the workers that this entry owns: leases, desired sets and reports to the scheduler. */
import { OUTAGE_TOLERANCE_MS } from '@fuchsiatally/core'
import type { Clock, Disposable, EventLog, Random, Vm, WorkerDesired, WorkerObserved } from '@fuchsiatally/core'
import type { OwnedWorkers, PeerMesh, Sessions, WorkerClientFactory } from '../ports.js'
import { desiredIgnored } from './events.js'
import type { Ownership, OwnershipListener } from './ownership.js'
import { createWorkerController } from './workerController.js'
import type { WorkerController } from './workerController.js'

/** Options of the worker manager. */
export interface WorkerManagerOptions {
  readonly sessions: Sessions
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly mesh: PeerMesh
  readonly ownership: Ownership
  readonly createClient: WorkerClientFactory
  /** Time for which leases are extended after ownership was last confirmed, in milliseconds; default one hour. */
  readonly outageToleranceMs?: number
  /** Returns the lowest cell epoch whose desired sets are accepted, read in the same snapshot as the owner rows (`ownership.readCellEpoch`). */
  readonly readCellEpoch: () => number
  /** Returns the incarnation of the cell's scheduler, possibly this one, or `null` if unknown. */
  readonly findScheduler: () => string | null
  /** Receives reports while this incarnation is the scheduler. */
  readonly onObserved: (message: WorkerObserved) => void
  /** Whether the VM is drained by an operator; default: never. */
  readonly isDrained?: (worker: string) => boolean
}

/** Manager of all owned workers. */
export interface WorkerManager extends OwnedWorkers, OwnershipListener, Disposable {
  /** Handles a desired set of the scheduler in this process; sets sent by peers are received from the mesh. */
  handleDesired: (message: WorkerDesired, fromIncarnation: string) => void
}

/** Creates the worker manager; pass it to `ownership.start`. */
export function createWorkerManager (options: WorkerManagerOptions): WorkerManager {
  const { clock, random, log, mesh, ownership, sessions } = options
  const controllers = new Map<string, WorkerController>()
  let highestCellEpoch = 0

  const sendObserved = (message: WorkerObserved): boolean => {
    const scheduler = options.findScheduler()
    if (scheduler !== sessions.incarnation) return scheduler !== null && mesh.sendMessage(scheduler, message)
    options.onObserved(message)
    return true
  }
  const createController = (vm: Vm): WorkerController => createWorkerController(vm, {
    incarnation: sessions.incarnation,
    isSessionValid: sessions.isValid,
    clock,
    random,
    log,
    createClient: options.createClient,
    outageToleranceMs: options.outageToleranceMs ?? OUTAGE_TOLERANCE_MS,
    readConfirmedMs: ownership.readConfirmedMs,
    requestEpoch: ownership.requestEpoch,
    recordContact: ownership.recordContact,
    sendObserved,
    findScheduler: options.findScheduler
  })
  const findIgnoreReason = (message: WorkerDesired): string | null => {
    const controller = controllers.get(message.worker)
    if (controller === undefined) return 'not owned'
    if (controller.readEpoch() !== message.workerEpoch) return 'other worker epoch'
    if (message.cellEpoch < highestCellEpoch) return 'deposed scheduler'
    const current = controller.readDesired()
    if (current?.cellEpoch === message.cellEpoch && current.sequence >= message.sequence) return 'late'
    return null
  }
  const handleDesired = (message: WorkerDesired, fromIncarnation: string): void => {
    highestCellEpoch = Math.max(highestCellEpoch, options.readCellEpoch(), message.cellEpoch)
    const reason = findIgnoreReason(message)
    if (reason === null) controllers.get(message.worker)!.setDesired(message)
    else log.record(desiredIgnored, { worker: message.worker, from: fromIncarnation, fault: reason })
  }
  mesh.onPeerChange((peer, change) => {
    if (change !== 'up' || peer.incarnation !== options.findScheduler()) return
    for (const controller of controllers.values()) controller.sendReport()
  })
  mesh.onMessage('workerDesired', (message, from) => handleDesired(message, from.incarnation))

  return {
    handleAcquired: ({ vm, epoch, continuous }) => {
      let controller = controllers.get(vm.id)
      const isKnown = controller !== undefined
      controller ??= createController(vm)
      controllers.set(vm.id, controller)
      controller.setEpoch(epoch, continuous && isKnown)
    },
    handleLost: (worker) => {
      controllers.get(worker)?.dispose()
      controllers.delete(worker)
    },
    handleVmChange: (vm) => controllers.get(vm.id)?.setVm(vm),
    handleDesired,
    listOwnedWorkers: () => [...controllers.values()].map((controller) => {
      const worker = controller.readWorker()
      return { ...worker, leaving: worker.leaving || options.isDrained?.(worker.id) === true }
    }),
    dispose: () => {
      for (const controller of controllers.values()) controller.dispose()
      controllers.clear()
    }
  }
}
