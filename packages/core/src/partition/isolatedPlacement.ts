/** Places suspected tasks at workers that are set apart for their step. */
import { MAX_ADVICE_WORKERS, TICKET_MARGIN_MS } from './constants.js'
import type { RankedInstance } from './instanceRanking.js'
import { placeSuspects, type Isolation } from './isolation.js'
import type { Task } from './jobState.js'
import type { PartitionWorker } from './partitionWorker.js'
import type { TrySendQuery } from './plannerTypes.js'
import type { PlanningRound } from './planningRound.js'
import { buildAdviceQuery, hasTicket, type StepInstance } from './stepInstance.js'

/** A suspected task and the worker chosen for it, which is not among those of the planning round. */
export interface IsolatedPlacement {
  readonly task: Task
  readonly worker: PartitionWorker
  readonly index: null
}

export interface IsolatedPlacementOptions {
  readonly isolation: Isolation
  readonly stopForPreemption: (tasks: readonly Task[]) => void
}

/** Chooses workers that are set apart for suspected tasks of a step; holds further ones and asks for their tickets as needed. */
export type PlaceIsolated = (ranked: RankedInstance, suspects: readonly Task[], round: PlanningRound, trySend: TrySendQuery) => IsolatedPlacement[]

export function createIsolatedPlacement ({ isolation, stopForPreemption }: IsolatedPlacementOptions): PlaceIsolated {
  /** Asks for tickets for the held workers if one is clear; about one that becomes clear later once at least, as it may turn out to be unsuitable. */
  const sendHeldQuery = (instance: StepInstance, held: readonly PartitionWorker[], isAnyClear: boolean, { nowMs }: PlanningRound, trySend: TrySendQuery): void => {
    const { advice } = instance.job.spec.policy
    if (advice === undefined || instance.isAdvicePending || nowMs < instance.nextAdviceMs) return
    const missing = held.filter(({ info }) => !hasTicket(instance, info.id, nowMs + TICKET_MARGIN_MS))
    if (missing.length === 0 || (!isAnyClear && missing.every(({ info }) => instance.tickets.has(info.id)))) return
    instance.isAdvicePending = trySend(buildAdviceQuery(instance, missing.slice(0, MAX_ADVICE_WORKERS).map(({ info }) => info.id), advice))
  }

  return ({ instance, rank }, suspects, round, trySend) => {
    if (suspects.length === 0) return []
    const isLate = rank.deadlineClass === 2
    // A gang needs room for all of its suspects at once.
    const needed = instance.step.gang ? suspects.length : 1
    const findPlacements = () => {
      const held = isolation.listHeld(instance, round)
      const clear = held.filter((worker) => isolation.isClear(worker, instance, round.nowMs))
      const ticketed = clear.filter(({ info }) => hasTicket(instance, info.id, round.nowMs))
      const found = placeSuspects(instance, suspects, ticketed)
      if (found.length < needed) sendHeldQuery(instance, held, ticketed.length < clear.length, round, trySend)
      return found
    }
    let placements = findPlacements()
    for (let held = isolation.countHeld(instance, round.nowMs); placements.length < needed && held < needed; held++) {
      const preempted = isolation.tryHold(instance, isLate, round)
      if (preempted === null) break
      stopForPreemption(preempted)
      placements = findPlacements()
    }
    for (const { worker } of placements) isolation.recordUse(worker, round.nowMs)
    if (placements.length < suspects.length && !isLate) isolation.keep(isolation.listHeld(instance, round))
    return placements.map((placement) => ({ ...placement, index: null }))
  }
}
