/** Tracks a partition's runs at its workers: resource use, pending stops, and reconciliation with the workers' reports. */
import { addTaskTo, createPartitionWorker, recordWorkerEnd, startWorkerBackoff, removeTaskFrom, type PartitionWorker } from './partitionWorker.js'
import { STALL_TIMEOUT_MS, STALL_FRACTION } from './constants.js'
import type { JobRegistry } from './jobRegistry.js'
import type { Task } from './jobState.js'
import { listTasks } from './jobState.js'
import type { ListedEnd, RunName, StopOrder, WorkerReport } from './plannerTypes.js'
import type { JobStep } from './stepJob.js'
import type { TeamUsage } from './teamUsage.js'

/** Runs of one partition. */
export interface RunTracker {
  readonly workers: ReadonlyMap<string, PartitionWorker>
  findStep: (task: Task) => JobStep
  /** Finds a worker by id, or creates a placeholder for one that the platform has not listed yet. */
  resolveWorker: (id: string) => PartitionWorker
  removeWorker: (id: string) => void
  takeResources: (task: Task, worker: PartitionWorker) => void
  /** Releases a task whose run ended without a result, so that it waits again; the rest of its gang is stopped and restarted with it. */
  releaseTask: (task: Task, nowMs: number) => void
  scheduleStop: (task: Task, reason: StopOrder['reason']) => void
  stopJob: (id: string, reason: StopOrder['reason']) => void
  /** Ends the job of a task that will not be started again as failed. */
  failTask: (task: Task, wallMs: number) => void
  /** Stops scheduled since the last call. */
  takeStops: () => StopOrder[]
  /** Stops at a worker that were taken and whose runs have not ended yet. */
  listOrderedStops: (worker: string) => StopOrder[]
  recordReport: (worker: string, report: WorkerReport, nowMs: number, wallMs: number) => StopOrder[]
}

/** Builds the identifier of a task's current run. */
export function buildRunName (task: Task): RunName {
  return { job: task.job, occurrence: task.occurrence, step: task.step, index: task.index, run: task.run }
}

/** Creates a tracker without workers. */
export function createRunTracker (registry: JobRegistry, teams: TeamUsage): RunTracker {
  const workers = new Map<string, PartitionWorker>()
  const toStop = new Map<Task, StopOrder['reason']>()
  const orderedStops = new Map<Task, StopOrder['reason']>()

  const findStep = (task: Task) => {
    const step = registry.findJob(task.job)?.spec.steps[task.step]
    if (step === undefined) throw new Error(`task of unknown step ${task.job}.${task.step}`)
    return step
  }

  const findTeam = (task: Task): string => registry.findJob(task.job)?.spec.team ?? ''

  const takeResources = (task: Task, worker: PartitionWorker): void => {
    const step = findStep(task)
    addTaskTo(worker, task, step)
    teams.add(findTeam(task), step.resources)
  }

  const releaseResources = (task: Task): void => {
    toStop.delete(task)
    orderedStops.delete(task)
    const worker = workers.get(task.worker)
    if (worker !== undefined && worker.tasks.has(task)) {
      const step = findStep(task)
      removeTaskFrom(worker, task, step)
      teams.subtract(findTeam(task), step.resources)
    }
    task.worker = ''
    task.stopping = false
    task.confirmedAtMs = null
    task.hasStarted = false
    task.percent = 0
    task.progressedAtMs = null
  }

  const resolveWorker = (id: string): PartitionWorker => {
    const known = workers.get(id)
    if (known !== undefined) return known
    // The table assigns a run to a worker that is not listed yet: the run stays allocated until the worker is known to be lost.
    const placeholder = createPartitionWorker({ id, failureDomain: '', labels: [], capacity: { processors: 0, memoryMb: 0, accelerators: 0 }, draining: true })
    workers.set(id, placeholder)
    return placeholder
  }

  const scheduleStop = (task: Task, reason: StopOrder['reason']): void => {
    if (task.worker !== '' && !task.stopping) toStop.set(task, reason)
  }

  const stopJob = (id: string, reason: StopOrder['reason']): void => {
    const job = registry.findJob(id)
    if (job === undefined) return
    for (const task of listTasks(job)) scheduleStop(task, reason)
  }

  /** Releases a task whose run ended without a result, so that it waits again. */
  const releaseTask = (task: Task, nowMs: number): void => {
    releaseResources(task)
    if (task.phase === 'placed') task.phase = 'waiting'
    registry.recordChanged(task.job)
    registry.recordWaiting(task, nowMs)
  }

  /** Marks the other members of a gang as done: they complete together, and the end of one stands for all. */
  const endGangMembers = (task: Task, doneRun: number, nowMs: number): void => {
    for (const member of registry.listGang(task)) {
      if (member === task || member.phase === 'done' || member.phase === 'failed') continue
      // Resources at other workers are released when those report the end; a later run has to be stopped.
      if (member.phase === 'placed' && member.run !== doneRun) scheduleStop(member, 'superseded')
      member.phase = 'done'
      registry.recordDone(member, nowMs)
    }
  }

  const stopGang = (task: Task): void => {
    for (const member of registry.listGang(task)) {
      if (member !== task && member.run === task.run && member.phase === 'placed') scheduleStop(member, 'gangBroken')
    }
  }

  const failTask = (task: Task, wallMs: number): void => {
    const job = registry.findJob(task.job)
    if (job === undefined || task.phase === 'done') return
    task.phase = 'failed'
    registry.endJob(job, 'failed', wallMs)
    stopJob(job.id, 'jobFailed')
  }

  const recordFailure = (task: Task, end: ListedEnd, nowMs: number, wallMs: number): void => {
    const gang = registry.listGang(task)
    // Members that fail in the same run are one failure of their gang.
    const isCounted = gang.some((member) => member.failedRun === end.run)
    task.failedRun = end.run
    if (isCounted) return
    for (const member of gang) if (member.run === end.run) member.failures++
    const job = registry.findJob(task.job)
    if (job === undefined || findStep(task).longRunning || task.failures < job.spec.policy.maxAttempts) return
    failTask(task, wallMs)
  }

  const storeCheckpoint = (task: Task, saved: string): void => {
    if (saved === '') return
    for (const member of registry.listGang(task)) member.saved = saved
  }

  /** Whether an end of a run is the result of the task. Long-running tasks have none: they are started again however they end. */
  const isResult = (task: Task, end: ListedEnd): boolean => end.how === 'done' && !findStep(task).longRunning

  const endTask = (task: Task, doneRun: number, nowMs: number, wallMs: number): void => {
    task.phase = 'done'
    endGangMembers(task, doneRun, nowMs)
    registry.recordDone(task, nowMs)
    registry.endIfComplete(task, wallMs)
  }

  const recordEnd = (workerId: string, end: ListedEnd, nowMs: number, wallMs: number): void => {
    const task = registry.findTask(end)
    if (task === undefined) return
    registry.recordBegun(task.job)
    const isCurrent = task.run === end.run && task.worker === workerId
    const worker = workers.get(workerId)
    if (worker !== undefined && isCurrent) recordWorkerEnd(worker, end.how === 'failed', nowMs)
    if (!isCurrent) {
      // A worker that was considered lost reports a result after all: the task need not run again.
      if (!isResult(task, end) || task.phase === 'done' || task.phase === 'failed') return
      if (task.phase === 'placed') scheduleStop(task, 'superseded')
      endTask(task, end.run, nowMs, wallMs)
      return
    }
    storeCheckpoint(task, end.saved)
    const wasPlaced = task.phase === 'placed'
    releaseResources(task)
    registry.recordChanged(task.job)
    if (!wasPlaced) return
    if (isResult(task, end)) {
      endTask(task, end.run, nowMs, wallMs)
      return
    }
    task.phase = 'waiting'
    if (end.how === 'failed') recordFailure(task, end, nowMs, wallMs)
    // When a member fails, the workers end the rest of its gang on their own.
    if (findStep(task).gang && (end.how === 'stopped' || end.how === 'lapsed' || end.how === 'alone')) stopGang(task)
    registry.recordWaiting(task, nowMs)
  }

  /** Stops a stalled run so that it restarts elsewhere, and backs off from its worker. */
  const checkProgress = (worker: PartitionWorker, task: Task, percent: number, nowMs: number): void => {
    if (percent > task.percent || task.progressedAtMs === null) task.progressedAtMs = nowMs
    task.percent = percent
    const step = findStep(task)
    // Gang members wait for each other, filler tasks wait for idle processors, and long-running tasks report no progress towards an end.
    if (step.gang || step.fills || step.longRunning || task.stopping) return
    if (nowMs - task.progressedAtMs < Math.max(STALL_TIMEOUT_MS, STALL_FRACTION * step.estimateMs)) return
    startWorkerBackoff(worker, nowMs)
    scheduleStop(task, 'stalled')
  }

  const recordReport = (workerId: string, report: WorkerReport, nowMs: number, wallMs: number): StopOrder[] => {
    const worker = resolveWorker(workerId)
    for (const end of report.ended) recordEnd(workerId, end, nowMs, wallMs)
    const listed = new Set<Task>()
    const strays: StopOrder[] = []
    for (const entry of report.running) {
      const task = registry.findTask(entry)
      if (task === undefined || task.run !== entry.run || task.worker !== workerId) {
        strays.push({ ...entry, worker: workerId, reason: 'stray' })
        continue
      }
      listed.add(task)
      registry.recordBegun(task.job)
      task.confirmedAtMs ??= report.requestedAtMs
      task.hasStarted = true
      checkProgress(worker, task, entry.percent, nowMs)
      if (entry.saved !== '' && entry.saved !== task.saved) storeCheckpoint(task, entry.saved)
    }
    worker.strayRuns = strays.length
    worker.respondedAtMs = nowMs
    if (report.hasMoreEnds) return strays
    for (const task of [...worker.tasks]) {
      if (listed.has(task) || task.confirmedAtMs === null || task.confirmedAtMs >= report.requestedAtMs) continue
      releaseTask(task, nowMs)
      if (findStep(task).gang) stopGang(task)
    }
    return strays
  }

  return {
    workers,
    findStep,
    resolveWorker,
    removeWorker: (id) => { workers.delete(id) },
    takeResources,
    releaseTask: (task, nowMs) => {
      releaseTask(task, nowMs)
      if (findStep(task).gang) stopGang(task)
    },
    scheduleStop,
    stopJob,
    failTask,
    takeStops: () => {
      const stops: StopOrder[] = []
      for (const [task, reason] of toStop) {
        task.stopping = true
        orderedStops.set(task, reason)
        stops.push({ ...buildRunName(task), worker: task.worker, reason })
      }
      toStop.clear()
      return stops
    },
    listOrderedStops: (worker) => {
      const stops: StopOrder[] = []
      for (const task of workers.get(worker)?.tasks ?? []) {
        const reason = orderedStops.get(task)
        if (reason !== undefined) stops.push({ ...buildRunName(task), worker, reason })
      }
      return stops
    },
    recordReport
  }
}
