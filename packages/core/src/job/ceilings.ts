/** Ceilings that were lowered below what their teams run. */
import type { TeamEntry } from '../team/teamEntry.js'
import { addAmounts, createAmounts, hasRoom } from '../vm/amounts.js'
import { stopForRoom } from './attempts.js'
import type { CellState } from './cellState.js'
import type { TaskEntry } from './jobEntry.js'

/** Stops work of teams above their ceilings until the rest keeps within; a team that the manifest does not name is left alone. */
export function stopAboveCeilings (state: CellState): void {
  for (const team of state.teams.listTeams()) {
    if (team.weight > 0 && !hasRoom(team.ceiling, team.running)) stopExcess(state, team)
  }
}

function stopExcess (state: CellState, team: TeamEntry): void {
  const live = listLiveTasks(state, team)
  const kept = createAmounts()
  for (const task of live) if (task.phase === 'assigned') addAmounts(kept, task.job.shape.need, 1)
  for (const task of live.sort(compareLoss)) {
    if (hasRoom(team.ceiling, kept)) return
    const assigned = live.filter((other) => other.phase === 'assigned')
    stopForRoom(state, task)
    // A gang stops as a whole.
    for (const other of assigned) if (other.phase === 'stopping') addAmounts(kept, other.job.shape.need, -1)
  }
}

function listLiveTasks (state: CellState, team: TeamEntry): TaskEntry[] {
  const live: TaskEntry[] = []
  for (const job of state.jobs.values()) {
    if (job.team !== team) continue
    for (const task of job.tasks) if (task.worker !== undefined) live.push(task)
  }
  return live
}

/** Saved work first, then the work that has run the shortest. */
function compareLoss (a: TaskEntry, b: TaskEntry): number {
  const isSaved = (task: TaskEntry): number => task.job.row.spec.checkpointable ? 0 : 1
  return isSaved(a) - isSaved(b) || b.startedMs - a.startedMs || b.index - a.index
}
