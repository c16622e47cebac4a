/** The cell's scheduler: applies events, computes decisions and exposes the state to commit. */
import type { AttemptId, JobRow, JobStateRow, TaskState } from '../schema/job.js'
import { listShares } from '../team/teamShares.js'
import type { ShareUsage } from '../team/teamRegistry.js'
import { addAmounts, createAmounts, createCapacity, type Amounts } from '../vm/amounts.js'
import { updateDescription, type WorkerEntry } from '../vm/workerEntry.js'
import { addAttempt, endAttempt, endJob, queueTask, stopGang, updateJobPhase, updateLocationCounts } from './attempts.js'
import type { CellScheduler, DesiredAttempts, SchedulerWorker } from './cellScheduler.js'
import { createCellState, getShape, type CellState } from './cellState.js'
import { decideTasks } from './decideTasks.js'
import { explainJob } from './explanation.js'
import { createJobEntry, isFinal, readState, type JobEntry, type TaskEntry } from './jobEntry.js'

/** Options of a scheduler. */
export interface CellSchedulerOptions {
  /** Resource time received in the window so far, from the previous holder; none by default. */
  readonly shareUsage?: ShareUsage
}

/** Creates the scheduler of a cell without workers, teams and jobs. */
export function createCellScheduler (options: CellSchedulerOptions = {}): CellScheduler {
  const state = createCellState()
  let shareUsage = options.shareUsage

  const findAttempt = (id: AttemptId, worker: string): TaskEntry | undefined => {
    const task = state.jobs.get(id.job)?.tasks[id.task]
    if (!task || task.attempt !== id.attempt || task.worker?.id !== worker) return undefined
    return task
  }

  return {
    setManifest: (manifest) => {
      state.teams.updateAllReceived()
      state.teams.setManifest(manifest)
    },
    setWorker: (worker) => setWorker(state, worker),
    recordWorkerLost: (worker, nowMs) => {
      setNow(state, nowMs)
      const entry = state.workers.findWorker(worker)
      if (!entry) return
      for (const task of [...entry.attempts]) endAttempt(state, task, 'lost', 0)
    },
    removeWorker: (worker) => removeWorker(state, worker),
    addJob: (id, row, jobState, nowMs) => {
      setNow(state, nowMs)
      addJob(state, id, row, jobState)
    },
    cancelJob: (id, nowMs) => {
      setNow(state, nowMs)
      const job = state.jobs.get(id)
      if (job) endJob(state, job, { phase: 'cancelled', reason: 'cancelled' }, 'cancelled')
    },
    recordStarted: (id, worker, nowMs) => {
      setNow(state, nowMs)
      const task = findAttempt(id, worker)
      if (task?.phase === 'assigned') task.startedMs = nowMs
    },
    recordEnded: (ended, worker, nowMs) => {
      setNow(state, nowMs)
      const task = findAttempt(ended.id, worker)
      if (task) endAttempt(state, task, ended.result, ended.ranMs)
    },
    recordUsage: (usage, worker, nowMs) => {
      setNow(state, nowMs)
      const task = findAttempt(usage.id, worker)
      if (task) state.estimates.recordUsage(task.job, usage.used)
    },
    decide: (nowMs, wallMs, maxDecisions) => {
      setNow(state, nowMs)
      state.teams.updatePeriod(nowMs, wallMs)
      if (shareUsage) state.teams.setShareUsage(shareUsage)
      shareUsage = undefined
      if (state.outbox.length < maxDecisions) decideTasks(state, maxDecisions)
      return state.outbox.splice(0, maxDecisions)
    },
    takeChangedJobs: () => {
      const changed = [...state.changedJobs]
      state.changedJobs.clear()
      return changed
    },
    readJobState: (id) => {
      const job = state.jobs.get(id)
      return job && readState(job)
    },
    readJobRow: (id) => state.jobs.get(id)?.row,
    listDesired: (worker) => listDesired(state, worker),
    explainJob: (id, nowMs) => {
      setNow(state, nowMs)
      const job = state.jobs.get(id)
      return job && explainJob(state, job)
    },
    listTeamShares: () => listShares(state),
    readShareUsage: () => state.teams.readShareUsage(),
    forgetJob: (id) => forgetJob(state, id)
  }
}

function setNow (state: CellState, nowMs: number): void {
  state.nowMs = Math.max(state.nowMs, nowMs)
  state.teams.setNowMs(state.nowMs)
}

function setWorker (state: CellState, description: SchedulerWorker): void {
  const worker = state.workers.getWorker(description.id)
  if (description.draining) state.draining.add(worker)
  else state.draining.delete(worker)
  if (worker.description && isUnchanged(worker.description, description)) return
  updateWorkerDescription(state, worker, description)
}

function isUnchanged (a: SchedulerWorker, b: SchedulerWorker): boolean {
  return a.schedulable === b.schedulable && a.pool === b.pool && a.failureDomain === b.failureDomain && a.rack === b.rack &&
    isEqual(createCapacity(a.capacity), createCapacity(b.capacity))
}

function removeWorker (state: CellState, id: string): void {
  const worker = state.workers.findWorker(id)
  if (!worker) return
  updateWorkerDescription(state, worker, undefined)
  state.quarantined.delete(worker)
  state.draining.delete(worker)
  if (worker.attempts.size === 0 && worker.reservations.size === 0) state.workers.dropWorker(worker)
}

/** Replaces a worker's description and updates the cell's capacity and the location counts of its tasks. */
function updateWorkerDescription (state: CellState, worker: WorkerEntry, description: SchedulerWorker | undefined): void {
  const before = worker.capacity
  const locationBefore = formatLocation(worker)
  if (locationBefore !== undefined) updateWorkerLocationCounts(worker, -1)
  updateDescription(worker, description)
  if (description) updateWorkerLocationCounts(worker, 1)
  if (!isEqual(before, worker.capacity) || locationBefore !== formatLocation(worker)) {
    state.teams.updateAllReceived()
    addAmounts(state.teams.capacity, before, -1)
    addAmounts(state.teams.capacity, worker.capacity, 1)
    state.teams.updateAllReceived()
    state.workersVersion += 1
  }
  state.workers.updateWorker(worker, true)
}

function formatLocation (worker: WorkerEntry): string | undefined {
  return worker.description && `${worker.description.pool}\n${worker.description.failureDomain}\n${worker.description.rack}`
}

function updateWorkerLocationCounts (worker: WorkerEntry, count: 1 | -1): void {
  for (const task of worker.attempts) updateLocationCounts(task.job, worker, count)
}

function isEqual (a: Amounts, b: Amounts): boolean {
  return a.processors === b.processors && a.memoryMb === b.memoryMb && a.accelerators === b.accelerators
}

function addJob (state: CellState, id: string, row: JobRow, jobState: JobStateRow | undefined): void {
  if (state.jobs.has(id)) return
  const shape = getShape(state, row.spec.resources, row.spec.pool)
  const team = state.teams.getTeam(row.team)
  const job = createJobEntry(id, row, team, shape)
  shape.jobCount += 1
  if (shape.need.accelerators > 0) state.workers.recordAcceleratorNeed(shape.need, row.spec.taskCount)
  state.jobs.set(id, job)
  if (team.waitingTasks === 0 && isZero(team.running)) state.teams.clampCredit(team)
  if (jobState) job.phase = jobState.phase
  for (const task of job.tasks) restoreTask(state, task, jobState?.tasks[task.index])
  if (row.spec.kind === 'gang' && job.live > 0 && job.queued.length > 0) stopGang(state, job, 'preempted')
  updateJobPhase(state, job)
}

function restoreTask (state: CellState, task: TaskEntry, restored: TaskState | undefined): void {
  if (restored) {
    task.phase = restored.phase
    task.attempt = restored.attempt
    task.failures = restored.failures
    task.lastWorker = restored.worker
    task.reason = restored.reason
  }
  const { job } = task
  if (task.phase === 'queued') queueTask(task, task.reason)
  else if (task.phase === 'completed') job.completed += 1
  else if (task.phase === 'failed') job.failed += 1
  else if (task.phase !== 'cancelled') restoreAttempt(state, task)
}

function restoreAttempt (state: CellState, task: TaskEntry): void {
  task.checkpoint = task.phase === 'stopping' && task.reason !== 'cancelled' && task.job.row.spec.checkpointable
  addAttempt(state, task, state.workers.getWorker(task.lastWorker ?? ''))
}

function isZero (running: Amounts): boolean {
  return isEqual(running, createAmounts())
}

function listDesired (state: CellState, id: string): DesiredAttempts {
  const run: { id: AttemptId, job: JobRow }[] = []
  const end: { id: AttemptId, checkpoint: boolean }[] = []
  for (const task of state.workers.findWorker(id)?.attempts ?? []) {
    const attempt = { job: task.job.id, task: task.index, attempt: task.attempt }
    if (task.phase === 'assigned') run.push({ id: attempt, job: task.job.row })
    else end.push({ id: attempt, checkpoint: task.checkpoint })
  }
  return { run, end }
}

function forgetJob (state: CellState, id: string): void {
  const job: JobEntry | undefined = state.jobs.get(id)
  if (!job || !isFinal(job.phase)) return
  state.jobs.delete(id)
  state.changedJobs.delete(id)
  job.shape.jobCount -= 1
  if (job.shape.jobCount === 0) state.shapes.delete(job.shape.key)
}
