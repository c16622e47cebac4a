/** Scheduler interface that the benchmark drives, and a first-fit baseline that implements it. */
import type { AttemptId, CellScheduler, JobRow, Resources, SchedulerDecision, SchedulerWorker } from '@fuchsiatally/core'

/** Methods of the scheduler that the benchmark calls. */
export type BenchScheduler = Pick<CellScheduler,
'setManifest' | 'setWorker' | 'recordWorkerLost' | 'addJob' | 'cancelJob' | 'recordStarted' | 'recordEnded' | 'decide' | 'forgetJob'>

/** A worker and its unallocated resources. */
interface BaselineWorker { description: SchedulerWorker, processors: number, memoryMb: number, accelerators: number, runningTasks: Set<BaselineTask> }
interface BaselineTask { readonly job: BaselineJob, readonly index: number, attempt: number, failures: number, worker: BaselineWorker | undefined, done: boolean }
interface BaselineJob { readonly id: string, readonly row: JobRow, readonly tasks: BaselineTask[], readonly queued: BaselineTask[], runningCount: number, cancelled: boolean }

/** Creates a FIFO scheduler with first-fit placement, without shares, estimates, preemption or reservations. */
export function createFirstFitScheduler (): BenchScheduler {
  const workers = new Map<string, BaselineWorker>()
  const jobs = new Map<string, BaselineJob>()
  const waiting: BaselineJob[] = []
  const pendingDecisions: SchedulerDecision[] = []
  let hasChanged = true

  /** Allocates resources of a worker with sign 1, and frees them with sign -1. */
  const updateAllocation = (worker: BaselineWorker, resources: Resources, sign: 1 | -1): void => {
    worker.processors -= resources.processors * sign
    worker.memoryMb -= resources.memoryMb * sign
    worker.accelerators -= resources.accelerators * sign
  }

  const findFirstFit = (row: JobRow): BaselineWorker | undefined => {
    const { resources, pool } = row.spec
    for (const worker of workers.values()) {
      if (!worker.description.schedulable || (pool !== undefined && pool !== worker.description.pool)) continue
      if (resources.processors <= worker.processors + 1e-9 && resources.memoryMb <= worker.memoryMb && resources.accelerators <= worker.accelerators) return worker
    }
    return undefined
  }

  const startTask = (task: BaselineTask, worker: BaselineWorker): void => {
    const { job } = task
    task.attempt += 1
    task.worker = worker
    worker.runningTasks.add(task)
    job.runningCount += 1
    const id = { job: job.id, task: task.index, attempt: task.attempt }
    pendingDecisions.push({ kind: 'start', id, team: job.row.team, worker: worker.description.id, reason: 'first fit', losers: [] })
  }

  const startGang = (job: BaselineJob): boolean => {
    const chosen: BaselineWorker[] = []
    while (chosen.length < job.queued.length) {
      const worker = findFirstFit(job.row)
      if (!worker) break
      updateAllocation(worker, job.row.spec.resources, 1)
      chosen.push(worker)
    }
    if (chosen.length < job.queued.length) {
      for (const worker of chosen) updateAllocation(worker, job.row.spec.resources, -1)
      return false
    }
    for (const worker of chosen) startTask(job.queued.shift()!, worker)
    return true
  }

  const startJob = (job: BaselineJob): void => {
    if (job.row.spec.kind === 'gang') {
      if (job.runningCount === 0) startGang(job)
      return
    }
    while (job.queued.length > 0) {
      const worker = findFirstFit(job.row)
      if (!worker) return
      updateAllocation(worker, job.row.spec.resources, 1)
      startTask(job.queued.shift()!, worker)
    }
  }

  const formatShape = ({ spec }: JobRow): string =>
    `${spec.pool}/${spec.resources.processors}/${spec.resources.memoryMb}/${spec.resources.accelerators}`

  const decide = (): SchedulerDecision[] => {
    if (hasChanged) {
      const blockedShapes = new Set<string>()
      for (const job of [...waiting]) {
        const shape = formatShape(job.row)
        if (blockedShapes.has(shape)) continue
        startJob(job)
        if (job.queued.length === 0) waiting.splice(waiting.indexOf(job), 1)
        else if (job.row.spec.kind !== 'gang') blockedShapes.add(shape)
      }
      hasChanged = false
    }
    return pendingDecisions.splice(0)
  }

  const queueTask = (task: BaselineTask): void => {
    const { job } = task
    job.queued.push(task)
    if (waiting.includes(job)) return
    let position = waiting.length
    while (position > 0 && waiting[position - 1]!.row.acceptedAtMs > job.row.acceptedAtMs) position -= 1
    waiting.splice(position, 0, job)
  }

  const endTask = (task: BaselineTask, result: string): void => {
    const { job } = task
    updateAllocation(task.worker!, job.row.spec.resources, -1)
    task.worker!.runningTasks.delete(task)
    task.worker = undefined
    job.runningCount -= 1
    hasChanged = true
    if (result === 'failed') task.failures += 1
    const isDone = result === 'completed' || job.cancelled || task.failures > job.row.spec.maxRetries
    if (!isDone) {
      queueTask(task)
      if (job.row.spec.kind === 'gang') for (const member of job.tasks) stopTask(member)
    }
    if (isDone && job.runningCount === 0 && job.queued.length === 0) finishJob(job)
  }

  const finishJob = (job: BaselineJob): void => {
    pendingDecisions.push({ kind: 'jobEnded', job: job.id, team: job.row.team, phase: job.cancelled ? 'cancelled' : 'completed', reason: '' })
  }

  const stopTask = (task: BaselineTask): void => {
    if (!task.worker) return
    const id = { job: task.job.id, task: task.index, attempt: task.attempt }
    pendingDecisions.push({ kind: 'stop', id, team: task.job.row.team, worker: task.worker.description.id, checkpoint: false, reason: 'cancelled' })
  }

  const findRunningTask = (id: AttemptId): BaselineTask | undefined => {
    const task = jobs.get(id.job)?.tasks[id.task]
    return task?.worker && task.attempt === id.attempt ? task : undefined
  }

  return {
    setManifest: () => {},
    setWorker: (description) => {
      const worker = workers.get(description.id)
      if (worker) worker.description = description
      else workers.set(description.id, { description, ...description.capacity, runningTasks: new Set() })
      hasChanged = true
    },
    recordWorkerLost: (id) => {
      for (const task of [...workers.get(id)?.runningTasks ?? []]) endTask(task, 'lost')
    },
    addJob: (id, row) => {
      const job: BaselineJob = { id, row, tasks: [], queued: [], runningCount: 0, cancelled: false }
      for (let index = 0; index < row.spec.taskCount; index++) {
        job.tasks.push({ job, index, attempt: 0, failures: 0, worker: undefined, done: false })
      }
      jobs.set(id, job)
      job.queued.push(...job.tasks)
      waiting.push(job)
      hasChanged = true
    },
    cancelJob: (id) => {
      const job = jobs.get(id)
      if (!job) return
      job.cancelled = true
      job.queued.length = 0
      const position = waiting.indexOf(job)
      if (position >= 0) waiting.splice(position, 1)
      for (const task of job.tasks) stopTask(task)
      if (job.runningCount === 0) finishJob(job)
    },
    recordStarted: () => {},
    recordEnded: (ended) => {
      const task = findRunningTask(ended.id)
      if (task) endTask(task, ended.result)
    },
    decide,
    forgetJob: (id) => { jobs.delete(id) }
  }
}
