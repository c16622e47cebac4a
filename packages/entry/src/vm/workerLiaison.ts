/** All workers that this entry owns: contact, desired sets and reports to the scheduler. */
import { OUTAGE_TOLERANCE_MS } from '@fuchsiatally/core'
import type { Clock, Disposable, EventLog, Random, Vm, WorkerDesired, WorkerObserved } from '@fuchsiatally/core'
import type { OwnedWorkers, PeerMesh, Sessions, WorkerClientFactory } from '../ports.js'
import { desiredIgnored } from './events.js'
import type { Ownership, OwnershipListener } from './ownership.js'
import { createWorkerTask } from './workerTask.js'
import type { WorkerTask } from './workerTask.js'

/** Options of the liaison. */
export interface WorkerLiaisonOptions {
  readonly sessions: Sessions
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly mesh: PeerMesh
  readonly ownership: Ownership
  readonly createClient: WorkerClientFactory
  /** How long leases are extended after ownership was last confirmed, in milliseconds; default one hour. */
  readonly outageToleranceMs?: number
  /** Lowest cell epoch whose desired sets may count; read in one snapshot with the owner rows (`ownership.readCellEpoch`). */
  readonly readCellEpoch: () => number
  /** Incarnation of the cell's scheduler, possibly this one, or `null` if unknown. */
  readonly findScheduler: () => string | null
  /** Takes reports while the scheduler is this incarnation. */
  readonly onObserved: (message: WorkerObserved) => void
  /** Whether operators drain the VM; default: none. */
  readonly isDrained?: (worker: string) => boolean
}

/** Contact with all owned workers. */
export interface WorkerLiaison extends OwnedWorkers, OwnershipListener, Disposable {
  /** Takes a desired set from the scheduler; sets from peers arrive over the mesh by themselves. */
  handleDesired: (message: WorkerDesired, fromIncarnation: string) => void
}

/** Creates the liaison; pass it to `ownership.start`. */
export function createWorkerLiaison (options: WorkerLiaisonOptions): WorkerLiaison {
  const { clock, random, log, mesh, ownership, sessions } = options
  const tasks = new Map<string, WorkerTask>()
  let highestCellEpoch = 0

  const sendObserved = (message: WorkerObserved): boolean => {
    const scheduler = options.findScheduler()
    if (scheduler !== sessions.incarnation) return scheduler !== null && mesh.sendMessage(scheduler, message)
    options.onObserved(message)
    return true
  }
  const createTask = (vm: Vm): WorkerTask => createWorkerTask(vm, {
    incarnation: sessions.incarnation,
    isSessionValid: sessions.isValid,
    clock,
    random,
    log,
    createClient: options.createClient,
    outageToleranceMs: options.outageToleranceMs ?? OUTAGE_TOLERANCE_MS,
    readConfirmedMs: ownership.readConfirmedMs,
    updateEpoch: ownership.updateEpoch,
    recordContact: ownership.recordContact,
    sendObserved,
    findScheduler: options.findScheduler
  })
  const findFault = (message: WorkerDesired): string | null => {
    const task = tasks.get(message.worker)
    if (task === undefined) return 'not owned'
    if (task.readEpoch() !== message.workerEpoch) return 'other worker epoch'
    if (message.cellEpoch < highestCellEpoch) return 'deposed scheduler'
    const current = task.readDesired()
    if (current?.cellEpoch === message.cellEpoch && current.sequence >= message.sequence) return 'late'
    return null
  }
  const handleDesired = (message: WorkerDesired, fromIncarnation: string): void => {
    highestCellEpoch = Math.max(highestCellEpoch, options.readCellEpoch(), message.cellEpoch)
    const fault = findFault(message)
    if (fault === null) tasks.get(message.worker)!.setDesired(message)
    else log.record(desiredIgnored, { worker: message.worker, from: fromIncarnation, fault })
  }
  mesh.onPeerChange((peer, change) => {
    if (change !== 'up' || peer.incarnation !== options.findScheduler()) return
    for (const task of tasks.values()) task.sendReport()
  })
  mesh.onMessage('workerDesired', (message, from) => handleDesired(message, from.incarnation))

  return {
    handleOwned: ({ vm, epoch, continuous }) => {
      let task = tasks.get(vm.id)
      const isKnown = task !== undefined
      task ??= createTask(vm)
      tasks.set(vm.id, task)
      task.setEpoch(epoch, continuous && isKnown)
    },
    handleDisowned: (worker) => {
      tasks.get(worker)?.dispose()
      tasks.delete(worker)
    },
    handleVm: (vm) => tasks.get(vm.id)?.setVm(vm),
    handleDesired,
    listOwnedWorkers: () => [...tasks.values()].map((task) => {
      const worker = task.readWorker()
      return { ...worker, leaving: worker.leaving || options.isDrained?.(worker.id) === true }
    }),
    dispose: () => {
      for (const task of tasks.values()) task.dispose()
      tasks.clear()
    }
  }
}
