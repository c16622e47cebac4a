/** Jobs of a cell: their tasks, which steps are ready, and what differs from the table. */
import { buildStateRecord, createJob, createOccurrence, hasHeldRoom, isFinal, listTasks, type Job, type Task, type JobPhase, type JobStateRecord, type Occurrence } from './jobState.js'
import type { RunName } from './plannerTypes.js'
import type { StepJob } from './stepJob.js'
import { createStepRun, type StepRun } from './stepRun.js'
import { createTeamShare } from './teamShare.js'

/** Jobs in memory. */
export interface JobBook {
  addJob: (id: string, spec: StepJob, record: JobStateRecord, nowMs: number) => Job
  addEndedJob: (id: string, phase: JobPhase, endedAtMs: number) => void
  /** `undefined` for a job that is unknown, or that ended before this term. */
  findJob: (id: string) => Job | undefined
  hasJob: (id: string) => boolean
  readPhase: (id: string) => JobPhase | null
  findTask: (name: RunName) => Task | undefined
  findRun: (task: Task) => StepRun | undefined
  findRunByKey: (key: string) => StepRun | undefined
  /** Members of the task's gang, or the task alone. */
  listGang: (task: Task) => readonly Task[]
  listRuns: () => Iterable<StepRun>
  /** Ready steps with tasks that wait for room. */
  listWaitingRuns: () => StepRun[]
  /** Creates the occurrences that have become due. */
  addDueOccurrences: (wallMs: number, nowMs: number) => void
  noteWaiting: (task: Task, nowMs: number) => void
  noteStarted: (run: StepRun) => void
  /** A task is done: later steps may become ready. */
  noteDone: (task: Task, nowMs: number) => void
  endIfComplete: (task: Task, wallMs: number) => void
  /** Ends a job unless it has ended; tells whether it did. */
  endJob: (job: Job, phase: JobPhase, wallMs: number) => boolean
  markChanged: (id: string) => void
  isChanged: (id: string) => boolean
  takeChanged: (most: number) => string[]
  readRecord: (id: string) => JobStateRecord | null
  countWaiting: () => ReadonlyMap<string, number>
  forgetEnded: (wallMs: number) => string[]
}

/** Creates an empty book. */
export function createJobBook (): JobBook {
  const jobs = new Map<string, Job>()
  /** Jobs that ended in earlier terms: nothing but their end is known of them. */
  const endedBefore = new Map<string, { readonly phase: JobPhase, readonly endedAtMs: number }>()
  const runs = new Map<string, StepRun>()
  const waiting = new Set<StepRun>()
  const timed = new Set<Job>()
  const changed = new Set<string>()
  const share = createTeamShare()

  const openReadySteps = (job: Job, occurrence: Occurrence, nowMs: number): void => {
    if (isFinal(job.phase)) return
    for (const [index, step] of job.spec.steps.entries()) {
      const key = `${job.id}.${occurrence.index}.${index}`
      if (runs.has(key)) continue
      const isReady = step.after.every((earlier) => occurrence.steps[earlier]?.every((task) => task.phase === 'done'))
      if (!isReady) continue
      const run = createStepRun(job, occurrence, index)
      runs.set(key, run)
      if (!run.tasks.some((task) => task.phase === 'waiting')) continue
      run.waitingSinceMs = nowMs
      waiting.add(run)
    }
  }

  const addOccurrence = (job: Job, index: number, nowMs: number): void => {
    const occurrence = createOccurrence(job.id, job.spec, index)
    job.occurrences.set(index, occurrence)
    openReadySteps(job, occurrence, nowMs)
  }

  const countDue = (job: Job, wallMs: number): number => {
    if (job.spec.runCount === 0) return 1
    if (wallMs < job.spec.firstRunMs) return 0
    if (job.spec.intervalMs <= 0) return job.spec.runCount
    return Math.min(job.spec.runCount, 1 + Math.floor((wallMs - job.spec.firstRunMs) / job.spec.intervalMs))
  }

  const closeRuns = (job: Job): void => {
    for (const occurrence of job.occurrences.values()) {
      for (const index of job.spec.steps.keys()) {
        const key = `${job.id}.${occurrence.index}.${index}`
        const run = runs.get(key)
        if (run === undefined) continue
        runs.delete(key)
        waiting.delete(run)
      }
    }
    timed.delete(job)
  }

  const endJob = (job: Job, phase: JobPhase, wallMs: number): boolean => {
    if (isFinal(job.phase)) return false
    job.phase = phase
    job.endedAtMs = wallMs
    closeRuns(job)
    changed.add(job.id)
    return true
  }

  const findTask = (name: RunName): Task | undefined => jobs.get(name.job)?.occurrences.get(name.occurrence)?.steps[name.step]?.[name.index]

  const findRun = (task: Task): StepRun | undefined => runs.get(`${task.job}.${task.occurrence}.${task.step}`)

  return {
    addJob: (id, spec, record, nowMs) => {
      const { teamJobsPerS } = spec.policy
      const isBeyondShare = teamJobsPerS !== undefined && share.recordJob(spec.team, teamJobsPerS, spec.acceptedAtMs)
      const job = createJob(id, spec, record, isBeyondShare)
      jobs.set(id, job)
      if (isFinal(job.phase)) return job
      for (const occurrence of job.occurrences.values()) openReadySteps(job, occurrence, nowMs)
      if (spec.runCount > 0) timed.add(job)
      else if (job.occurrences.size === 0) addOccurrence(job, 0, nowMs)
      return job
    },
    addEndedJob: (id, phase, endedAtMs) => { endedBefore.set(id, { phase, endedAtMs }) },
    hasJob: (id) => jobs.has(id) || endedBefore.has(id),
    readPhase: (id) => jobs.get(id)?.phase ?? endedBefore.get(id)?.phase ?? null,
    findJob: (id) => jobs.get(id),
    findTask,
    findRun,
    findRunByKey: (key) => runs.get(key),
    listGang: (task) => {
      const job = jobs.get(task.job)
      const tasks = job?.occurrences.get(task.occurrence)?.steps[task.step]
      return job?.spec.steps[task.step]?.gang === true && tasks !== undefined ? tasks : [task]
    },
    listRuns: () => runs.values(),
    listWaitingRuns: () => [...waiting],
    addDueOccurrences: (wallMs, nowMs) => {
      for (const job of timed) {
        for (let index = job.occurrences.size; index < countDue(job, wallMs); index++) addOccurrence(job, index, nowMs)
        if (job.occurrences.size >= job.spec.runCount) timed.delete(job)
      }
    },
    noteWaiting: (task, nowMs) => {
      if (task.phase !== 'waiting') return
      const run = findRun(task)
      if (run === undefined) return
      run.waitingSinceMs ??= nowMs
      waiting.add(run)
    },
    noteStarted: (run) => {
      if (run.job.phase === 'queued') run.job.phase = 'running'
      changed.add(run.job.id)
      if (run.tasks.some((task) => task.phase === 'waiting')) return
      run.waitingSinceMs = null
      waiting.delete(run)
    },
    noteDone: (task, nowMs) => {
      changed.add(task.job)
      const job = jobs.get(task.job)
      const occurrence = job?.occurrences.get(task.occurrence)
      if (job === undefined || occurrence === undefined) return
      if (occurrence.steps[task.step]?.every((other) => other.phase === 'done')) openReadySteps(job, occurrence, nowMs)
    },
    endIfComplete: (task, wallMs) => {
      const job = jobs.get(task.job)
      if (job === undefined || job.occurrences.size < Math.max(1, job.spec.runCount)) return
      for (const other of listTasks(job)) if (other.phase !== 'done') return
      endJob(job, 'completed', wallMs)
    },
    endJob,
    markChanged: (id) => { changed.add(id) },
    isChanged: (id) => changed.has(id),
    takeChanged: (most) => {
      const taken: string[] = []
      for (const id of changed) {
        if (taken.length >= most) break
        taken.push(id)
      }
      for (const id of taken) changed.delete(id)
      return taken
    },
    readRecord: (id) => {
      const job = jobs.get(id)
      return job === undefined ? null : buildStateRecord(job)
    },
    countWaiting: () => {
      const counts = new Map<string, number>()
      for (const job of jobs.values()) {
        if (job.phase !== 'queued' || job.spec.runCount > 0) continue
        const { queue } = job.spec.policy
        counts.set(queue, (counts.get(queue) ?? 0) + 1)
      }
      return counts
    },
    forgetEnded: (wallMs) => {
      const forgotten: string[] = []
      for (const job of jobs.values()) {
        if (!isFinal(job.phase) || job.endedAtMs >= wallMs || hasHeldRoom(job)) continue
        jobs.delete(job.id)
        changed.delete(job.id)
        forgotten.push(job.id)
      }
      for (const [id, { endedAtMs }] of endedBefore) {
        if (endedAtMs >= wallMs) continue
        endedBefore.delete(id)
        forgotten.push(id)
      }
      return forgotten
    }
  }
}
