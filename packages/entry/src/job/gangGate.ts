/** Holds the members of a gang back until every owner has confirmed that it has its part. */
import type { AttemptId, CellScheduler } from '@fuchsiatally/core'

/** Gate of the gangs of one term of the role. */
export interface GangGate {
  /** Members of a gang were placed; the whole gang is held from now on. */
  addGang: (job: string) => void
  /** Whether an attempt shall be handed to its owner without being started. */
  isHeld: (id: AttemptId) => boolean
  /**
   * Releases each held gang whose members are all confirmed, or one of whose members runs already.
   *
   * @returns workers whose desired sets changed by that
   */
  releaseReady: () => string[]
  /** A member runs or has run: the gang was released before, perhaps by another holder of the role. */
  recordRunning: (id: AttemptId) => void
}

/** Options of the gate. */
export interface GangGateOptions {
  readonly readScheduler: () => CellScheduler
  /** Whether the worker's owner has confirmed the desired set that was sent last, and nothing changed since. */
  readonly isConfirmed: (worker: string) => boolean
}

/** Creates a gate without gangs. */
export function createGangGate (options: GangGateOptions): GangGate {
  const heldGangs = new Set<string>()

  const isCurrent = (id: AttemptId): boolean => {
    const task = options.readScheduler().readJobState(id.job)?.tasks[id.task]
    return task?.attempt === id.attempt
  }

  /** Members whose attempt is assigned; one that was stopped or lost no longer counts. */
  const listAssignedWorkers = (job: string): string[] => {
    const state = options.readScheduler().readJobState(job)
    const workers = new Set<string>()
    for (const task of state?.tasks ?? []) {
      if (task.phase === 'assigned' && task.worker !== undefined) workers.add(task.worker)
    }
    return [...workers]
  }

  return {
    addGang: (job) => { heldGangs.add(job) },
    isHeld: (id) => heldGangs.has(id.job),
    releaseReady: () => {
      const changed: string[] = []
      for (const job of [...heldGangs]) {
        const workers = listAssignedWorkers(job)
        if (!workers.every(options.isConfirmed)) continue
        heldGangs.delete(job)
        changed.push(...workers)
      }
      return changed
    },
    recordRunning: (id) => {
      // A late report of an earlier attempt says nothing about the present one.
      if (heldGangs.has(id.job) && isCurrent(id)) heldGangs.delete(id.job)
    }
  }
}
