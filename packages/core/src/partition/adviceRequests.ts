/** Advice queries of a planning round, and the room that steps hold while they wait for the response. */
import { hasRoomFor } from '../schema/resources.js'
import type { Task } from './jobState.js'
import type { CanSendQuery, TrySendQuery } from './plannerTypes.js'
import type { PlanningRound } from './planningRound.js'
import { buildAdviceQuery, chooseAdviceWorkers, mayBeSuitable, mayHaveTicket, type StepInstance } from './stepInstance.js'

/** Access to the advice service. */
export interface AdviceAccess {
  readonly trySend: TrySendQuery
  readonly canSend: CanSendQuery
}

/** Sends an advice query if the response can be used now; returns whether a query is pending. */
export function sendAdviceQuery (instance: StepInstance, round: PlanningRound, { trySend, canSend }: AdviceAccess): boolean {
  const { advice } = instance.job.spec.policy
  if (advice === undefined || instance.isAdvicePending) return instance.isAdvicePending
  // Choosing the workers looks at all of them.
  if (!canSend(advice.decisionMs + advice.eachMs)) return false
  const selected = chooseAdviceWorkers(instance, round)
  if (selected.length === 0) return false
  instance.isAdvicePending = trySend(buildAdviceQuery(instance, selected, advice))
  return instance.isAdvicePending
}

/** Reserves the capacity that a step will use once it has advice, so that lower-ranked steps don't query advice for it. */
export function reserveAdvisedCapacity (instance: StepInstance, tasks: readonly Task[], round: PlanningRound): void {
  // While a ticket is being renewed, its capacity stays reserved.
  const reserve = instance.tickets.size > 0 ? round.reserve : round.reserveForAdvice
  const need = instance.taskResources
  let left = tasks.length
  for (let index = round.findUnclaimedFitting(need, 0); index >= 0; index = round.findUnclaimedFitting(need, index + 1)) {
    if (!mayBeSuitable(instance, round.workers[index]!)) continue
    while (left > 0 && hasRoomFor(round.readUnclaimed(index), need)) {
      reserve(index, need)
      left--
    }
    if (left === 0) return
  }
}

/**
 * Whether a step has room but no ticket, and no query in flight. It reserves nothing: steps of a lower rank whose tickets are valid can use the
 * room now, and by the time the advice service takes the query, other room may be free.
 */
export function isAwaitingAdvice (instance: StepInstance, round: PlanningRound): boolean {
  return !instance.isAdvicePending && !mayHaveTicket(instance, round.nowMs) && round.findUnclaimedFitting(instance.taskResources, 0) >= 0
}
