/** Selects lower-priority tasks of a team to preempt so that its urgent tasks fit its limit. */
import { addResources, NO_RESOURCES, subtractResources, type Resources } from '../schema/resources.js'
import type { Task } from './jobState.js'
import type { PartitionWorker } from './partitionWorker.js'
import type { PlanningRound } from './planningRound.js'
import { computeShortfall, mayBePreempted } from './preemption.js'

/** Preemptions at the teams' limits in one planning round. */
export interface CeilingPreemptions {
  /**
   * Chooses tasks of a team with less than a priority.
   *
   * @param shortfall resources by which the waiting tasks exceed the team's limit; components of 0 or less need no preemption
   */
  choose: (team: string, priority: number, shortfall: Resources) => Task[]
}

/** What a team may give up for one priority. */
interface TeamOffer {
  /** Resources that will be released by stops in progress. */
  readonly stopping: Resources
  /** Least urgent first, and among those with the least progress first. */
  readonly candidates: readonly Task[]
}

/** Whether an amount reduces the shortfall in any component; negative components of `left` are missing. */
function canReduceShortfall (left: Resources, amount: Resources): boolean {
  return (left.processors < 0 && amount.processors > 0) || (left.memoryMb < 0 && amount.memoryMb > 0) || (left.accelerators < 0 && amount.accelerators > 0)
}

/** Creates the preemptions of a round; the teams' tasks are collected once, when they are first needed. */
export function createCeilingPreemptions (workers: Iterable<PartitionWorker>, round: PlanningRound): CeilingPreemptions {
  let tasksByTeam: Map<string, Task[]> | null = null
  const offers = new Map<string, TeamOffer>()

  const collectTasks = (): Map<string, Task[]> => {
    const collected = new Map<string, Task[]>()
    for (const worker of workers) {
      round.addEvaluations(worker.tasks.size)
      for (const task of worker.tasks) {
        const tasks = collected.get(task.team)
        if (tasks === undefined) collected.set(task.team, [task])
        else tasks.push(task)
      }
    }
    return collected
  }

  const readOffer = (team: string, priority: number): TeamOffer => {
    const key = `${priority} ${team}`
    const known = offers.get(key)
    if (known !== undefined) return known
    tasksByTeam ??= collectTasks()
    const tasks = tasksByTeam.get(team) ?? []
    round.addEvaluations(tasks.length)
    let stopping = NO_RESOURCES
    for (const task of tasks) if (task.stopping) stopping = addResources(stopping, task.definition.resources)
    const candidates = tasks.filter((task) => mayBePreempted(task, priority)).sort((a, b) => b.priority - a.priority || a.percent - b.percent)
    const offer = { stopping, candidates }
    offers.set(key, offer)
    return offer
  }

  return {
    choose: (team, priority, shortfall) => {
      const { stopping, candidates } = readOffer(team, priority)
      let left = subtractResources(stopping, shortfall)
      const preempted: Task[] = []
      for (const task of candidates) {
        if (computeShortfall(left) === 0) break
        round.addEvaluations(1)
        const { resources } = task.definition
        if (!mayBePreempted(task, priority) || !canReduceShortfall(left, resources)) continue
        left = addResources(left, resources)
        preempted.push(task)
        round.recordTaskChange(task.worker)
      }
      return preempted
    }
  }
}
