/** Start barrier for gangs: no member starts until the owners of all members have confirmed their assignments. */
import type { AttemptId, CellScheduler } from '@fuchsiatally/core'

/** Start barrier for the gangs of one term of the scheduler role. */
export interface GangBarrier {
  /** Holds all members of a gang; called when one of them is placed and when a term loads the gang. */
  addGang: (job: string) => void
  /** Whether an attempt is to be sent to its owner without being started. */
  isHeld: (id: AttemptId) => boolean
  /**
   * Releases each held gang whose assigned members are all confirmed.
   *
   * @returns workers whose desired sets change with the release
   */
  releaseReady: () => string[]
  /** Releases the gang of an attempt that runs or has run: it was released earlier, possibly by the previous holder of the role. */
  recordRunning: (id: AttemptId) => void
}

/** Options of the gang barrier. */
export interface GangBarrierOptions {
  readonly readScheduler: () => CellScheduler
  /** Whether the worker's owner has confirmed the last desired set sent, and the set has not changed since. */
  readonly isConfirmed: (worker: string) => boolean
}

/** Creates a barrier that holds no gang. */
export function createGangBarrier (options: GangBarrierOptions): GangBarrier {
  const heldGangs = new Set<string>()

  const isCurrent = (id: AttemptId): boolean => {
    const task = options.readScheduler().readJobState(id.job)?.tasks[id.task]
    return task?.attempt === id.attempt
  }

  /** Lists the workers of assigned members; members that were stopped or lost do not count. */
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
      // A delayed report of an earlier attempt does not apply to the current one.
      if (heldGangs.has(id.job) && isCurrent(id)) heldGangs.delete(id.job)
    }
  }
}
