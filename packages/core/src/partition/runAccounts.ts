/** Runs of a cell at its workers: the room and ceilings they take, the stops they need, and what the workers' lists say of them. */
import { addTaskTo, createPartitionWorker, recordEndAt, recordRefusalAt, removeTaskFrom, type PartitionWorker } from './partitionWorker.js'
import { STALL_MS, STALL_SHARE } from './constants.js'
import type { JobBook } from './jobBook.js'
import type { Task } from './jobState.js'
import { listTasks } from './jobState.js'
import type { ListedEnd, RunName, StopOrder, WorkerReport } from './plannerTypes.js'
import type { JobStep } from './stepJob.js'
import type { TeamUse } from './teamUse.js'

/** Accounts of the runs. */
export interface RunAccounts {
  readonly workers: ReadonlyMap<string, PartitionWorker>
  findStep: (task: Task) => JobStep
  /** The worker of an id; one that no list shows yet holds the room of runs that the table names. */
  resolveWorker: (id: string) => PartitionWorker
  removeWorker: (id: string) => void
  takeRoom: (task: Task, worker: PartitionWorker) => void
  /** The run is over without a result: the task waits again, and a gang starts anew. */
  releaseTask: (task: Task, nowMs: number) => void
  scheduleStop: (task: Task, reason: StopOrder['reason']) => void
  stopJob: (id: string, reason: StopOrder['reason']) => void
  /** Stops that were requested since the last call. */
  takeStops: () => StopOrder[]
  recordReport: (worker: string, report: WorkerReport, nowMs: number, wallMs: number) => StopOrder[]
}

/** Names the current run of a task. */
export function buildRunName (task: Task): RunName {
  return { job: task.job, occurrence: task.occurrence, step: task.step, index: task.index, run: task.run }
}

/** Creates accounts without workers. */
export function createRunAccounts (book: JobBook, teams: TeamUse): RunAccounts {
  const workers = new Map<string, PartitionWorker>()
  const toStop = new Map<Task, StopOrder['reason']>()

  const findStep = (task: Task) => {
    const step = book.findJob(task.job)?.spec.steps[task.step]
    if (step === undefined) throw new Error(`task of unknown step ${task.job}.${task.step}`)
    return step
  }

  const findTeam = (task: Task): string => book.findJob(task.job)?.spec.team ?? ''

  const takeRoom = (task: Task, worker: PartitionWorker): void => {
    const step = findStep(task)
    addTaskTo(worker, task, step)
    teams.add(findTeam(task), step.resources)
  }

  const releaseRoom = (task: Task): void => {
    toStop.delete(task)
    const worker = workers.get(task.worker)
    if (worker !== undefined && worker.tasks.has(task)) {
      const step = findStep(task)
      removeTaskFrom(worker, task, step)
      teams.subtract(findTeam(task), step.resources)
    }
    task.worker = ''
    task.stopping = false
    task.confirmedAtMs = null
    task.percent = 0
    task.progressedAtMs = null
  }

  const resolveWorker = (id: string): PartitionWorker => {
    const known = workers.get(id)
    if (known !== undefined) return known
    // A run of the table names a worker that no list shows: it holds room until the worker is lost for certain.
    const ghost = createPartitionWorker({ id, failureDomain: '', labels: [], capacity: { processors: 0, memoryMb: 0, accelerators: 0 }, draining: true })
    workers.set(id, ghost)
    return ghost
  }

  const scheduleStop = (task: Task, reason: StopOrder['reason']): void => {
    if (task.worker !== '' && !task.stopping) toStop.set(task, reason)
  }

  const stopJob = (id: string, reason: StopOrder['reason']): void => {
    const job = book.findJob(id)
    if (job === undefined) return
    for (const task of listTasks(job)) scheduleStop(task, reason)
  }

  /** The run is over without a result: the task waits again. */
  const releaseTask = (task: Task, nowMs: number): void => {
    releaseRoom(task)
    if (task.phase === 'placed') task.phase = 'waiting'
    book.markChanged(task.job)
    book.noteWaiting(task, nowMs)
  }

  const endGangMembers = (task: Task, nowMs: number): void => {
    for (const member of book.listGang(task)) {
      if (member === task || member.run !== task.run || member.phase !== 'placed') continue
      // All members end together; room elsewhere is free when that worker lists its end.
      member.phase = 'done'
      book.noteDone(member, nowMs)
    }
  }

  const stopGang = (task: Task): void => {
    for (const member of book.listGang(task)) {
      if (member !== task && member.run === task.run && member.phase === 'placed') scheduleStop(member, 'gangBroken')
    }
  }

  const recordFailure = (task: Task, end: ListedEnd, nowMs: number, wallMs: number): void => {
    const gang = book.listGang(task)
    for (const member of gang) if (member.run === end.run) member.failures++
    const job = book.findJob(task.job)
    if (job === undefined || findStep(task).longRunning || task.failures < job.spec.policy.maxAttempts) return
    task.phase = 'failed'
    book.endJob(job, 'failed', wallMs)
    stopJob(job.id, 'jobFailed')
  }

  const keepSaved = (task: Task, saved: string): void => {
    if (saved === '') return
    for (const member of book.listGang(task)) member.saved = saved
  }

  const recordEnd = (workerId: string, end: ListedEnd, nowMs: number, wallMs: number): void => {
    const task = book.findTask(end)
    if (task === undefined) return
    const isCurrent = task.run === end.run && task.worker === workerId
    const worker = workers.get(workerId)
    if (worker !== undefined && isCurrent) recordEndAt(worker, end.how === 'failed', nowMs)
    if (!isCurrent) {
      // A worker that was given up for lost tells of a result after all: the task need not run again.
      if (end.how !== 'done' || task.phase === 'done' || task.phase === 'failed') return
      if (task.phase === 'placed') scheduleStop(task, 'superseded')
      task.phase = 'done'
      endGangMembers(task, nowMs)
      book.noteDone(task, nowMs)
      book.endIfComplete(task, wallMs)
      return
    }
    keepSaved(task, end.saved)
    const wasPlaced = task.phase === 'placed'
    releaseRoom(task)
    book.markChanged(task.job)
    if (!wasPlaced) return
    if (end.how === 'done' && !findStep(task).longRunning) {
      task.phase = 'done'
      endGangMembers(task, nowMs)
      book.noteDone(task, nowMs)
      book.endIfComplete(task, wallMs)
      return
    }
    task.phase = 'waiting'
    if (end.how === 'failed') recordFailure(task, end, nowMs, wallMs)
    // The workers end the other members of a gang by themselves when one fails.
    if (findStep(task).gang && (end.how === 'stopped' || end.how === 'lapsed' || end.how === 'alone')) stopGang(task)
    book.noteWaiting(task, nowMs)
  }

  /** A run that stands still for long starts elsewhere; its worker gets nothing for a while. */
  const checkProgress = (worker: PartitionWorker, task: Task, percent: number, nowMs: number): void => {
    if (percent > task.percent || task.progressedAtMs === null) task.progressedAtMs = nowMs
    task.percent = percent
    const step = findStep(task)
    // Members of a gang wait for each other, fillers for idle processors, and long-running tasks have no end to come nearer to.
    if (step.gang || step.fills || step.longRunning || task.stopping) return
    if (nowMs - task.progressedAtMs < Math.max(STALL_MS, STALL_SHARE * step.estimateMs)) return
    recordRefusalAt(worker, nowMs)
    scheduleStop(task, 'stalled')
  }

  const recordReport = (workerId: string, report: WorkerReport, nowMs: number, wallMs: number): StopOrder[] => {
    const worker = resolveWorker(workerId)
    for (const end of report.ended) recordEnd(workerId, end, nowMs, wallMs)
    const listed = new Set<Task>()
    const strays: StopOrder[] = []
    for (const entry of report.running) {
      const task = book.findTask(entry)
      if (task === undefined || task.run !== entry.run || task.worker !== workerId) {
        strays.push({ ...entry, worker: workerId, reason: 'stray' })
        continue
      }
      listed.add(task)
      task.confirmedAtMs ??= report.askedAtMs
      checkProgress(worker, task, entry.percent, nowMs)
      if (entry.saved !== '' && entry.saved !== task.saved) keepSaved(task, entry.saved)
    }
    worker.strays = strays.length
    for (const task of [...worker.tasks]) {
      if (listed.has(task) || task.confirmedAtMs === null || task.confirmedAtMs >= report.askedAtMs) continue
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
    takeRoom,
    releaseTask: (task, nowMs) => {
      releaseTask(task, nowMs)
      if (findStep(task).gang) stopGang(task)
    },
    scheduleStop,
    stopJob,
    takeStops: () => {
      const stops: StopOrder[] = []
      for (const [task, reason] of toStop) {
        task.stopping = true
        stops.push({ ...buildRunName(task), worker: task.worker, reason })
      }
      toStop.clear()
      return stops
    },
    recordReport
  }
}
