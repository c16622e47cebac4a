/** Attempt lifecycle: starts, stops and ends attempts, and keeps charges, queues and job phases consistent. */
import type { EndedTask } from '../schema/linkMessage.js'
import { updateReceived } from '../team/teamEntry.js'
import { addAmounts } from '../vm/amounts.js'
import type { WorkerEntry } from '../vm/workerEntry.js'
import { recordFailure, recordSuccess } from '../vm/workerHealth.js'
import type { RejectedCandidate } from './cellScheduler.js'
import type { CellState } from './cellState.js'
import { addQueued, isFinal, type JobEntry, type JobEnding, type TaskEntry } from './jobEntry.js'
import { addToLane, removeFromLane } from './lane.js'
import { releaseReservation, releaseReservations } from './reservation.js'

/** Distinct workers on which a job's tasks must fail before the fault is attributed to the job instead of the workers. */
const MIN_FAILED_WORKERS = 3
const MAX_TRACKED_FAILED_WORKERS = 16
/** Fraction of the workers that may be in quarantine at once; more widespread failures have a cause outside of the workers. */
const MAX_QUARANTINED_FRACTION = 0.25

/** Charges the worker and the team for an attempt; a count of -1 releases the charge. */
export function updateCharge (state: CellState, task: TaskEntry, worker: WorkerEntry, count: 1 | -1): void {
  const { need } = task.job.shape
  addAmounts(worker.free, need, -count)
  addAmounts(task.job.team.running, need, count)
  updateReceived(task.job.team, state.teams.capacity, state.nowMs)
  if (count === -1) task.job.team.headroomVersion += 1
  updateLocationCounts(task.job, worker, count)
}

/** Updates the counts of a service's tasks by failure domain and rack. */
export function updateLocationCounts (job: JobEntry, worker: WorkerEntry, count: 1 | -1): void {
  if (job.row.spec.kind !== 'service' || !worker.description) return
  const { failureDomain, rack } = worker.description
  for (const key of [failureDomain, `${failureDomain}/${rack}`]) {
    job.tasksByLocation.set(key, Math.max(0, (job.tasksByLocation.get(key) ?? 0) + count))
  }
}

/** Adds an assigned or stopping attempt to its worker and charges it. */
export function addAttempt (state: CellState, task: TaskEntry, worker: WorkerEntry): void {
  task.worker = worker
  task.lastWorker = worker.id
  task.startedMs = state.nowMs
  task.job.live += 1
  worker.attempts.add(task)
  updateCharge(state, task, worker, 1)
  if (task.phase === 'stopping') addAmounts(worker.stopping, task.job.shape.need, 1)
  // A charged accelerator no longer sets processors and memory aside, so room for tasks without accelerators may be released.
  state.workers.updateWorker(worker, worker.capacity.accelerators > 0 && task.job.shape.need.accelerators > 0)
}

/** Starts the next attempt of a queued task. */
export function startAttempt (
  state: CellState, task: TaskEntry, worker: WorkerEntry, reason: string, rejected: readonly RejectedCandidate[]
): void {
  const { job } = task
  const position = job.queued.lastIndexOf(task.index)
  job.queued.splice(position, 1)
  updateWaitingCounts(job, -1)
  task.phase = 'assigned'
  task.attempt += 1
  task.reason = undefined
  task.placementReason = reason
  task.filler = false
  addAttempt(state, task, worker)
  job.phase = 'running'
  state.changedJobs.add(job.id)
  if (job.queued.length === 0) removeFromLane(job)
  releaseSurplusReservations(state, job)
  const id = { job: job.id, task: task.index, attempt: task.attempt }
  state.outbox.push({ kind: 'start', id, team: job.team.name, worker: worker.id, reason, losers: rejected })
}

/** Decides to stop an attempt; the charge remains until the attempt has ended. */
export function stopAttempt (
  state: CellState, task: TaskEntry, reason: 'preempted' | 'cancelled' | 'drained'
): void {
  if (task.phase !== 'assigned') return
  const { job } = task
  const worker = task.worker!
  task.phase = 'stopping'
  task.reason = reason
  task.checkpoint = reason !== 'cancelled' && job.row.spec.checkpointable
  addAmounts(worker.stopping, job.shape.need, 1)
  state.workers.updateWorker(worker, false)
  state.changedJobs.add(job.id)
  const id = { job: job.id, task: task.index, attempt: task.attempt }
  state.outbox.push({
    kind: 'stop', id, team: job.team.name, worker: worker.id, checkpoint: task.checkpoint, reason
  })
}

/** Releases reservations in excess of the job's queued tasks. */
function releaseSurplusReservations (state: CellState, job: JobEntry): void {
  const reservations = [...job.reservations]
  while (reservations.length > job.queued.length) releaseReservation(state, reservations.pop()!)
}

/** Preempts a task; all members of a gang stop, since they run together or not at all. */
export function stopForPreemption (state: CellState, task: TaskEntry): void {
  if (task.job.row.spec.kind === 'gang') stopGang(state, task.job, 'preempted')
  else stopAttempt(state, task, 'preempted')
}

/** Stops all members of a gang. */
export function stopGang (state: CellState, job: JobEntry, reason: 'preempted' | 'cancelled' | 'drained'): void {
  for (const task of job.tasks) stopAttempt(state, task, reason)
}

/** Releases an ended attempt and completes, fails, cancels or requeues its task. */
export function endAttempt (
  state: CellState, task: TaskEntry, result: EndedTask['result'] | 'lost', ranMs: number
): void {
  const { job } = task
  const worker = task.worker!
  removeAttempt(state, task)
  if (result === 'completed') recordCompletion(state, task, worker, ranMs)
  else if (result === 'failed') recordTaskFailure(state, task, worker)
  else applyInterruption(state, task, result)
  if (result !== 'completed' && job.row.spec.kind === 'gang' && !job.ending) stopGang(state, job, 'preempted')
  state.changedJobs.add(job.id)
  updateJobPhase(state, job)
}

function removeAttempt (state: CellState, task: TaskEntry): void {
  const worker = task.worker!
  if (task.phase === 'stopping') addAmounts(worker.stopping, task.job.shape.need, -1)
  worker.attempts.delete(task)
  updateCharge(state, task, worker, -1)
  task.worker = undefined
  task.job.live -= 1
  state.workers.updateWorker(worker, true)
  if (!worker.description && worker.attempts.size === 0) state.workers.dropWorker(worker)
}

function recordCompletion (state: CellState, task: TaskEntry, worker: WorkerEntry, ranMs: number): void {
  const wasProbing = worker.health.probing
  recordSuccess(worker.health)
  if (wasProbing) state.workers.updateWorker(worker, true)
  if (task.job.row.spec.kind !== 'service') state.estimates.recordRun(task.job, ranMs)
  task.phase = 'completed'
  task.reason = undefined
  task.job.completed += 1
}

function recordTaskFailure (state: CellState, task: TaskEntry, worker: WorkerEntry): void {
  const { job } = task
  if (isWorkerSuspect(job)) recordWorkerFailure(state, job, worker)
  task.failures += 1
  if (job.failedWorkers.size < MAX_TRACKED_FAILED_WORKERS) job.failedWorkers.add(worker.id)
  if (job.ending) {
    endTask(task, 'cancelled', job.ending.reason)
    return
  }
  if (task.failures <= job.row.spec.maxRetries) {
    queueTask(task, `failed on ${worker.id}, retry ${task.failures} of ${job.row.spec.maxRetries}`)
    return
  }
  endTask(task, 'failed', `failed ${task.failures} times, last on ${worker.id}`)
  job.failed += 1
  if (job.row.spec.kind === 'gang') {
    endJob(state, job, { phase: 'failed', reason: `gang member ${task.index} failed ${task.failures} times` }, 'preempted')
  } else if (job.completed === 0 && job.failedWorkers.size >= MIN_FAILED_WORKERS) {
    const reason = `fails everywhere: tasks failed on ${job.failedWorkers.size} workers and none completed`
    endJob(state, job, { phase: 'failed', reason }, 'preempted')
  }
}

/** Checks whether a failure may be the worker's fault; a job that failed on several workers and completed on none is at fault itself. */
function isWorkerSuspect (job: JobEntry): boolean {
  return job.completed > 0 || job.failedWorkers.size < MIN_FAILED_WORKERS
}

function recordWorkerFailure (state: CellState, job: JobEntry, worker: WorkerEntry): void {
  if (state.quarantined.size >= MAX_QUARANTINED_FRACTION * state.workers.countWorkers()) return
  if (!recordFailure(worker.health, job.id, state.nowMs)) return
  state.quarantined.add(worker)
  state.workers.updateWorker(worker, false)
}

function applyInterruption (state: CellState, task: TaskEntry, result: EndedTask['result'] | 'lost'): void {
  const { ending } = task.job
  if (ending) endTask(task, 'cancelled', ending.reason)
  else queueTask(task, `attempt ${task.attempt} ended: ${task.reason ?? result}`)
}

function endTask (task: TaskEntry, phase: 'failed' | 'cancelled', reason: string): void {
  task.phase = phase
  task.reason = reason
}

/** Queues a task that has no live attempt. */
export function queueTask (task: TaskEntry, reason: string | undefined): void {
  const { job } = task
  task.phase = 'queued'
  task.reason = reason
  updateWaitingCounts(job, 1)
  addQueued(job, task.index)
  addToLane(job)
}

/** Adds `count` to the team's numbers of waiting tasks. */
export function updateWaitingCounts (job: JobEntry, count: number): void {
  job.team.waitingTasks += count
  if (job.row.spec.priority === 'urgent') job.team.waitingUrgent += count
}

/** Ends a job: queued tasks end at once, live tasks when their attempts have ended. */
export function endJob (
  state: CellState, job: JobEntry, ending: JobEnding, stopReason: 'preempted' | 'cancelled'
): void {
  if (job.ending || isFinal(job.phase)) return
  job.ending = ending
  updateWaitingCounts(job, -job.queued.length)
  for (const index of job.queued.splice(0)) endTask(job.tasks[index]!, 'cancelled', ending.reason)
  removeFromLane(job)
  releaseReservations(state, job)
  for (const task of job.tasks) stopAttempt(state, task, stopReason)
  state.changedJobs.add(job.id)
  updateJobPhase(state, job)
}

/** Updates the phase of a job and reports its end. */
export function updateJobPhase (state: CellState, job: JobEntry): void {
  if (isFinal(job.phase)) return
  if (job.live > 0 || job.queued.length > 0) {
    job.phase = job.live > 0 || job.completed > 0 ? 'running' : 'queued'
    return
  }
  const cancelled = job.tasks.length - job.completed - job.failed
  const phase = computeFinalPhase(job, cancelled)
  const reason = job.ending?.reason ?? `${job.completed} of ${job.tasks.length} tasks completed`
  job.phase = phase
  state.outbox.push({ kind: 'jobEnded', job: job.id, team: job.team.name, phase, reason })
}

function computeFinalPhase (job: JobEntry, cancelled: number): 'completed' | 'failed' | 'cancelled' {
  if (cancelled > 0) return job.ending?.phase ?? 'cancelled'
  return job.failed > 0 ? 'failed' : 'completed'
}
