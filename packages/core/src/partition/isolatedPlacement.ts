/** Places suspected tasks at workers that are set apart for their step. */
import { TICKET_MARGIN_MS } from './constants.js'
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
export type PlaceIsolated = (instance: StepInstance, suspects: readonly Task[], round: PlanningRound, trySend: TrySendQuery) => IsolatedPlacement[]

function sendHeldQuery (instance: StepInstance, held: readonly PartitionWorker[], { nowMs }: PlanningRound, trySend: TrySendQuery): void {
  const { advice } = instance.job.spec.policy
  if (advice === undefined || instance.isAdvicePending || nowMs < instance.nextAdviceMs) return
  const selected = held.map(({ info }) => info.id).filter((id) => !hasTicket(instance, id, nowMs + TICKET_MARGIN_MS))
  if (selected.length > 0) instance.isAdvicePending = trySend(buildAdviceQuery(instance, selected, advice))
}

export function createIsolatedPlacement ({ isolation, stopForPreemption }: IsolatedPlacementOptions): PlaceIsolated {
  return (instance, suspects, round, trySend) => {
    if (suspects.length === 0) return []
    isolation.releaseUnsuitable(instance, round.nowMs)
    const findPlacements = () => {
      const clear = isolation.listClear(instance, round.nowMs)
      const ticketed = clear.filter(({ info }) => hasTicket(instance, info.id, round.nowMs))
      if (ticketed.length < clear.length) sendHeldQuery(instance, clear, round, trySend)
      return placeSuspects(instance, suspects, ticketed)
    }
    let placements = findPlacements()
    // A gang needs room for all of its suspects at once.
    const needed = instance.step.gang ? suspects.length : 1
    for (let held = isolation.countHeld(instance); placements.length < needed && held < needed; held++) {
      const preempted = isolation.tryHold(instance, round)
      if (preempted === null) break
      stopForPreemption(preempted)
      placements = findPlacements()
    }
    return placements.map((placement) => ({ ...placement, index: null }))
  }
}
