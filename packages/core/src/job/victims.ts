/** Whom to stop for room on a worker, and what that loses. */
import { addAmounts, hasRoom, type Amounts } from '../vm/amounts.js'
import type { WorkerEntry } from '../vm/workerEntry.js'
import type { CellState } from './cellState.js'
import type { TaskEntry } from './jobEntry.js'

/** What has to stop on one worker. */
export interface PreemptionPlan {
  readonly worker: WorkerEntry
  readonly victims: readonly TaskEntry[]
  /** Work lost, in core-milliseconds. */
  readonly cost: number
}

/** Decides which running tasks may be stopped. */
export type VictimRule = (task: TaskEntry) => boolean

/** Work of checkpointable tasks is saved; stopping them costs this part of a fresh start. */
const CHECKPOINT_COST_PART = 0.02
/** Cost of any stop, so that fewer victims are preferred. */
const STOP_COST_MS = 5000
/** Services answer callers and lose more than their run time when they stop. */
const SERVICE_COST_FACTOR = 1000

/** Tasks whose work is saved when they stop. */
export function isCheckpointable (task: TaskEntry): boolean {
  const { kind, priority, checkpointable } = task.job.row.spec
  return checkpointable && kind === 'batch' && priority === 'normal'
}

/** All work of normal priority. */
export function isNormal (task: TaskEntry): boolean {
  return task.job.row.spec.priority === 'normal'
}

/** Plans the cheapest stops that make room for `count` tasks; `undefined` if the rule allows too few. */
export function buildPlan (
  state: CellState, worker: WorkerEntry, need: Amounts, count: number, rule: VictimRule
): PreemptionPlan | undefined {
  const room = { ...worker.free }
  addAmounts(room, worker.stopping, 1)
  addAmounts(room, worker.held, -1)
  const victims: TaskEntry[] = []
  const priced = listVictims(state, worker, rule)
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

function listVictims (state: CellState, worker: WorkerEntry, rule: VictimRule): { task: TaskEntry, cost: number }[] {
  const priced: { task: TaskEntry, cost: number }[] = []
  for (const task of worker.attempts) {
    if (task.phase !== 'assigned' || !rule(task)) continue
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
