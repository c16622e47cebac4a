/** Preemption candidates of a worker and the cost of preempting them. */
import { addAmounts, hasRoom, type Amounts } from '../vm/amounts.js'
import type { WorkerEntry } from '../vm/workerEntry.js'
import type { CellState } from './cellState.js'
import type { TaskEntry } from './jobEntry.js'

/** Tasks to preempt on one worker. */
export interface PreemptionPlan {
  readonly worker: WorkerEntry
  readonly tasks: readonly TaskEntry[]
  /** Work lost, in core-milliseconds. */
  readonly cost: number
}

/** Decides which running tasks may be preempted. */
export type PreemptionRule = (task: TaskEntry) => boolean

/** Checkpointable tasks keep their work when they stop; this fraction of their run time counts as lost. */
const CHECKPOINTED_LOSS_FRACTION = 0.02
/** Fixed cost of each stop, so that plans with fewer stops are preferred. */
const STOP_COST_MS = 5000
/** Services answer requests, so a stop costs more than their run time. */
const SERVICE_COST_FACTOR = 1000

/** Checks for a batch task of normal priority whose work is saved by a checkpoint. */
export function isCheckpointableBatch (task: TaskEntry): boolean {
  const { kind, priority, checkpointable } = task.job.row.spec
  return checkpointable && kind === 'batch' && priority === 'normal'
}

/** Accepts all tasks of normal priority. */
export function isNormalPriority (task: TaskEntry): boolean {
  return task.job.row.spec.priority === 'normal'
}

/** Plans preemption in order of cost until `count` tasks fit; `undefined` if the rule allows too little. */
export function buildPreemptionPlan (
  state: CellState, worker: WorkerEntry, need: Amounts, count: number, rule: PreemptionRule
): PreemptionPlan | undefined {
  const room = { ...worker.free }
  addAmounts(room, worker.stopping, 1)
  addAmounts(room, worker.held, -1)
  const chosen: TaskEntry[] = []
  const candidates = listCandidates(state, worker, rule)
  for (const { task } of candidates) {
    if (hasRoom(room, need, count)) break
    addAmounts(room, task.job.shape.need, 1)
    chosen.push(task)
  }
  if (!hasRoom(room, need, count)) return undefined
  const needed = removeSurplus(chosen, room, need, count)
  return { worker, tasks: needed, cost: sumCosts(state, needed) }
}

/** Drops chosen tasks that are not needed, the most expensive first. */
function removeSurplus (tasks: TaskEntry[], room: Amounts, need: Amounts, count: number): TaskEntry[] {
  const needed: TaskEntry[] = []
  for (const task of tasks.reverse()) {
    addAmounts(room, task.job.shape.need, -1)
    if (hasRoom(room, need, count)) continue
    addAmounts(room, task.job.shape.need, 1)
    needed.push(task)
  }
  return needed
}

function listCandidates (state: CellState, worker: WorkerEntry, rule: PreemptionRule): { task: TaskEntry, cost: number }[] {
  const candidates: { task: TaskEntry, cost: number }[] = []
  for (const task of worker.attempts) {
    if (task.phase !== 'assigned' || !rule(task)) continue
    candidates.push({ task, cost: computeCost(state, task) })
  }
  return candidates.sort((a, b) => a.cost - b.cost)
}

function sumCosts (state: CellState, tasks: readonly TaskEntry[]): number {
  let cost = 0
  for (const task of tasks) cost += computeCost(state, task)
  return cost
}

/** Computes the work lost by stopping a task, in core-milliseconds; a gang loses the work of all its members. */
function computeCost (state: CellState, task: TaskEntry): number {
  const { kind, checkpointable } = task.job.row.spec
  const ranMs = state.nowMs - task.startedMs
  const lostMs = STOP_COST_MS + ranMs * (checkpointable ? CHECKPOINTED_LOSS_FRACTION : 1)
  const cores = Math.max(1, task.job.shape.need.processors / 1000)
  if (kind === 'gang') return lostMs * cores * task.job.live
  return lostMs * cores * (kind === 'service' ? SERVICE_COST_FACTOR : 1)
}
