/** Preemption: makes room for urgent tasks, and for teams behind their share, by stopping other tasks. */
import { computeTeamOrder } from '../team/teamEntry.js'
import { countFits } from '../vm/amounts.js'
import type { PlacementIndex } from '../vm/placementIndex.js'
import type { WorkerEntry } from '../vm/workerEntry.js'
import { hasCapacityFor, isEligible } from '../vm/workerRegistry.js'
import { stopForPreemption } from './attempts.js'
import type { CellState } from './cellState.js'
import type { JobEntry } from './jobEntry.js'
import { addReservation } from './reservation.js'
import { buildPreemptionPlan, isCheckpointableBatch, isNormalPriority, type PreemptionPlan, type PreemptionRule } from './preemptionPlan.js'

/** Preemption on one worker that makes room for `count` tasks. */
interface WorkerPreemptionPlan extends PreemptionPlan {
  readonly count: number
}

/** Workers to compare per bucket, and over all buckets. */
const MAX_CANDIDATES_PER_BUCKET = 8
const MAX_CANDIDATES = 48
/** Expected time for preempted tasks to take a checkpoint. */
const EXPECTED_CHECKPOINT_MS = 1000
/** Ratio of a team's order to the waiting team's above which its tasks may be preempted for shares. */
const MIN_SHARE_LEAD_RATIO = 1.02
/** Tasks that have run for less time are not preempted for shares. */
const MIN_RUN_BEFORE_PREEMPTION_MS = 10_000

/**
 * Preempts the cheapest tasks for one queued task of an urgent job and reserves their room.
 *
 * @param excluded worker that did not release its room in time
 * @returns `false` if nothing can make room
 */
export function reserveForUrgent (state: CellState, job: JobEntry, excluded: WorkerEntry | undefined): boolean {
  state.workers.updatePreemptionIndexes()
  const { afterCheckpoint, afterPreemption } = state.workers
  const plan = choosePlan(state, job, afterCheckpoint, isCheckpointableBatch, excluded) ?? choosePlan(state, job, afterPreemption, isNormalPriority, excluded)
  if (plan) applyPreemption(state, job, [{ ...plan, count: 1 }], true)
  return plan !== undefined
}

/** Preempts tasks and reserves room for all members of an urgent gang at once. */
export function reserveForUrgentGang (state: CellState, job: JobEntry): boolean {
  state.workers.updatePreemptionIndexes()
  const plans = buildGangPlan(state, job, isCheckpointableBatch) ?? buildGangPlan(state, job, isNormalPriority)
  if (plans) applyPreemption(state, job, plans, true)
  return plans !== undefined
}

/** Preempts checkpointable batch tasks of teams whose `computeTeamOrder` is higher than that of the job's team, and reserves room for a task or gang. */
export function reserveForShare (state: CellState, job: JobEntry): boolean {
  state.workers.updatePreemptionIndexes()
  const order = computeTeamOrder(job.team, state.nowMs)
  const isAhead: PreemptionRule = (task) => {
    if (!isCheckpointableBatch(task) || state.nowMs - task.startedMs < MIN_RUN_BEFORE_PREEMPTION_MS) return false
    return computeTeamOrder(task.job.team, state.nowMs) > order * MIN_SHARE_LEAD_RATIO
  }
  const plans = job.row.spec.kind === 'gang' ? buildGangPlan(state, job, isAhead) : buildTaskPlan(state, job, isAhead)
  if (plans) applyPreemption(state, job, plans, false)
  return plans !== undefined
}

function buildTaskPlan (state: CellState, job: JobEntry, rule: PreemptionRule): WorkerPreemptionPlan[] | undefined {
  const plan = choosePlan(state, job, state.workers.afterCheckpoint, rule, undefined)
  return plan && [{ ...plan, count: 1 }]
}

function applyPreemption (state: CellState, job: JobEntry, plans: readonly WorkerPreemptionPlan[], urgent: boolean): void {
  const workers = new Map(plans.map(({ worker, count }) => [worker, count]))
  addReservation(state, job, { workers, freeAtMs: state.nowMs + (urgent ? 0 : EXPECTED_CHECKPOINT_MS) }, urgent)
  for (const { tasks } of plans) {
    for (const task of tasks) stopForPreemption(state, task)
  }
}

/** Plans preemption for all queued members of a gang; takes the workers with the most room first, so that few workers are affected. */
function buildGangPlan (state: CellState, job: JobEntry, rule: PreemptionRule): WorkerPreemptionPlan[] | undefined {
  const { need } = job.shape
  const options: { worker: WorkerEntry, fits: number }[] = []
  for (const worker of state.workers.listWorkers()) {
    if (!isEligible(worker) || !hasCapacityFor(worker, job.shape)) continue
    const room = rule === isNormalPriority ? worker.roomAfterPreemption : worker.roomAfterCheckpoint
    const fits = countFits(room, need, job.queued.length)
    if (fits > 0) options.push({ worker, fits })
  }
  options.sort((a, b) => b.fits - a.fits)
  const plans: WorkerPreemptionPlan[] = []
  let missingMembers = job.queued.length
  for (const { worker, fits } of options) {
    if (missingMembers === 0) break
    const count = Math.min(missingMembers, fits)
    const plan = buildPreemptionPlan(state, worker, need, count, rule)
    if (!plan) continue
    plans.push({ ...plan, count })
    missingMembers -= count
  }
  return missingMembers === 0 ? plans : undefined
}

/** Compares a bounded number of workers and chooses the one on which preemption costs the least. */
function choosePlan (
  state: CellState, job: JobEntry, index: PlacementIndex, rule: PreemptionRule, excluded: WorkerEntry | undefined
): PreemptionPlan | undefined {
  let best: PreemptionPlan | undefined
  const { pool, need, query } = job.shape
  const cpuOnlyBuckets = need.accelerators > 0 ? [] : index.listBuckets(pool, false)
  let compared = 0
  for (const bucket of [...cpuOnlyBuckets, ...index.listBuckets(pool, true)]) {
    let comparedInBucket = 0
    index.findCandidates(bucket, query, (worker) => {
      if (worker === excluded) return false
      const plan = buildPreemptionPlan(state, worker, need, 1, rule)
      if (plan && (!best || plan.cost < best.cost)) best = plan
      compared += 1
      comparedInBucket += 1
      return comparedInBucket >= MAX_CANDIDATES_PER_BUCKET
    })
    if (compared >= MAX_CANDIDATES) break
  }
  return best
}
