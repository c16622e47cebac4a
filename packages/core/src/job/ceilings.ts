/** Enforcement of team ceilings that were lowered below the resources in use. */
import type { TeamEntry } from '../team/teamEntry.js'
import { addAmounts, createAmounts, hasRoom } from '../vm/amounts.js'
import { stopForPreemption } from './attempts.js'
import type { CellState } from './cellState.js'
import type { TaskEntry } from './jobEntry.js'

/** Stops tasks of teams above their ceilings until the remaining tasks fit; tasks of teams that are missing from the manifest keep running. */
export function stopTasksAboveCeilings (state: CellState): void {
  for (const team of state.teams.listTeams()) {
    if (team.weight > 0 && !hasRoom(team.ceiling, team.running)) stopExcessTasks(state, team)
  }
}

function stopExcessTasks (state: CellState, team: TeamEntry): void {
  const live = listLiveTasks(state, team)
  const used = createAmounts()
  for (const task of live) if (task.phase === 'assigned') addAmounts(used, task.job.shape.need, 1)
  for (const task of live.sort(compareStopOrder)) {
    if (hasRoom(team.ceiling, used)) return
    const assigned = live.filter((other) => other.phase === 'assigned')
    stopForPreemption(state, task)
    // Stopping one member of a gang stops all of them.
    for (const other of assigned) if (other.phase === 'stopping') addAmounts(used, other.job.shape.need, -1)
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

/** Orders checkpointable tasks first, then the tasks that have run for the shortest time. */
function compareStopOrder (a: TaskEntry, b: TaskEntry): number {
  const computeCheckpointRank = (task: TaskEntry): number => task.job.row.spec.checkpointable ? 0 : 1
  return computeCheckpointRank(a) - computeCheckpointRank(b) || b.startedMs - a.startedMs || b.index - a.index
}
