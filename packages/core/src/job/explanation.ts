/** Explanation of why a job waits or where it runs. */
import { findLackingComponent } from '../vm/amounts.js'
import { hasCapacityFor } from '../vm/workerRegistry.js'
import type { JobExplanation } from './cellScheduler.js'
import type { CellState } from './cellState.js'
import { isFinal, type JobEntry, type TaskEntry } from './jobEntry.js'
import { isAcceptedBefore } from './lane.js'

export function explainJob (state: CellState, job: JobEntry): JobExplanation {
  const waiting = isFinal(job.phase) ? undefined : findWaitingReason(state, job)
  const position = job.lane ? countEarlierJobs(job) + 1 : undefined
  return {
    summary: summarize(job, waiting),
    ...(position === undefined ? {} : { queuePosition: position }),
    tasks: job.tasks.map((task) => ({
      task: task.index,
      phase: task.phase,
      ...(task.worker ? { worker: task.worker.id } : {}),
      reason: task.reason ?? describePhase(task, waiting)
    }))
  }
}

function summarize (job: JobEntry, waiting: string | undefined): string {
  const counts = `${job.completed} completed, ${job.live} on workers, ${job.queued.length} queued of ${job.tasks.length} tasks`
  if (job.ending) return `${job.phase}: ${job.ending.reason}; ${counts}`
  return waiting ? `${job.phase}: ${counts}; ${waiting}` : `${job.phase}: ${counts}`
}

function describePhase (task: TaskEntry, waiting: string | undefined): string {
  if (task.phase === 'queued') return waiting ?? 'waiting to be scheduled'
  return task.phase === 'assigned' ? task.placementReason ?? 'assigned by a previous holder' : task.phase
}

/** Finds the reason why the job's queued tasks wait; `undefined` if none are queued. */
function findWaitingReason (state: CellState, job: JobEntry): string | undefined {
  if (job.queued.length === 0) return undefined
  const { team, shape, lane } = job
  if (team.weight === 0) return `team ${team.name} is not in the manifest`
  const lacking = findLackingComponent({
    processors: team.ceiling.processors - team.running.processors,
    memoryMb: team.ceiling.memoryMb - team.running.memoryMb,
    accelerators: team.ceiling.accelerators - team.running.accelerators
  }, shape.need)
  if (lacking) return `team ${team.name} is at its ceiling of ${lacking}`
  const capableWorkers = countCapableWorkers(state, job)
  if (capableWorkers === 0) return 'no present worker could hold a task even if it were empty; waiting for one that can'
  if (job.reservations.size > 0) return `waiting for room reserved on ${countReservedWorkers(job)} workers to become free`
  if (lane?.gang && job.live > 0) return 'waiting for the remaining members to stop; the gang restarts with all members at once'
  if (lane?.gang) return `no room for all ${job.queued.length} members at once`
  if (shape.blocked) return `no worker has room now; ${capableWorkers} workers could hold a task`
  return 'waiting in fair-share order'
}

function countCapableWorkers (state: CellState, job: JobEntry): number {
  let capable = 0
  for (const worker of state.workers.listWorkers()) capable += hasCapacityFor(worker, job.shape) ? 1 : 0
  return capable
}

function countReservedWorkers (job: JobEntry): number {
  let workers = 0
  for (const reservation of job.reservations) workers += reservation.workers.size
  return workers
}

/** Counts the team's jobs that were accepted earlier and still have queued tasks. */
function countEarlierJobs (job: JobEntry): number {
  let earlier = 0
  for (const lane of job.team.lanes.values()) {
    for (const other of lane.jobs) earlier += other !== job && isAcceptedBefore(other, job) ? 1 : 0
  }
  return earlier
}
