/** Workers set apart for suspected tasks, so that a crash shows its cause and takes no sound run with it. */
import { hasRoomFor, subtractResources, type Resources } from '../schema/resources.js'
import { isSettled } from './crashEvidence.js'
import { LONG_PROBATION_MS, MAX_HOLD_MS, MAX_ISOLATED_FREE_SHARE, MAX_ISOLATED_SHARE, MIN_ISOLATED_WORKERS, PROBATION_MS } from './constants.js'
import { canEverRun, computeFree, computeTaskResources, isAvailable, type PartitionWorker } from './partitionWorker.js'
import type { PlanningRound } from './planningRound.js'
import { isFinal, isSuspected, type Task } from './jobState.js'
import { computeSize, mayBePreempted } from './preemption.js'
import type { IsolationChange } from './plannerTypes.js'
import { countTasksByWorker, type StepInstance } from './stepInstance.js'

/** Isolated workers of a partition. */
export interface Isolation {
  /** Ends the isolation of workers whose tasks have ended or are past their probation. */
  startRound: (nowMs: number) => void
  /** Workers held for a step, clear of all tasks that a crash could be mistaken for. */
  listClear: (instance: StepInstance, nowMs: number) => PartitionWorker[]
  /**
   * Holds a worker for a step; one that is soon clear, and among those the one that has been up longest.
   *
   * @returns tasks to preempt, so that the worker is clear sooner; `null` if no worker is held
   */
  tryHold: (instance: StepInstance, round: PlanningRound) => readonly Task[] | null
  countHeld: (instance: StepInstance) => number
  /** Changes since the last call. */
  takeChanges: () => IsolationChange[]
  /** Releases the workers of a step that the advice service has ruled out. */
  releaseUnsuitable: (instance: StepInstance, nowMs: number) => void
}

interface Hold {
  readonly instance: StepInstance
  readonly sinceMs: number
}

/** Crashes from which a task stays apart for longer: it must not have many more. */
const LONG_PROBATION_CRASHES = 3
/** Weight of a held worker that has crashed, towards the limit. */
const CRASHED_WEIGHT = 0.5
/** Share of the held workers for steps whose task has crashed a worker of its own already: it is probably the cause, and its job is not missed. */
const LIKELY_CAUSE_SHARE = 0.5
/** Time until a preempted task has ended, in milliseconds. */
const PREEMPTION_MS = 400
/** Cost of a worker that the advice service has not allowed before, in milliseconds: it rules out about half of the workers. */
const UNKNOWN_ADVICE_COST_MS = 500
/** A worker with a long-running task is chosen only if the others take longer than this to become clear, in milliseconds. */
const LASTING_TASK_COST_MS = 10_000

function hasEndedProbation (task: Task, nowMs: number): boolean {
  if (task.confirmedAtMs === null) return false
  const minMs = task.crashes >= LONG_PROBATION_CRASHES ? LONG_PROBATION_MS : PROBATION_MS
  return nowMs - task.confirmedAtMs > Math.max(minMs, 2 * task.crashAgeMs)
}

function isOfStep (task: Task, { job, occurrence, index }: StepInstance): boolean {
  return task.job === job.id && task.occurrence === occurrence.index && task.step === index
}

/** Creates isolation without held workers. */
export function createIsolation (workers: ReadonlyMap<string, PartitionWorker>): Isolation {
  const holds = new Map<PartitionWorker, Hold>()

  let changes: IsolationChange[] = []
  /** Limit of this round; computed when first needed. */
  let limit: number | null = null

  const recordChange = (worker: PartitionWorker, { instance, sinceMs }: Hold, kind: IsolationChange['kind'], nowMs: number): void => {
    changes.push({ worker: worker.info.id, step: instance.key, kind, heldMs: Math.round(nowMs - sinceMs) })
  }

  const release = (worker: PartitionWorker, hold: Hold, nowMs: number): void => {
    holds.delete(worker)
    worker.isolated = false
    recordChange(worker, hold, 'released', nowMs)
  }

  const isStillNeeded = (worker: PartitionWorker, { instance, sinceMs }: Hold, nowMs: number): boolean => {
    if (workers.get(worker.info.id) !== worker) return false
    const own = [...worker.tasks].filter((task) => isOfStep(task, instance))
    const apart = own.filter(isSuspected)
    if (apart.length > 0) return !apart.every((task) => hasEndedProbation(task, nowMs))
    if (isFinal(instance.job.phase) || !isAvailable(worker, nowMs) || nowMs - sinceMs > MAX_HOLD_MS) return false
    return instance.tasks.some((task) => task.phase === 'waiting' && isSuspected(task))
  }

  const isClear = (worker: PartitionWorker, instance: StepInstance, nowMs: number): boolean => {
    for (const task of worker.tasks) if (!isOfStep(task, instance) && !isSettled(task, nowMs)) return false
    return true
  }

  /** Most workers that may be held: a share of all, or more while the others have room. */
  const computeLimit = (nowMs: number): number => {
    let available = 0
    let capacity = 0
    let free = 0
    for (const worker of workers.values()) {
      if (!isAvailable(worker, nowMs)) continue
      available++
      capacity += computeSize(worker.info.capacity)
      if (!worker.isolated) free += computeSize(computeFree(worker))
    }
    const freeShare = capacity > 0 ? free / capacity : 0
    return Math.max(MIN_ISOLATED_WORKERS, Math.floor(available * Math.max(MAX_ISOLATED_SHARE, MAX_ISOLATED_FREE_SHARE * freeShare)))
  }

  const countHeld = (instance: StepInstance): number => {
    let count = 0
    for (const hold of holds.values()) if (hold.instance === instance) count++
    return count
  }

  /** Whether one more worker may be held. Those that have crashed count half: they are down for some seconds. */
  const mayHold = (instance: StepInstance, nowMs: number): boolean => {
    // A gang starts as a whole: once it holds a worker, it may hold all that its suspects need.
    if (countHeld(instance) > 0) return true
    let held = 0
    for (const worker of holds.keys()) held += isAvailable(worker, nowMs) ? 1 : CRASHED_WEIGHT
    const isLikelyCause = instance.tasks.every((task) => !isSuspected(task) || task.soloCrashes > 0)
    limit ??= computeLimit(nowMs)
    return held < limit * (isLikelyCause ? LIKELY_CAUSE_SHARE : 1)
  }

  /** Estimates the time until a worker is clear, in milliseconds; infinite for one that never will be or then has no room. */
  const estimateClearMs = (worker: PartitionWorker, instance: StepInstance, nowMs: number): number => {
    let left: Resources = worker.info.capacity
    let clearMs = 0
    let lasting = 0
    for (const task of worker.tasks) {
      if (isSettled(task, nowMs)) {
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
      limit = null
      for (const [worker, hold] of holds) if (!isStillNeeded(worker, hold, nowMs)) release(worker, hold, nowMs)
    },
    listClear: (instance, nowMs) => {
      const clear: PartitionWorker[] = []
      for (const [worker, hold] of holds) {
        if (hold.instance === instance && isAvailable(worker, nowMs) && isClear(worker, instance, nowMs)) clear.push(worker)
      }
      return clear
    },
    tryHold: (instance, round) => {
      if (!mayHold(instance, round.nowMs)) return null
      const { maxPerWorker } = instance.step
      const counts = maxPerWorker > 0 ? countTasksByWorker(instance) : null
      let best = -1
      let bestMs = Infinity
      round.addEvaluations(round.workers.length)
      const needsAdvice = instance.job.spec.policy.advice !== undefined
      for (const [index, worker] of round.workers.entries()) {
        if (worker.isolated || !canEverRun(worker, instance.step) || instance.unsuitable.has(worker.info.id)) continue
        if (counts !== null && (counts.get(worker.info.id) ?? 0) >= maxPerWorker) continue
        const clearMs = estimateClearMs(worker, instance, round.nowMs) + (needsAdvice && !instance.tickets.has(worker.info.id) ? UNKNOWN_ADVICE_COST_MS : 0)
        if (clearMs >= bestMs) continue
        best = index
        bestMs = clearMs
      }
      const worker = round.workers[best]
      if (worker === undefined) return null
      worker.isolated = true
      const hold = { instance, sinceMs: round.nowMs }
      holds.set(worker, hold)
      recordChange(worker, hold, 'held', round.nowMs)
      round.reserve(best, worker.info.capacity)
      return [...worker.tasks].filter((task) => mayBePreempted(task, instance.job.spec.policy.priority))
    },
    countHeld,
    takeChanges: () => {
      const taken = changes
      changes = []
      return taken
    },
    releaseUnsuitable: (instance, nowMs) => {
      for (const [worker, hold] of holds) if (hold.instance === instance && instance.unsuitable.has(worker.info.id)) release(worker, hold, nowMs)
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
