/** Makes room by stopping other work: for urgent tasks, and for teams behind their share. */
import { computeTeamOrder } from '../team/teamEntry.js'
import { countFits } from '../vm/amounts.js'
import type { PlacementIndex } from '../vm/placementIndex.js'
import type { WorkerEntry } from '../vm/workerEntry.js'
import { hasCapacityFor, isEligible } from '../vm/workerPool.js'
import { stopForRoom } from './attempts.js'
import type { CellState } from './cellState.js'
import type { JobEntry } from './jobEntry.js'
import { addReservation } from './reservation.js'
import { buildPlan, isCheckpointable, isNormal, type PreemptionPlan, type VictimRule } from './victims.js'

/** Stops on one worker for a number of tasks. */
interface MemberPlan extends PreemptionPlan {
  readonly count: number
}

/** Workers compared in one partition and in all. */
const CANDIDATES = 8
const MAX_CANDIDATES = 48
/** Time that victims are given to take a checkpoint, in milliseconds. */
const CHECKPOINT_MS = 1000
/** A team must be this many times as far as the waiting one for its tasks to make way. */
const AHEAD_FACTOR = 1.02
/** Tasks that have run for less do not make way for shares. */
const LEAST_RUN_MS = 10_000

/**
 * Stops the cheapest victims for one queued task of an urgent job and holds their room.
 *
 * @param avoid worker that did not free its room in time
 * @returns `false` if nothing can make room
 */
export function reserveForUrgent (state: CellState, job: JobEntry, avoid: WorkerEntry | undefined): boolean {
  state.workers.updatePreemptionIndexes()
  const { afterCheckpoint: soft, afterPreemption: hard } = state.workers
  const plan = choosePlan(state, job, soft, isCheckpointable, avoid) ?? choosePlan(state, job, hard, isNormal, avoid)
  if (plan) applyPlans(state, job, [{ ...plan, count: 1 }], true)
  return plan !== undefined
}

/** Does the same for all members of an urgent gang at once. */
export function reserveForUrgentGang (state: CellState, job: JobEntry): boolean {
  state.workers.updatePreemptionIndexes()
  const plans = buildGangPlan(state, job, isCheckpointable) ?? buildGangPlan(state, job, isNormal)
  if (plans) applyPlans(state, job, plans, true)
  return plans !== undefined
}

/** Checkpoints tasks of teams that are ahead, for a task or gang of a team that is behind. */
export function reserveForShare (state: CellState, job: JobEntry): boolean {
  state.workers.updatePreemptionIndexes()
  const order = computeTeamOrder(job.team, state.nowMs)
  const isAhead: VictimRule = (task) => {
    if (!isCheckpointable(task) || state.nowMs - task.startedMs < LEAST_RUN_MS) return false
    return computeTeamOrder(task.job.team, state.nowMs) > order * AHEAD_FACTOR
  }
  const plans = job.row.spec.kind === 'gang' ? buildGangPlan(state, job, isAhead) : buildSinglePlan(state, job, isAhead)
  if (plans) applyPlans(state, job, plans, false)
  return plans !== undefined
}

function buildSinglePlan (state: CellState, job: JobEntry, rule: VictimRule): MemberPlan[] | undefined {
  const plan = choosePlan(state, job, state.workers.afterCheckpoint, rule, undefined)
  return plan && [{ ...plan, count: 1 }]
}

function applyPlans (state: CellState, job: JobEntry, plans: readonly MemberPlan[], urgent: boolean): void {
  const workers = new Map(plans.map(({ worker, count }) => [worker, count]))
  addReservation(state, job, { workers, freeAtMs: state.nowMs + (urgent ? 0 : CHECKPOINT_MS) }, urgent)
  for (const { victims } of plans) {
    for (const victim of victims) stopForRoom(state, victim)
  }
}

/** Takes the workers with the most room first, so that few of them are disturbed. */
function buildGangPlan (state: CellState, job: JobEntry, rule: VictimRule): MemberPlan[] | undefined {
  const { need } = job.shape
  const offers: { worker: WorkerEntry, fits: number }[] = []
  for (const worker of state.workers.listWorkers()) {
    if (!isEligible(worker) || !hasCapacityFor(worker, job.shape)) continue
    const room = rule === isNormal ? worker.roomAfterPreemption : worker.roomAfterCheckpoint
    const fits = countFits(room, need, job.queued.length)
    if (fits > 0) offers.push({ worker, fits })
  }
  offers.sort((a, b) => b.fits - a.fits)
  const plans: MemberPlan[] = []
  let missing = job.queued.length
  for (const { worker, fits } of offers) {
    if (missing === 0) break
    const count = Math.min(missing, fits)
    const plan = buildPlan(state, worker, need, count, rule)
    if (!plan) continue
    plans.push({ ...plan, count })
    missing -= count
  }
  return missing === 0 ? plans : undefined
}

/** Compares some workers with enough room after stops and takes the one that loses the least work. */
function choosePlan (
  state: CellState, job: JobEntry, index: PlacementIndex, rule: VictimRule, avoid: WorkerEntry | undefined
): PreemptionPlan | undefined {
  let best: PreemptionPlan | undefined
  const { pool, need, query } = job.shape
  const plain = need.accelerators > 0 ? [] : index.listBuckets(pool, false)
  let compared = 0
  for (const partition of [...plain, ...index.listBuckets(pool, true)]) {
    let comparedHere = 0
    index.findCandidates(partition, query, (worker) => {
      if (worker === avoid) return false
      const plan = buildPlan(state, worker, need, 1, rule)
      if (plan && (!best || plan.cost < best.cost)) best = plan
      compared += 1
      comparedHere += 1
      return comparedHere >= CANDIDATES
    })
    if (compared >= MAX_CANDIDATES) break
  }
  return best
}
