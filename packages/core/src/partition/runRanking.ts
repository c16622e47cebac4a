/** Ranks the waiting steps of a cell. */
import type { Resources } from '../schema/resources.js'
import { ACCELERATOR_CORES, LASTING_HOLD_AFTER_MS, MIN_OVERLOAD_MS } from './constants.js'
import { estimateRemainingMs, listStartable, type StepRun } from './stepRun.js'
import { compareUrgency, computeUrgency, type Urgency } from './urgency.js'

/** A waiting step and its rank. */
export interface RankedRun {
  readonly run: StepRun
  readonly rank: Urgency
}

/** Options of a ranking. */
export interface RankingOptions {
  readonly runs: readonly StepRun[]
  /** Cores of all workers, an accelerator counted as several. */
  readonly capacityCores: number
  readonly nowMs: number
  readonly wallMs: number
}

/** Sums over the waiting steps of one priority. */
interface Backlog {
  runs: number
  /** Core-milliseconds. */
  work: number
  slackMs: number
}

/** Cores of an amount, each accelerator counted as several. */
export function computeCores ({ processors, accelerators }: Resources): number {
  return processors + ACCELERATOR_CORES * accelerators
}

function computeRunRank (run: StepRun, options: RankingOptions): Urgency {
  const rank = computeUrgency(run.job, run.occurrence.index, estimateRemainingMs(run), options.wallMs)
  if (!run.step.longRunning) return rank
  const isOverdue = run.waitingSinceMs !== null && options.nowMs - run.waitingSinceMs > LASTING_HOLD_AFTER_MS
  return { ...rank, standing: 0, priority: isOverdue ? -1 : rank.priority }
}

/** Whether the waiting work of some priority takes the whole cell longer than its jobs can wait. */
function isOverloaded (ranked: readonly RankedRun[], options: RankingOptions): boolean {
  if (options.capacityCores === 0) return false
  const backlogs = new Map<number, Backlog>()
  for (const { run, rank } of ranked) {
    if (run.step.longRunning || run.step.fills || rank.standing === 2) continue
    const backlog = backlogs.get(rank.priority) ?? { runs: 0, work: 0, slackMs: 0 }
    backlog.runs++
    backlog.work += listStartable(run).length * computeCores(run.step.resources) * run.step.estimateMs
    backlog.slackMs += Math.max(0, rank.latestStartMs - options.wallMs)
    backlogs.set(rank.priority, backlog)
  }
  for (const { runs, work, slackMs } of backlogs.values()) {
    if (work / options.capacityCores > Math.max(MIN_OVERLOAD_MS, slackMs / runs)) return true
  }
  return false
}

/** Ranks the waiting steps, the first to get room first. */
export function sortRuns (options: RankingOptions): RankedRun[] {
  const ranked = options.runs.map((run): RankedRun => ({ run, rank: computeRunRank(run, options) }))
  const overloaded = isOverloaded(ranked, options)
  return ranked.sort((a, b) => compareUrgency(a.rank, b.rank, overloaded))
}
