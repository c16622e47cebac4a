/** Makes room for urgent work at the cost of the least lost work. */
import { addAmounts, countFits, hasRoom, type Amounts } from '../vm/amounts.js'
import type { PlacementIndex } from '../vm/placementIndex.js'
import type { WorkerEntry } from '../vm/workerEntry.js'
import { hasCapacityFor, isEligible } from '../vm/workerPool.js'
import { stopForRoom } from './attempts.js'
import type { CellState } from './cellState.js'
import type { JobEntry, TaskEntry } from './jobEntry.js'
import { addReservation } from './reservation.js'

/** What has to stop on one worker. */
interface PreemptionPlan {
  readonly worker: WorkerEntry
  readonly victims: readonly TaskEntry[]
  /** Work lost, in core-milliseconds. */
  readonly cost: number
}

/** Workers compared in one partition and in all. */
const CANDIDATES = 8
const MAX_CANDIDATES = 48
/** Work of checkpointable tasks is saved; stopping them costs this part of a fresh start. */
const CHECKPOINT_COST_PART = 0.02
/** Cost of any stop, so that fewer victims are preferred. */
const STOP_COST_MS = 5000
/** Services answer callers and lose more than their run time when they stop. */
const SERVICE_COST_FACTOR = 1000

/** Stops the cheapest victims for one queued task of an urgent job and holds their room; `false` if nothing can make room. */
export function reserveByPreemption (state: CellState, job: JobEntry, avoid: WorkerEntry | undefined): boolean {
  state.workers.updateUrgent()
  const plan = choosePlan(state, job, state.workers.soft, avoid) ?? choosePlan(state, job, state.workers.hard, avoid)
  if (!plan) return false
  addReservation(state, job, { workers: new Map([[plan.worker, 1]]), freeAtMs: state.nowMs }, true)
  for (const victim of plan.victims) stopForRoom(state, victim)
  return true
}

/** Does the same for all members of an urgent gang at once. */
export function reserveGangByPreemption (state: CellState, job: JobEntry): boolean {
  state.workers.updateUrgent()
  const plan = buildGangPlan(state, job, true) ?? buildGangPlan(state, job, false)
  if (!plan) return false
  const workers = new Map(plan.map(({ worker, count }) => [worker, count]))
  addReservation(state, job, { workers, freeAtMs: state.nowMs }, true)
  for (const { victims } of plan) {
    for (const victim of victims) stopForRoom(state, victim)
  }
  return true
}

/** Takes the workers with the most room first, so that few of them are disturbed. */
function buildGangPlan (
  state: CellState, job: JobEntry, soft: boolean
): (PreemptionPlan & { count: number })[] | undefined {
  const { need } = job.shape
  const offers: { worker: WorkerEntry, fits: number }[] = []
  for (const worker of state.workers.listWorkers()) {
    if (!isEligible(worker) || !hasCapacityFor(worker, job.shape)) continue
    const fits = countFits(soft ? worker.softRoom : worker.hardRoom, need, job.queued.length)
    if (fits > 0) offers.push({ worker, fits })
  }
  offers.sort((a, b) => b.fits - a.fits)
  const plans: (PreemptionPlan & { count: number })[] = []
  let missing = job.queued.length
  for (const { worker, fits } of offers) {
    if (missing === 0) break
    const count = Math.min(missing, fits)
    const plan = buildPlan(state, worker, need, count, soft)
    if (!plan) continue
    plans.push({ ...plan, count })
    missing -= count
  }
  return missing === 0 ? plans : undefined
}

function choosePlan (
  state: CellState, job: JobEntry, index: PlacementIndex, avoid: WorkerEntry | undefined
): PreemptionPlan | undefined {
  let best: PreemptionPlan | undefined
  const { pool, need, query } = job.shape
  const partitions = [...need.accelerators > 0 ? [] : index.listPartitions(pool, false), ...index.listPartitions(pool, true)]
  let compared = 0
  for (const partition of partitions) {
    let comparedHere = 0
    index.findCandidates(partition, query, (worker) => {
      if (worker === avoid) return false
      const plan = buildPlan(state, worker, need, 1, index === state.workers.soft)
      if (plan && (!best || plan.cost < best.cost)) best = plan
      compared += 1
      comparedHere += 1
      return comparedHere >= CANDIDATES
    })
    if (compared >= MAX_CANDIDATES) break
  }
  return best
}

function buildPlan (
  state: CellState, worker: WorkerEntry, need: Amounts, count: number, soft: boolean
): PreemptionPlan | undefined {
  const room = { ...worker.free }
  addAmounts(room, worker.stopping, 1)
  addAmounts(room, worker.held, -1)
  const victims: TaskEntry[] = []
  const priced = listVictims(state, worker, soft)
  for (const { task } of priced) {
    if (hasRoom(room, need, count)) break
    addAmounts(room, task.job.shape.need, 1)
    victims.push(task)
  }
  if (!hasRoom(room, need, count)) return undefined
  const needed = removeSurplus(victims, room, need, count)
  return { worker, victims: needed, cost: sumCosts(state, needed) }
}

/** Victims that turn out not to be needed go on, the dearest first. */
function removeSurplus (victims: TaskEntry[], room: Amounts, need: Amounts, count: number): TaskEntry[] {
  const needed: TaskEntry[] = []
  for (const victim of victims.reverse()) {
    addAmounts(room, victim.job.shape.need, -1)
    if (hasRoom(room, need, count)) continue
    addAmounts(room, victim.job.shape.need, 1)
    needed.push(victim)
  }
  return needed
}

function listVictims (state: CellState, worker: WorkerEntry, soft: boolean): { task: TaskEntry, cost: number }[] {
  const priced: { task: TaskEntry, cost: number }[] = []
  for (const task of worker.attempts) {
    const { kind, priority, checkpointable } = task.job.row.spec
    if (task.phase !== 'assigned' || priority === 'urgent') continue
    if (soft && (!checkpointable || kind !== 'batch')) continue
    priced.push({ task, cost: computeCost(state, task) })
  }
  return priced.sort((a, b) => a.cost - b.cost)
}

function sumCosts (state: CellState, tasks: readonly TaskEntry[]): number {
  let cost = 0
  for (const task of tasks) cost += computeCost(state, task)
  return cost
}

/** Work lost by stopping a task, in core-milliseconds; a gang loses the work of all its members. */
function computeCost (state: CellState, task: TaskEntry): number {
  const { kind, checkpointable } = task.job.row.spec
  const ranMs = state.nowMs - task.startedMs
  const lostMs = STOP_COST_MS + ranMs * (checkpointable ? CHECKPOINT_COST_PART : 1)
  const cores = Math.max(1, task.job.shape.need.processors / 1000)
  if (kind === 'gang') return lostMs * cores * task.job.live
  return lostMs * cores * (kind === 'service' ? SERVICE_COST_FACTOR : 1)
}
