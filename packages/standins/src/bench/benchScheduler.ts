/** The part of the scheduler's interface that the bench drives, and the baseline behind it. */
import type { AttemptId, CellScheduler, JobRow, Resources, SchedulerDecision, SchedulerWorker } from '@fuchsiatally/core'

/** What the bench calls. */
export type BenchScheduler = Pick<CellScheduler,
'setManifest' | 'setWorker' | 'recordWorkerLost' | 'addJob' | 'cancelJob' | 'recordStarted' | 'recordEnded' | 'decide' | 'forgetJob'>

interface BaselineWorker { known: SchedulerWorker, processors: number, memoryMb: number, accelerators: number, live: Set<BaselineTask> }
interface BaselineTask { readonly job: BaselineJob, readonly index: number, attempt: number, failures: number, worker: BaselineWorker | undefined, done: boolean }
interface BaselineJob { readonly id: string, readonly row: JobRow, readonly tasks: BaselineTask[], readonly queued: BaselineTask[], live: number, cancelled: boolean }

/** First come, first served; first fit; no shares, no estimates, no preemption, no reservations. */
export function createFirstFitScheduler (): BenchScheduler {
  const workers = new Map<string, BaselineWorker>()
  const jobs = new Map<string, BaselineJob>()
  const waiting: BaselineJob[] = []
  const outbox: SchedulerDecision[] = []
  let changed = true

  const charge = (worker: BaselineWorker, need: Resources, count: 1 | -1): void => {
    worker.processors -= need.processors * count
    worker.memoryMb -= need.memoryMb * count
    worker.accelerators -= need.accelerators * count
  }

  const findFirst = (row: JobRow): BaselineWorker | undefined => {
    const { resources, pool } = row.spec
    for (const worker of workers.values()) {
      if (!worker.known.schedulable || (pool !== undefined && pool !== worker.known.pool)) continue
      if (resources.processors <= worker.processors + 1e-9 && resources.memoryMb <= worker.memoryMb && resources.accelerators <= worker.accelerators) return worker
    }
    return undefined
  }

  const start = (task: BaselineTask, worker: BaselineWorker): void => {
    const { job } = task
    task.attempt += 1
    task.worker = worker
    worker.live.add(task)
    job.live += 1
    const id = { job: job.id, task: task.index, attempt: task.attempt }
    outbox.push({ kind: 'start', id, team: job.row.team, worker: worker.known.id, reason: 'first fit', losers: [] })
  }

  const startGang = (job: BaselineJob): boolean => {
    const chosen: BaselineWorker[] = []
    while (chosen.length < job.queued.length) {
      const worker = findFirst(job.row)
      if (!worker) break
      charge(worker, job.row.spec.resources, 1)
      chosen.push(worker)
    }
    if (chosen.length < job.queued.length) {
      for (const worker of chosen) charge(worker, job.row.spec.resources, -1)
      return false
    }
    for (const worker of chosen) start(job.queued.shift()!, worker)
    return true
  }

  const startJob = (job: BaselineJob): void => {
    if (job.row.spec.kind === 'gang') {
      if (job.live === 0) startGang(job)
      return
    }
    while (job.queued.length > 0) {
      const worker = findFirst(job.row)
      if (!worker) return
      charge(worker, job.row.spec.resources, 1)
      start(job.queued.shift()!, worker)
    }
  }

  const formatShape = ({ spec }: JobRow): string =>
    `${spec.pool}/${spec.resources.processors}/${spec.resources.memoryMb}/${spec.resources.accelerators}`

  const decide = (): SchedulerDecision[] => {
    if (changed) {
      const full = new Set<string>()
      for (const job of [...waiting]) {
        const shape = formatShape(job.row)
        if (full.has(shape)) continue
        startJob(job)
        if (job.queued.length === 0) waiting.splice(waiting.indexOf(job), 1)
        else if (job.row.spec.kind !== 'gang') full.add(shape)
      }
      changed = false
    }
    return outbox.splice(0)
  }

  const queue = (task: BaselineTask): void => {
    const { job } = task
    job.queued.push(task)
    if (waiting.includes(job)) return
    let position = waiting.length
    while (position > 0 && waiting[position - 1]!.row.acceptedAtMs > job.row.acceptedAtMs) position -= 1
    waiting.splice(position, 0, job)
  }

  const end = (task: BaselineTask, result: string): void => {
    const { job } = task
    charge(task.worker!, job.row.spec.resources, -1)
    task.worker!.live.delete(task)
    task.worker = undefined
    job.live -= 1
    changed = true
    if (result === 'failed') task.failures += 1
    const over = result === 'completed' || job.cancelled || task.failures > job.row.spec.maxRetries
    if (!over) {
      queue(task)
      if (job.row.spec.kind === 'gang') for (const member of job.tasks) stop(member)
    }
    if (over && job.live === 0 && job.queued.length === 0) finish(job)
  }

  const finish = (job: BaselineJob): void => {
    outbox.push({ kind: 'jobEnded', job: job.id, team: job.row.team, phase: job.cancelled ? 'cancelled' : 'completed', reason: '' })
  }

  const stop = (task: BaselineTask): void => {
    if (!task.worker) return
    const id = { job: task.job.id, task: task.index, attempt: task.attempt }
    outbox.push({ kind: 'stop', id, team: task.job.row.team, worker: task.worker.known.id, checkpoint: false, reason: 'cancelled' })
  }

  const find = (id: AttemptId): BaselineTask | undefined => {
    const task = jobs.get(id.job)?.tasks[id.task]
    return task?.worker && task.attempt === id.attempt ? task : undefined
  }

  return {
    setManifest: () => {},
    setWorker: (known) => {
      const worker = workers.get(known.id)
      if (worker) worker.known = known
      else workers.set(known.id, { known, ...known.capacity, live: new Set() })
      changed = true
    },
    recordWorkerLost: (id) => {
      for (const task of [...workers.get(id)?.live ?? []]) end(task, 'lost')
    },
    addJob: (id, row) => {
      const job: BaselineJob = { id, row, tasks: [], queued: [], live: 0, cancelled: false }
      for (let index = 0; index < row.spec.taskCount; index++) {
        job.tasks.push({ job, index, attempt: 0, failures: 0, worker: undefined, done: false })
      }
      jobs.set(id, job)
      job.queued.push(...job.tasks)
      waiting.push(job)
      changed = true
    },
    cancelJob: (id) => {
      const job = jobs.get(id)
      if (!job) return
      job.cancelled = true
      job.queued.length = 0
      const position = waiting.indexOf(job)
      if (position >= 0) waiting.splice(position, 1)
      for (const task of job.tasks) stop(task)
      if (job.live === 0) finish(job)
    },
    recordStarted: () => {},
    recordEnded: (ended) => {
      const task = find(ended.id)
      if (task) end(task, ended.result)
    },
    decide,
    forgetJob: (id) => { jobs.delete(id) }
  }
}
