/** Decides which owner rows this entry shall change, from what it has read. */
import { buildOwnerRow, chooseOwner, OWNER_PREFIX } from '@fuchsiatally/core'
import type { OwnerCandidate, OwnerRow, RowCheck, Vm } from '@fuchsiatally/core'
import type { SessionService } from '../failureDomain/sessions.js'
import type { KnownOwner, OwnerRows } from './ownerRows.js'
import type { VmDirectory } from './vmDirectory.js'

/** How long the list must not have shown a VM before its row is deleted, in milliseconds. */
export const ABSENT_VM_MS = 60_000
/** Most workers handed over between two reads of the table, in favour of a better-placed entry. */
export const MAX_GIVEN_PER_POLL = 16

/** One row to be written. */
export interface OwnershipChange {
  readonly kind: 'claim' | 'take' | 'give' | 'raise' | 'contacted' | 'remove'
  readonly worker: string
  readonly previous: KnownOwner | undefined
  /** `null` deletes the row. */
  readonly row: OwnerRow | null
  /** Row of an expired session that must not have been renewed meanwhile. */
  readonly sessionCheck: RowCheck | null
}

/** What the plan is made from. */
export interface OwnershipPlanOptions {
  readonly sessions: SessionService
  readonly directory: VmDirectory
  readonly rows: OwnerRows
  /** Epochs that the worker's liaison asked for: the lowest that will do, by worker. */
  readonly wantedEpochs: ReadonlyMap<string, number>
  /** Epochs of which a contact was accepted, by worker. */
  readonly contactedEpochs: ReadonlyMap<string, number>
}

/** Chooses owners with a memory that lasts as long as the candidates are the same. */
export interface OwnerChooser {
  chooseTarget: (vm: Vm, candidates: readonly OwnerCandidate[]) => OwnerCandidate | null
}

/** Creates the chooser; hashing 990 workers each second again would cost more than all else here. */
export function createOwnerChooser (): OwnerChooser {
  let signature = ''
  const targets = new Map<string, OwnerCandidate | null>()
  return {
    chooseTarget: (vm, candidates) => {
      const current = candidates.map((candidate) => candidate.incarnation).join(' ')
      if (current !== signature) targets.clear()
      signature = current
      let target = targets.get(vm.id)
      if (target === undefined) {
        target = chooseOwner(vm.id, vm.failureDomain, candidates)
        targets.set(vm.id, target)
      }
      return target
    }
  }
}

/** Lists the entries that may own workers now. */
export function listCandidates (sessions: SessionService): OwnerCandidate[] {
  return sessions.listSessions()
    .filter((session) => !session.expired && !session.leaving)
    .sort((a, b) => a.entry < b.entry ? -1 : 1)
}

/** Lists the changes that are due; at most `MAX_GIVEN_PER_POLL` of them hand workers over. */
export function collectChanges (options: OwnershipPlanOptions, chooser: OwnerChooser): OwnershipChange[] {
  const candidates = listCandidates(options.sessions)
  const changes: OwnershipChange[] = []
  let given = 0
  for (const vm of options.directory.listVms()) {
    const change = planWorker(options, vm, chooser.chooseTarget(vm, candidates))
    if (change === null) continue
    if (change.kind === 'give') {
      if (given >= MAX_GIVEN_PER_POLL) continue
      given += 1
    }
    changes.push(change)
  }
  return [...changes, ...collectRemovals(options, candidates)]
}

function planWorker (options: OwnershipPlanOptions, vm: Vm, target: OwnerCandidate | null): OwnershipChange | null {
  const { sessions, rows } = options
  const known = rows.getOwner(vm.id)
  const row = known?.row ?? null
  if (row?.incarnation === sessions.incarnation) return planOwn(options, vm, known!, row, target)
  if (target?.incarnation !== sessions.incarnation) return null
  const base = { worker: vm.id, previous: known, row: buildOwnerRow(row, sessions.incarnation), sessionCheck: null }
  if (row === null) return vm.state === 'gone' ? null : { ...base, kind: 'claim' }
  if (!sessions.isGone(row.incarnation)) return null
  return { ...base, kind: 'take', sessionCheck: sessions.readSessionCheck(row.incarnation) }
}

function planOwn (
  options: OwnershipPlanOptions, vm: Vm, known: KnownOwner, row: OwnerRow, target: OwnerCandidate | null
): OwnershipChange | null {
  const { sessions, wantedEpochs, contactedEpochs } = options
  const base = { worker: vm.id, previous: known, sessionCheck: null }
  if (target !== null && target.incarnation !== sessions.incarnation && vm.state !== 'gone') {
    return { ...base, kind: 'give', row: buildOwnerRow(row, target.incarnation) }
  }
  const wanted = wantedEpochs.get(vm.id)
  if (wanted !== undefined && wanted > row.epoch) {
    return { ...base, kind: 'raise', row: buildOwnerRow(row, sessions.incarnation, wanted) }
  }
  if (row.unfenced.length > 0 && contactedEpochs.get(vm.id) === row.epoch) {
    return { ...base, kind: 'contacted', row: { ...row, unfenced: [] } }
  }
  return null
}

/** Rows of VMs that the list has not shown for long: they never run again. */
function collectRemovals (options: OwnershipPlanOptions, candidates: readonly OwnerCandidate[]): OwnershipChange[] {
  const { sessions, rows, directory } = options
  const removals: OwnershipChange[] = []
  for (const [worker, known] of rows.listOwners()) {
    if (known.row === null || directory.readAbsenceMs(worker) < ABSENT_VM_MS) continue
    const owner = known.row.incarnation
    const isOurs = owner === sessions.incarnation ||
      (sessions.isGone(owner) && chooseOwner(worker, '', candidates)?.incarnation === sessions.incarnation)
    if (isOurs) removals.push({ kind: 'remove', worker, previous: known, row: null, sessionCheck: null })
  }
  return removals
}

/** Lists the hand-over of every worker owned, to the entries that are best placed without this one. */
export function collectGifts (options: OwnershipPlanOptions): OwnershipChange[] {
  const { sessions, rows, directory } = options
  const candidates = listCandidates(sessions).filter(({ incarnation }) => incarnation !== sessions.incarnation)
  const gifts: OwnershipChange[] = []
  for (const [worker, known] of rows.listOwners()) {
    if (known.row?.incarnation !== sessions.incarnation) continue
    const target = chooseOwner(worker, directory.getVm(worker)?.failureDomain ?? '', candidates)
    if (target === null) continue
    const row = buildOwnerRow(known.row, target.incarnation)
    gifts.push({ kind: 'give', worker, previous: known, row, sessionCheck: null })
  }
  return gifts
}

/** Formats the key of a worker's row. */
export function formatOwnerKey (worker: string): string {
  return OWNER_PREFIX + worker
}
