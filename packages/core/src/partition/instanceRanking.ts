/** Ranks the waiting steps of a partition. */
import type { Resources } from '../schema/resources.js'
import { ACCELERATOR_CORES, LONG_RUNNING_RESERVE_AFTER_MS, MIN_OVERLOAD_BACKLOG_MS } from './constants.js'
import { countStartable, estimateRemainingMs, type StepInstance } from './stepInstance.js'
import { compareRanks, computeRank, type Rank } from './rank.js'

/** A waiting step and its rank. */
export interface RankedInstance {
  readonly instance: StepInstance
  readonly rank: Rank
}

/** Options of `sortInstances`. */
export interface RankingOptions {
  readonly instances: readonly StepInstance[]
  /** Cores of all workers; an accelerator counts as `ACCELERATOR_CORES`. */
  readonly capacityCores: number
  readonly nowMs: number
  readonly wallMs: number
}

/** Waiting steps of one priority. */
interface Backlog {
  instances: number
  /** Core-milliseconds. */
  work: number
  /** Sum of the times until the latest start of each step. */
  slackMs: number
}

/** Cores of an amount; an accelerator counts as `ACCELERATOR_CORES`. */
export function computeCores ({ processors, accelerators }: Resources): number {
  return processors + ACCELERATOR_CORES * accelerators
}

function computeInstanceRank (instance: StepInstance, options: RankingOptions): Rank {
  const rank = computeRank(instance.job, instance.occurrence.index, estimateRemainingMs(instance), options.wallMs)
  if (!instance.step.longRunning) return rank
  const isOverdue = instance.waitingSinceMs !== null && options.nowMs - instance.waitingSinceMs > LONG_RUNNING_RESERVE_AFTER_MS
  return { ...rank, deadlineClass: 0, priority: isOverdue ? -1 : rank.priority }
}

/** Whether the backlog of any priority would occupy the whole partition for longer than its steps can wait on average. */
function isOverloaded (ranked: readonly RankedInstance[], options: RankingOptions): boolean {
  if (options.capacityCores === 0) return false
  const backlogs = new Map<number, Backlog>()
  for (const { instance, rank } of ranked) {
    if (instance.step.longRunning || instance.step.fills || rank.deadlineClass === 2) continue
    const backlog = backlogs.get(rank.priority) ?? { instances: 0, work: 0, slackMs: 0 }
    backlog.instances++
    backlog.work += countStartable(instance) * computeCores(instance.step.resources) * instance.step.estimateMs
    backlog.slackMs += Math.max(0, rank.latestStartMs - options.wallMs)
    backlogs.set(rank.priority, backlog)
  }
  for (const { instances, work, slackMs } of backlogs.values()) {
    if (work / options.capacityCores > Math.max(MIN_OVERLOAD_BACKLOG_MS, slackMs / instances)) return true
  }
  return false
}

/** Sorts the waiting steps by rank, most urgent first. */
export function sortInstances (options: RankingOptions): RankedInstance[] {
  const ranked = options.instances.map((instance): RankedInstance => ({ instance, rank: computeInstanceRank(instance, options) }))
  const overloaded = isOverloaded(ranked, options)
  return ranked.sort((a, b) => compareRanks(a.rank, b.rank, overloaded))
}
