/** Failures and other events of a membership cell, as values that a property test can generate and shrink. */
import { createWorkerLinkFaults, type WorkerLinkFaults } from './fakeWorkerClient.js'
import type { CellEntry, MembershipCell } from './membershipCell.js'

/** One command; indices are taken modulo the size of the cell. */
export type MembershipCommand =
  | { readonly kind: 'run', readonly ms: number }
  | { readonly kind: 'pause', readonly entry: number, readonly leadMs: number }
  | { readonly kind: 'resume', readonly entry: number }
  | { readonly kind: 'kill', readonly entry: number }
  | { readonly kind: 'start', readonly entry: number }
  | { readonly kind: 'stop', readonly entry: number }
  | { readonly kind: 'platform', readonly entry: number, readonly fault: 'outage' | 'silent' | 'lostAnswers' | 'lateEffects' | 'staleReads' | 'slow' | 'none' }
  | { readonly kind: 'worker', readonly entry: number, readonly worker: number, readonly fault: 'unreachable' | 'silent' | 'late' | 'doubled' | 'lostAnswers' | 'slow' | 'none' }
  | { readonly kind: 'cutDomain', readonly entry: number }
  | { readonly kind: 'cutScheduler', readonly entry: number }
  | { readonly kind: 'healScheduler', readonly entry: number }
  | { readonly kind: 'restartWorker', readonly worker: number }
  | { readonly kind: 'loseVm', readonly worker: number }
  | { readonly kind: 'deposeScheduler' }
  | { readonly kind: 'stopTask', readonly task: number }

const LATE_MS = 15_000
const FAULT_RATE = 0.4

function setPlatformFault ({ platform: { faults } }: CellEntry, fault: string): void {
  faults.outage = fault === 'outage'
  faults.silent = fault === 'silent'
  faults.lostAnswerRate = fault === 'lostAnswers' ? FAULT_RATE : 0
  faults.lateEffectRate = fault === 'lateEffects' ? FAULT_RATE : 0
  faults.staleReadRate = fault === 'staleReads' ? FAULT_RATE : 0
  faults.delayMs = fault === 'slow' ? 400 : 0
}

function setWorkerFault (faults: WorkerLinkFaults, fault: string): void {
  Object.assign(faults, createWorkerLinkFaults(), {
    unreachable: fault === 'unreachable',
    silent: fault === 'silent',
    lateEffectRate: fault === 'late' ? FAULT_RATE : 0,
    maxLateEffectMs: LATE_MS,
    duplicateRate: fault === 'doubled' ? FAULT_RATE : 0,
    lostAnswerRate: fault === 'lostAnswers' ? FAULT_RATE : 0,
    delayMs: fault === 'slow' ? 450 : 0
  })
}

/** Isolates a failure domain: its entries lose the platform and the scheduler, and no entry reaches a worker on the other side. Links between entries stay open. */
function cutDomain (cell: MembershipCell, { failureDomain }: CellEntry, schedulerName: string): void {
  for (const entry of cell.entries) {
    const isInside = entry.failureDomain === failureDomain
    if (isInside) {
      setPlatformFault(entry, 'silent')
      cell.mesh.setCut(entry.incarnation, schedulerName)
    }
    for (const [worker, faults] of entry.linkFaults) {
      if (worker.endsWith(`-${failureDomain}`) !== isInside) setWorkerFault(faults, 'unreachable')
    }
  }
}

/** Applies a command to the cell. */
export async function applyCommand (cell: MembershipCell, command: MembershipCommand): Promise<void> {
  const entry = 'entry' in command ? cell.entries[command.entry % cell.entries.length]! : cell.entries[0]!
  const worker = 'worker' in command ? cell.workers[command.worker % cell.workers.length]! : cell.workers[0]!
  const schedulerName = `scheduler${cell.schedulers.length}`
  switch (command.kind) {
    case 'run': return await cell.runFor(command.ms)
    case 'pause': return entry.process.pause(command.leadMs)
    case 'resume': return entry.process.resume()
    case 'kill': return entry.process.kill()
    case 'start': return cell.startEntry(cell.entries.indexOf(entry))
    case 'stop': {
      cell.stopEntry(cell.entries.indexOf(entry)).catch(() => {})
      return
    }
    case 'platform': return setPlatformFault(entry, command.fault)
    case 'worker': return setWorkerFault(entry.linkFaults.get(worker.id)!, command.fault)
    case 'cutDomain': return cutDomain(cell, entry, schedulerName)
    case 'cutScheduler': return cell.mesh.setCut(entry.incarnation, schedulerName)
    case 'healScheduler': return cell.mesh.removeCut(entry.incarnation, schedulerName)
    case 'restartWorker': return worker.restart()
    case 'loseVm': {
      if (cell.lostWorkers.size >= cell.workers.length - 1) return
      cell.loseVm(cell.workers.indexOf(worker))
      return
    }
    case 'deposeScheduler': return cell.deposeScheduler()
    case 'stopTask': cell.schedulers.at(-1)!.stopTask(command.task)
  }
}

/** Clears all faults and restarts every entry that is not running. */
export function applyHealing (cell: MembershipCell): void {
  const schedulerName = `scheduler${cell.schedulers.length}`
  for (const [index, entry] of cell.entries.entries()) {
    entry.process.resume()
    setPlatformFault(entry, 'none')
    for (const faults of entry.linkFaults.values()) setWorkerFault(faults, 'none')
    cell.mesh.removeCut(entry.incarnation, schedulerName)
    if (!entry.process.isRunning() || !entry.isServing()) cell.startEntry(index)
  }
}
