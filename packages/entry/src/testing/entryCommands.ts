/** Jobs, failures and other events of an entry cell, as values that a property test can generate and shrink. */
import type { JobSpec, Team } from '@fuchsiatally/core'
import type { CellEntry, EntryCell } from './entryCell.js'
import { createWorkerLinkFaults } from './fakeWorkerClient.js'

/** One command; indices are taken modulo the size of the cell. */
export type EntryCommand =
  | { readonly kind: 'run', readonly ms: number }
  | { readonly kind: 'submit', readonly entry: number, readonly team: number, readonly job: JobSpec['kind'], readonly urgent: boolean, readonly tasks: number, readonly processors: number, readonly runMs: number }
  | { readonly kind: 'cancel', readonly entry: number, readonly job: number }
  | { readonly kind: 'pause', readonly entry: number, readonly leadMs: number }
  | { readonly kind: 'resume' | 'kill' | 'start' | 'stop', readonly entry: number }
  | { readonly kind: 'platform', readonly entry: number, readonly fault: 'outage' | 'silent' | 'lostAnswers' | 'lateEffects' | 'staleReads' | 'slow' | 'none' }
  | { readonly kind: 'outage', readonly on: boolean }
  | { readonly kind: 'worker', readonly entry: number, readonly worker: number, readonly fault: 'unreachable' | 'silent' | 'late' | 'doubled' | 'lostAnswers' | 'none' }
  /** Like `worker`, but for the links of all entries to the worker. */
  | { readonly kind: 'workerCut', readonly worker: number, readonly on: boolean }
  | { readonly kind: 'cut' | 'heal', readonly entry: number, readonly peer: number }
  | { readonly kind: 'restartWorker' | 'loseVm', readonly worker: number }

/** A job that an entry accepted. */
export interface AcceptedJob {
  readonly team: string
  readonly id: string
  cancelled: boolean
}

const FAULT_RATE = 0.4
const LATE_MS = 15_000
const DEFAULT_PLATFORM_DELAY_MS = 30
const SLOW_PLATFORM_DELAY_MS = 450

function setPlatformFault (target: CellEntry, fault: string): void {
  const { faults } = target.platform
  faults.outage = fault === 'outage'
  faults.silent = fault === 'silent'
  faults.lostAnswerRate = fault === 'lostAnswers' ? FAULT_RATE : 0
  faults.lateEffectRate = fault === 'lateEffects' ? FAULT_RATE : 0
  faults.delayMs = fault === 'slow' ? SLOW_PLATFORM_DELAY_MS : DEFAULT_PLATFORM_DELAY_MS
  faults.staleReadRate = fault === 'staleReads' ? FAULT_RATE : 0
}

function setWorkerFault (target: CellEntry, worker: string, fault: string): void {
  Object.assign(target.linkFaults.get(worker)!, createWorkerLinkFaults(), {
    unreachable: fault === 'unreachable',
    silent: fault === 'silent',
    lateEffectRate: fault === 'late' ? FAULT_RATE : 0,
    maxLateEffectMs: LATE_MS,
    duplicateRate: fault === 'doubled' ? FAULT_RATE : 0,
    lostAnswerRate: fault === 'lostAnswers' ? FAULT_RATE : 0
  })
}

function buildSpec (command: Extract<EntryCommand, { kind: 'submit' }>): JobSpec {
  return {
    name: 'job',
    kind: command.job,
    priority: command.urgent ? 'urgent' : 'normal',
    taskCount: command.tasks,
    resources: { processors: command.processors, memoryMb: 64, accelerators: 0 },
    runTimeMs: command.runMs,
    maxRetries: 1,
    checkpointable: command.urgent,
    payload: JSON.stringify({ runMs: command.runMs })
  }
}

/** Submits a job and adds it to `accepted` once the entry reports it as durable. */
function submitJob (cell: EntryCell, target: CellEntry, team: Team, command: Extract<EntryCommand, { kind: 'submit' }>, accepted: AcceptedJob[]): void {
  target.entry.admission.submitJob(team, undefined, buildSpec(command)).then((view) => {
    if (view.isOk()) accepted.push({ team: team.name, id: view.value.id, cancelled: false })
  }, (error: unknown) => { cell.oracle.violations.push(`submission threw ${String(error)}`) })
}

function cancelJob (target: CellEntry, job: AcceptedJob): void {
  target.entry.admission.cancelJob(job.team, job.id).then((view) => {
    if (view.isOk()) job.cancelled = true
  }, () => {})
}

/** Applies a command to the cell. */
export async function applyEntryCommand (cell: EntryCell, command: EntryCommand, teams: readonly Team[], accepted: AcceptedJob[]): Promise<void> {
  const target = cell.entries['entry' in command ? command.entry % cell.entries.length : 0]!
  const worker = cell.workers['worker' in command ? command.worker % cell.workers.length : 0]!
  switch (command.kind) {
    case 'run': return await cell.runFor(command.ms)
    case 'submit': return submitJob(cell, target, teams[command.team % teams.length]!, command, accepted)
    case 'cancel': {
      const job = accepted[command.job % Math.max(1, accepted.length)]
      if (job !== undefined) cancelJob(target, job)
      return
    }
    case 'pause': return target.process.pause(command.leadMs)
    case 'resume': return target.process.resume()
    case 'kill': return target.process.kill()
    case 'start': return cell.startEntry(cell.entries.indexOf(target))
    case 'stop': {
      cell.stopEntry(cell.entries.indexOf(target)).catch(() => {})
      return
    }
    case 'platform': return setPlatformFault(target, command.fault)
    case 'outage': {
      for (const each of cell.entries) setPlatformFault(each, command.on ? 'outage' : 'none')
      return
    }
    case 'worker': {
      if (!cell.lostWorkers.has(worker.id)) setWorkerFault(target, worker.id, command.fault)
      return
    }
    case 'workerCut': {
      if (cell.lostWorkers.has(worker.id)) return
      for (const each of cell.entries) setWorkerFault(each, worker.id, command.on ? 'unreachable' : 'none')
      return
    }
    case 'cut':
    case 'heal': {
      const peer = cell.entries[command.peer % cell.entries.length]!
      if (peer === target) return
      if (command.kind === 'cut') cell.mesh.setCut(target.incarnation, peer.incarnation)
      else cell.mesh.removeCut(target.incarnation, peer.incarnation)
      return
    }
    case 'restartWorker': {
      cell.oracle.recordStateLoss(worker.id)
      worker.restart()
      return
    }
    case 'loseVm': if (cell.lostWorkers.size < cell.workers.length - 2 && !cell.lostWorkers.has(worker.id)) cell.loseVm(cell.workers.indexOf(worker))
  }
}

/** Clears all faults and restarts every entry that is not running. */
export function applyEntryHealing (cell: EntryCell): void {
  for (const [index, target] of cell.entries.entries()) {
    target.process.resume()
    setPlatformFault(target, 'none')
    for (const worker of cell.workers) if (!cell.lostWorkers.has(worker.id)) setWorkerFault(target, worker.id, 'none')
    for (const peer of cell.entries) if (peer !== target) cell.mesh.removeCut(target.incarnation, peer.incarnation)
    if (!target.process.isRunning() || !target.isServing()) cell.startEntry(index)
  }
}
