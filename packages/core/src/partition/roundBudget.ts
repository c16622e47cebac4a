/** Bounds the work of a planning round. Steps that it has to leave out are deferred and get a turn in one of the next rounds. */
import { DEFERRED_TURNS_PER_ROUND, MAX_PLACEMENT_EVALUATIONS, MAX_RESERVATION_EVALUATIONS, MIN_PLACEMENT_EVALUATIONS, MIN_RESERVATION_EVALUATIONS } from './constants.js'
import type { PlanningRound } from './planningRound.js'
import type { StepInstance } from './stepInstance.js'

/** Budget of the current round, used in order of rank. */
export interface RoundBudget {
  /** Starts a round with `waitingCount` waiting steps; those deferred longest get their turn in it. */
  startRound: (round: PlanningRound, waitingCount: number) => void
  /** Whether a step may be placed in this round; it is deferred if not. */
  mayPlace: (instance: StepInstance) => boolean
  /** Whether workers may be searched for a reservation in this round; the step is deferred if not. */
  mayReserve: (instance: StepInstance) => boolean
}

/** Creates the budget of a partition. */
export function createRoundBudget (): RoundBudget {
  const deferred = new Set<StepInstance>()
  const turns = new Set<StepInstance>()
  let items = 0
  let readEvaluations = (): number => 0

  const mayEvaluate = (instance: StepInstance, always: number, maxPerItem: number): boolean => {
    if (readEvaluations() < Math.max(always, maxPerItem * items) || turns.has(instance)) return true
    deferred.add(instance)
    return false
  }

  return {
    startRound: (round, waitingCount) => {
      items = round.workers.length + waitingCount
      readEvaluations = round.countEvaluations
      turns.clear()
      for (const instance of deferred) {
        if (turns.size >= DEFERRED_TURNS_PER_ROUND) break
        deferred.delete(instance)
        if (instance.waitingSinceMs !== null) turns.add(instance)
      }
    },
    mayPlace: (instance) => mayEvaluate(instance, MIN_PLACEMENT_EVALUATIONS, MAX_PLACEMENT_EVALUATIONS),
    mayReserve: (instance) => mayEvaluate(instance, MIN_RESERVATION_EVALUATIONS, MAX_RESERVATION_EVALUATIONS)
  }
}
