/** Workers set apart for suspected tasks, so that a crash shows its cause and takes no sound run with it. */
import { hasRoomFor, subtractResources, type Resources } from '../schema/resources.js'
import { isSettled } from './crashEvidence.js'
import { MAX_HOLD_MS, MAX_ISOLATED_SHARE, MIN_ISOLATED_WORKERS, SPARED_FREE_SHARE, SUSPECT_WAIT_MS } from './constants.js'
import { canEverRun, computeFree, computeTaskResources, isAvailable, type PartitionWorker } from './partitionWorker.js'
import type { PlanningRound } from './planningRound.js'
import { isFinal, isSuspected, type Task } from './jobState.js'
import { computeSize, mayBePreempted } from './preemption.js'
import { hasPassedProbation } from './probation.js'
import type { IsolationChange } from './plannerTypes.js'
import { countTasksByWorker, type StepInstance } from './stepInstance.js'
import { isLikelyCause } from './suspectWaits.js'

/** Isolated workers of a partition: each tries the suspected tasks of one step after the other. */
export interface Isolation {
  /** Ends the isolation of workers that no suspected task runs on or waits for. */
  startRound: (nowMs: number) => void
  /**
   * Held workers with room for the step, once clear: its own and, unless it is a gang or a likely cause, those of other steps. A gang's are for it
   * alone until it has started.
   */
  listHeld: (instance: StepInstance, round: PlanningRound) => PartitionWorker[]
  /** Whether a held worker is up and clear of all tasks that a crash could be mistaken for. */
  isClear: (worker: PartitionWorker, instance: StepInstance, nowMs: number) => boolean
  /**
   * Holds a worker for a step; one that is soon clear, and among those the one that has been up longest.
   *
   * @param isLate the job can't earn credit any more: a partition without room holds the least number of workers for such jobs
   * @returns tasks to preempt, so that the worker is clear sooner; `null` if no worker is held
   */
  tryHold: (instance: StepInstance, isLate: boolean, round: PlanningRound) => readonly Task[] | null
  /** Workers held for the step itself that have room for it, once clear. */
  countHeld: (instance: StepInstance, nowMs: number) => number
  /** Records that a suspected task starts at a held worker. */
  recordUse: (worker: PartitionWorker, nowMs: number) => void
  /** Keeps held workers in the next round for a step with suspects that could not start. */
  keep: (held: readonly PartitionWorker[]) => void
  /** Changes since the last call. */
  takeChanges: () => IsolationChange[]
}

interface Hold {
  readonly instance: StepInstance
  readonly sinceMs: number
  /** Time of the last start of a suspected task there, or since which the worker is held. */
  usedAtMs: number
  /** Last round in which a step was left with suspects that may use the worker. */
  wantedRound: number
}

/** Most workers that may be held. */
interface HoldLimits {
  /** A share of all workers. */
  readonly underLoad: number
  /** As many as leave the other tasks enough room. */
  readonly withRoom: number
}

/** Share of `underLoad` for steps that need not run again within seconds, and for likely causes: if they are, their jobs are not missed. */
const BATCH_SHARE = 0.5
const LIKELY_CAUSE_SHARE = 0.25
/** Time until a preempted task has ended, in milliseconds. */
const PREEMPTION_MS = 400
/** Cost of a worker that the advice service has not allowed before, in milliseconds: it rules out about half of the workers. */
const UNKNOWN_ADVICE_COST_MS = 500
/** A worker with a long-running task is chosen only if the others take longer than this to become clear, in milliseconds. */
const LASTING_TASK_COST_MS = 10_000

function isOfStep (task: Task, { job, occurrence, index }: StepInstance): boolean {
  return task.job === job.id && task.occurrence === occurrence.index && task.step === index
}

function hasWaitingSuspects ({ job, tasks }: StepInstance): boolean {
  return !isFinal(job.phase) && tasks.some((task) => task.phase === 'waiting' && isSuspected(task))
}

/** Whether each suspected task of a step is the likely cause of a crash. */
function isLikelyCauseStep ({ tasks }: StepInstance): boolean {
  return tasks.every((task) => !isSuspected(task) || isLikelyCause(task))
}

/** Whether a task at a worker can't be the cause of a crash right after the start of a task of the step. */
function isNoCause (task: Task, worker: PartitionWorker, instance: StepInstance, nowMs: number): boolean {
  if (isSettled(task, nowMs)) return true
  if (!hasPassedProbation(task, worker, nowMs)) return false
  // The next crash under a likely cause is the proof against it.
  return task.definition.longRunning || !isLikelyCauseStep(instance)
}

/** Whether a worker can take a further task of the step once it is clear. */
function isUseful (worker: PartitionWorker, instance: StepInstance, nowMs: number): boolean {
  const { step, taskResources } = instance
  if (!canEverRun(worker, step) || instance.unsuitable.has(worker.info.id)) return false
  let left: Resources = worker.info.capacity
  let own = 0
  for (const task of worker.tasks) {
    const isOwn = isOfStep(task, instance)
    if (isOwn) own++
    if (isOwn || isNoCause(task, worker, instance, nowMs)) left = subtractResources(left, computeTaskResources(task.definition))
  }
  return hasRoomFor(left, taskResources) && (step.maxPerWorker === 0 || own < step.maxPerWorker)
}

/** Creates isolation without held workers. */
export function createIsolation (workers: ReadonlyMap<string, PartitionWorker>): Isolation {
  const holds = new Map<PartitionWorker, Hold>()

  let changes: IsolationChange[] = []
  let roundNumber = 0
  /** Limits of this round; computed when first needed. */
  let limits: HoldLimits | null = null

  const recordChange = (worker: PartitionWorker, { instance, sinceMs }: Hold, kind: IsolationChange['kind'], nowMs: number): void => {
    changes.push({ worker: worker.info.id, step: instance.key, kind, heldMs: Math.round(nowMs - sinceMs) })
  }

  const release = (worker: PartitionWorker, hold: Hold, nowMs: number): void => {
    holds.delete(worker)
    worker.isolated = false
    recordChange(worker, hold, 'released', nowMs)
  }

  const isStillNeeded = (worker: PartitionWorker, { instance, usedAtMs, wantedRound }: Hold, nowMs: number): boolean => {
    if (workers.get(worker.info.id) !== worker) return false
    const apart = [...worker.tasks].filter(isSuspected)
    if (!worker.synced) return apart.length > 0
    if (apart.some((task) => !hasPassedProbation(task, worker, nowMs))) return true
    if (!isAvailable(worker, nowMs) || nowMs - usedAtMs > MAX_HOLD_MS) return false
    return wantedRound === roundNumber || (hasWaitingSuspects(instance) && isUseful(worker, instance, nowMs))
  }

  const computeLimits = (nowMs: number): HoldLimits => {
    let available = 0
    let capacity = 0
    let free = 0
    for (const worker of workers.values()) {
      if (!isAvailable(worker, nowMs)) continue
      available++
      capacity += computeSize(worker.info.capacity)
      free += computeSize(computeFree(worker))
    }
    const freeShare = capacity > 0 ? free / capacity : 0
    return { underLoad: available * MAX_ISOLATED_SHARE, withRoom: Math.floor(available * (freeShare - SPARED_FREE_SHARE)) }
  }

  const countHeld = (instance: StepInstance, nowMs: number): number => {
    let count = 0
    for (const [worker, hold] of holds) if (hold.instance === instance && isUseful(worker, instance, nowMs)) count++
    return count
  }

  /** Whether one more worker may be held. A gang starts as a whole: once it holds a worker, it may hold all that its suspects need. */
  const mayHold = (instance: StepInstance, isLate: boolean, nowMs: number): boolean => {
    if (countHeld(instance, nowMs) > 0) return true
    limits ??= computeLimits(nowMs)
    const isOverdue = instance.waitingSinceMs !== null && nowMs - instance.waitingSinceMs > SUSPECT_WAIT_MS
    const share = isLate ? 0 : instance.step.longRunning || isOverdue ? 1 : isLikelyCauseStep(instance) ? LIKELY_CAUSE_SHARE : BATCH_SHARE
    if (holds.size < Math.max(MIN_ISOLATED_WORKERS, Math.floor(limits.underLoad * share))) return true
    // The room of crashed workers is missing already.
    let available = 0
    for (const worker of holds.keys()) if (isAvailable(worker, nowMs)) available++
    return available < limits.withRoom
  }

  /** Estimates the time until a worker is clear, in milliseconds; infinite for one that never will be or then has no room. */
  const estimateClearMs = (worker: PartitionWorker, instance: StepInstance, nowMs: number): number => {
    let left: Resources = worker.info.capacity
    let clearMs = 0
    let lasting = 0
    for (const task of worker.tasks) {
      if (task.definition.longRunning && isNoCause(task, worker, instance, nowMs)) {
        lasting++
        left = subtractResources(left, computeTaskResources(task.definition))
      } else if (task.definition.longRunning) return Infinity
      else if (task.stopping || mayBePreempted(task, instance.job.spec.policy.priority)) clearMs = Math.max(clearMs, PREEMPTION_MS)
      else clearMs = Math.max(clearMs, task.definition.estimateMs * (1 - task.percent / 100))
    }
    return hasRoomFor(left, instance.taskResources) ? clearMs + lasting * LASTING_TASK_COST_MS : Infinity
  }

  return {
    startRound: (nowMs) => {
      limits = null
      for (const [worker, hold] of holds) if (!isStillNeeded(worker, hold, nowMs)) release(worker, hold, nowMs)
      roundNumber++
    },
    listHeld: (instance, { nowMs, addEvaluations }) => {
      const usable: PartitionWorker[] = []
      const borrows = !instance.step.gang && !isLikelyCauseStep(instance)
      addEvaluations(holds.size)
      for (const [worker, hold] of holds) {
        if (hold.instance !== instance && (!borrows || (hold.instance.step.gang && hasWaitingSuspects(hold.instance)))) continue
        if (isUseful(worker, instance, nowMs)) usable.push(worker)
      }
      return usable
    },
    isClear: (worker, instance, nowMs) => {
      if (!isAvailable(worker, nowMs)) return false
      for (const task of worker.tasks) if (!isOfStep(task, instance) && !isNoCause(task, worker, instance, nowMs)) return false
      return true
    },
    tryHold: (instance, isLate, round) => {
      if (!mayHold(instance, isLate, round.nowMs)) return null
      const { maxPerWorker } = instance.step
      const counts = maxPerWorker > 0 ? countTasksByWorker(instance) : null
      let best = -1
      let bestMs = Infinity
      round.addEvaluations(round.workers.length)
      const isAdviceRequired = instance.job.spec.policy.advice !== undefined
      for (const [index, worker] of round.workers.entries()) {
        if (worker.isolated || !canEverRun(worker, instance.step) || instance.unsuitable.has(worker.info.id)) continue
        if (counts !== null && (counts.get(worker.info.id) ?? 0) >= maxPerWorker) continue
        const clearMs = estimateClearMs(worker, instance, round.nowMs) + (isAdviceRequired && !instance.tickets.has(worker.info.id) ? UNKNOWN_ADVICE_COST_MS : 0)
        if (clearMs >= bestMs) continue
        best = index
        bestMs = clearMs
      }
      const worker = round.workers[best]
      if (worker === undefined) return null
      worker.isolated = true
      const hold = { instance, sinceMs: round.nowMs, usedAtMs: round.nowMs, wantedRound: -1 }
      holds.set(worker, hold)
      recordChange(worker, hold, 'held', round.nowMs)
      round.reserve(best, worker.info.capacity)
      return [...worker.tasks].filter((task) => mayBePreempted(task, instance.job.spec.policy.priority))
    },
    countHeld,
    recordUse: (worker, nowMs) => {
      const hold = holds.get(worker)
      if (hold !== undefined) hold.usedAtMs = nowMs
    },
    keep: (held) => {
      for (const worker of held) {
        const hold = holds.get(worker)
        if (hold !== undefined) hold.wantedRound = roundNumber
      }
    },
    takeChanges: () => {
      const taken = changes
      changes = []
      return taken
    }
  }
}

/** Chooses held workers for suspected tasks of a step, in order; tasks without room are left out. */
export function placeSuspects (instance: StepInstance, suspects: readonly Task[], held: readonly PartitionWorker[]): { readonly task: Task, readonly worker: PartitionWorker }[] {
  const { maxPerWorker } = instance.step
  const counts = countTasksByWorker(instance)
  const placements: { task: Task, worker: PartitionWorker }[] = []
  for (const worker of held) {
    let left = computeFree(worker)
    let allowed = maxPerWorker > 0 ? maxPerWorker - (counts.get(worker.info.id) ?? 0) : Infinity
    while (allowed > 0 && hasRoomFor(left, instance.taskResources)) {
      const task = suspects[placements.length]
      if (task === undefined) return placements
      placements.push({ task, worker })
      left = subtractResources(left, instance.taskResources)
      allowed--
    }
  }
  return placements
}
