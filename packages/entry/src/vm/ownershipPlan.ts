/** Plans the changes to owner rows that this entry should make, from the rows it has read. */
import { buildOwnerRow, chooseOwner, OWNER_PREFIX } from '@fuchsiatally/core'
import type { OwnerCandidate, OwnerRow, RowCheck, Vm } from '@fuchsiatally/core'
import type { SessionService } from '../failureDomain/sessions.js'
import type { CachedOwnerRow, OwnerRows } from './ownerRows.js'
import type { VmDirectory } from './vmDirectory.js'

/** Time for which a VM must be missing from the list before its owner row is deleted, in milliseconds. */
export const ABSENT_VM_RETENTION_MS = 60_000
/** Maximum number of workers handed over to better-placed entries between two reads of the table. */
export const MAX_HANDOVERS_PER_POLL = 16

/** Planned change of one owner row. */
export interface OwnershipChange {
  /**
   * `claim`: the worker has no valid row; `take`: the session of its owner has ended; `give`: another entry is better placed or this one shuts down;
   * `raise`: a higher epoch was requested; `contacted`: the worker accepted the epoch, which fences off all earlier owners; `remove`: its VM
   * no longer exists.
   */
  readonly kind: 'claim' | 'take' | 'give' | 'raise' | 'contacted' | 'remove'
  readonly worker: string
  readonly previous: CachedOwnerRow | undefined
  /** `null` deletes the row. */
  readonly row: OwnerRow | null
  /** Check that the expired session of the previous owner has not been renewed since it was read; `null` if no such session exists. */
  readonly sessionCheck: RowCheck | null
}

/** Inputs of the plan. */
export interface OwnershipPlanOptions {
  readonly sessions: SessionService
  readonly directory: VmDirectory
  readonly rows: OwnerRows
  /** Minimum epochs requested by the worker controllers, by worker. */
  readonly requestedEpochs: ReadonlyMap<string, number>
  /** Epochs of which the worker has accepted a lease call, by worker. */
  readonly acceptedEpochs: ReadonlyMap<string, number>
}

/** Chooses owners and caches the result until the candidates change. */
export interface OwnerChooser {
  chooseTarget: (vm: Vm, candidates: readonly OwnerCandidate[]) => OwnerCandidate | null
}

/** Creates the chooser. The cache avoids rehashing every worker each second, which would dominate the cost of planning at 990 workers. */
export function createOwnerChooser (): OwnerChooser {
  let cachedCandidates = ''
  const targets = new Map<string, OwnerCandidate | null>()
  return {
    chooseTarget: (vm, candidates) => {
      const current = candidates.map((candidate) => candidate.incarnation).join(' ')
      if (current !== cachedCandidates) targets.clear()
      cachedCandidates = current
      let target = targets.get(vm.id)
      if (target === undefined) {
        target = chooseOwner(vm.id, vm.failureDomain, candidates)
        targets.set(vm.id, target)
      }
      return target
    }
  }
}

/** Lists the entries that are eligible to own workers. */
export function listCandidates (sessions: SessionService): OwnerCandidate[] {
  return sessions.listSessions()
    .filter((session) => !session.expired && !session.leaving)
    .sort((a, b) => a.entry < b.entry ? -1 : 1)
}

/** Collects the changes that are due, including at most `MAX_HANDOVERS_PER_POLL` handovers. */
export function collectChanges (options: OwnershipPlanOptions, chooser: OwnerChooser): OwnershipChange[] {
  const candidates = listCandidates(options.sessions)
  const changes: OwnershipChange[] = []
  let handovers = 0
  for (const vm of options.directory.listVms()) {
    const change = planWorker(options, vm, chooser.chooseTarget(vm, candidates))
    if (change === null) continue
    if (change.kind === 'give') {
      if (handovers >= MAX_HANDOVERS_PER_POLL) continue
      handovers += 1
    }
    changes.push(change)
  }
  return [...changes, ...collectRemovals(options, candidates)]
}

function planWorker (options: OwnershipPlanOptions, vm: Vm, target: OwnerCandidate | null): OwnershipChange | null {
  const { sessions, rows } = options
  const known = rows.getRow(vm.id)
  const row = known?.row ?? null
  if (row?.incarnation === sessions.incarnation) return planOwned(options, vm, known!, row, target)
  if (target?.incarnation !== sessions.incarnation) return null
  const base = { worker: vm.id, previous: known, row: buildOwnerRow(row, sessions.incarnation), sessionCheck: null }
  if (row === null) return vm.state === 'gone' ? null : { ...base, kind: 'claim' }
  if (!sessions.isGone(row.incarnation)) return null
  return { ...base, kind: 'take', sessionCheck: sessions.readSessionCheck(row.incarnation) }
}

function planOwned (
  options: OwnershipPlanOptions, vm: Vm, known: CachedOwnerRow, row: OwnerRow, target: OwnerCandidate | null
): OwnershipChange | null {
  const { sessions, requestedEpochs, acceptedEpochs } = options
  const base = { worker: vm.id, previous: known, sessionCheck: null }
  if (target !== null && target.incarnation !== sessions.incarnation && vm.state !== 'gone') {
    return { ...base, kind: 'give', row: buildOwnerRow(row, target.incarnation) }
  }
  const requested = requestedEpochs.get(vm.id)
  if (requested !== undefined && requested > row.epoch) {
    return { ...base, kind: 'raise', row: buildOwnerRow(row, sessions.incarnation, requested) }
  }
  if (row.unfenced.length > 0 && acceptedEpochs.get(vm.id) === row.epoch) {
    return { ...base, kind: 'contacted', row: { ...row, unfenced: [] } }
  }
  return null
}

/**
 * Collects removals of rows whose VMs have been missing from the list for the retention time, because such a VM never runs again. An entry
 * removes the rows that it owns and, if rendezvous hashing chooses it, those of owners whose sessions have ended.
 */
function collectRemovals (options: OwnershipPlanOptions, candidates: readonly OwnerCandidate[]): OwnershipChange[] {
  const { sessions, rows, directory } = options
  const removals: OwnershipChange[] = []
  for (const [worker, known] of rows.listRows()) {
    if (known.row === null || directory.readAbsenceMs(worker) < ABSENT_VM_RETENTION_MS) continue
    const owner = known.row.incarnation
    const isOwned = owner === sessions.incarnation ||
      (sessions.isGone(owner) && chooseOwner(worker, '', candidates)?.incarnation === sessions.incarnation)
    if (isOwned) removals.push({ kind: 'remove', worker, previous: known, row: null, sessionCheck: null })
  }
  return removals
}

/** Collects handovers of all owned workers to the best-placed entries other than this one. */
export function collectHandovers (options: OwnershipPlanOptions): OwnershipChange[] {
  const { sessions, rows, directory } = options
  const candidates = listCandidates(sessions).filter(({ incarnation }) => incarnation !== sessions.incarnation)
  const handovers: OwnershipChange[] = []
  for (const [worker, known] of rows.listRows()) {
    if (known.row?.incarnation !== sessions.incarnation) continue
    const target = chooseOwner(worker, directory.getVm(worker)?.failureDomain ?? '', candidates)
    if (target === null) continue
    const row = buildOwnerRow(known.row, target.incarnation)
    handovers.push({ kind: 'give', worker, previous: known, row, sessionCheck: null })
  }
  return handovers
}

/** Formats the key of a worker's owner row. */
export function formatOwnerKey (worker: string): string {
  return OWNER_PREFIX + worker
}
