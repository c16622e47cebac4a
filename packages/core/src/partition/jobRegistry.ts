/** Registry of a partition's jobs: their tasks, the steps that are ready, and changes that are not in the table yet. */
import {
  buildCrashRecord, buildStateRecord, countDueOccurrences, createJob, createOccurrence, hasAllocatedTask, isFinal, isOccurrenceOver, listTasks, restoreCrashes,
  type CrashRecord, type Job, type Task, type JobPhase, type JobStateRecord, type Occurrence
} from './jobState.js'
import type { RunName } from './plannerTypes.js'
import type { StepJob } from './stepJob.js'
import { createStepInstance, type StepInstance } from './stepInstance.js'
import { createEndedJobs } from './endedJobs.js'
import { createJobRateMeter } from './jobRateMeter.js'

/** Jobs of one partition. */
export interface JobRegistry {
  addJob: (id: string, spec: StepJob, record: JobStateRecord, nowMs: number, crashes?: CrashRecord) => Job
  addEndedJob: (id: string, phase: JobPhase, endedAtMs: number) => void
  /** `undefined` for an unknown job, or one that ended before this term. */
  findJob: (id: string) => Job | undefined
  hasJob: (id: string) => boolean
  readPhase: (id: string) => JobPhase | null
  findTask: (name: RunName) => Task | undefined
  findStepInstance: (task: Task) => StepInstance | undefined
  findStepInstanceByKey: (key: string) => StepInstance | undefined
  /** Members of the task's gang, or the task alone. */
  listGang: (task: Task) => readonly Task[]
  listStepInstances: () => Iterable<StepInstance>
  /** Ready steps with tasks that wait for capacity. */
  listWaitingInstances: () => StepInstance[]
  /** Creates the occurrences that have become due. */
  addDueOccurrences: (wallMs: number, nowMs: number) => void
  recordWaiting: (task: Task, nowMs: number) => void
  recordStarted: (instance: StepInstance) => void
  /** Records that a run of a job has begun at its worker. */
  recordBegun: (id: string) => void
  /** Records that a task is done; dependent steps may become ready. */
  recordDone: (task: Task, nowMs: number) => void
  endIfComplete: (task: Task, wallMs: number) => void
  /** Ends a job unless it has ended already; returns whether it did. */
  endJob: (job: Job, phase: JobPhase, wallMs: number) => boolean
  recordChanged: (id: string) => void
  isChanged: (id: string) => boolean
  takeChanged: (maxCount: number) => string[]
  readRecord: (id: string) => JobStateRecord | null
  readCrashRecord: (id: string) => CrashRecord | null
  countWaiting: () => ReadonlyMap<string, number>
  removeEnded: (wallMs: number) => string[]
}

/** Creates an empty registry. */
export function createJobRegistry (): JobRegistry {
  const jobs = new Map<string, Job>()
  /** Jobs that ended in earlier terms; only their final phase is known. */
  const endedInEarlierTerms = new Map<string, JobPhase>()
  const instances = new Map<string, StepInstance>()
  const waiting = new Set<StepInstance>()
  const recurring = new Set<Job>()
  const changed = new Set<string>()
  const rateMeter = createJobRateMeter()
  const ended = createEndedJobs()
  /** Jobs due for removal that still occupy resources at a worker. */
  let unreleased: string[] = []
  /** Number of one-off jobs of which no task has started, by queue. */
  const waitingJobs = new Map<string, number>()

  const recordChanged = (id: string): void => {
    changed.add(id)
    const job = jobs.get(id)
    if (job !== undefined) job.changes++
  }

  /** Keeps the counts of waiting jobs; `change` is 1 or -1. */
  const countJob = (job: Job, change: number): void => {
    if (job.hasBegun || isFinal(job.phase) || job.spec.runCount > 0) return
    const { queue } = job.spec.policy
    const count = (waitingJobs.get(queue) ?? 0) + change
    if (count > 0) waitingJobs.set(queue, count)
    else waitingJobs.delete(queue)
  }

  const setPhase = (job: Job, phase: JobPhase): void => {
    countJob(job, -1)
    job.phase = phase
    countJob(job, 1)
  }

  const openReadySteps = (job: Job, occurrence: Occurrence, nowMs: number): void => {
    if (isFinal(job.phase)) return
    for (const [index, step] of job.spec.steps.entries()) {
      const key = `${job.id}.${occurrence.index}.${index}`
      if (instances.has(key)) continue
      const isReady = step.after.every((earlier) => occurrence.steps[earlier]?.every((task) => task.phase === 'done'))
      if (!isReady) continue
      const instance = createStepInstance(job, occurrence, index)
      instances.set(key, instance)
      if (!instance.tasks.some((task) => task.phase === 'waiting')) continue
      instance.waitingSinceMs = nowMs
      waiting.add(instance)
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

  const closeSteps = (job: Job, occurrence: Occurrence): void => {
    for (const index of job.spec.steps.keys()) {
      const key = `${job.id}.${occurrence.index}.${index}`
      const instance = instances.get(key)
      if (instance === undefined) continue
      instances.delete(key)
      instance.waitingSinceMs = null
      waiting.delete(instance)
    }
  }

  /** Drops the tasks of completed occurrences, so that the state of a recurring job does not grow with their number. */
  const dropCompletedOccurrences = (job: Job): void => {
    if (job.spec.runCount === 0 || isFinal(job.phase)) return
    for (const occurrence of job.occurrences.values()) {
      if (!isOccurrenceOver(occurrence)) continue
      closeSteps(job, occurrence)
      job.occurrences.delete(occurrence.index)
      job.completedOccurrences.add(occurrence.index)
    }
  }

  const endJob = (job: Job, phase: JobPhase, wallMs: number): boolean => {
    if (isFinal(job.phase)) return false
    setPhase(job, phase)
    job.endedAtMs = wallMs
    ended.add(job.id, wallMs)
    for (const occurrence of job.occurrences.values()) closeSteps(job, occurrence)
    recurring.delete(job)
    recordChanged(job.id)
    return true
  }

  const findTask = (name: RunName): Task | undefined => jobs.get(name.job)?.occurrences.get(name.occurrence)?.steps[name.step]?.[name.index]

  const findStepInstance = (task: Task): StepInstance | undefined => instances.get(`${task.job}.${task.occurrence}.${task.step}`)

  return {
    addJob: (id, spec, record, nowMs, crashes) => {
      const { teamJobsPerS } = spec.policy
      const isOverRate = teamJobsPerS !== undefined && rateMeter.recordJob(spec.team, teamJobsPerS, spec.acceptedAtMs)
      const job = createJob(id, spec, record, isOverRate)
      if (crashes !== undefined) restoreCrashes(job, crashes)
      jobs.set(id, job)
      countJob(job, 1)
      if (isFinal(job.phase)) {
        ended.add(id, job.endedAtMs)
        return job
      }
      for (const occurrence of job.occurrences.values()) openReadySteps(job, occurrence, nowMs)
      if (spec.runCount > 0) recurring.add(job)
      else if (job.occurrences.size === 0) addOccurrence(job, 0, nowMs)
      return job
    },
    addEndedJob: (id, phase, endedAtMs) => {
      endedInEarlierTerms.set(id, phase)
      ended.add(id, endedAtMs)
    },
    hasJob: (id) => jobs.has(id) || endedInEarlierTerms.has(id),
    readPhase: (id) => jobs.get(id)?.phase ?? endedInEarlierTerms.get(id) ?? null,
    findJob: (id) => jobs.get(id),
    findTask,
    findStepInstance,
    findStepInstanceByKey: (key) => instances.get(key),
    listGang: (task) => {
      const job = jobs.get(task.job)
      const tasks = job?.occurrences.get(task.occurrence)?.steps[task.step]
      return job?.spec.steps[task.step]?.gang === true && tasks !== undefined ? tasks : [task]
    },
    listStepInstances: () => instances.values(),
    listWaitingInstances: () => [...waiting],
    addDueOccurrences: (wallMs, nowMs) => {
      for (const job of recurring) {
        for (let index = countDueOccurrences(job); index < countDue(job, wallMs); index++) addOccurrence(job, index, nowMs)
        if (countDueOccurrences(job) >= job.spec.runCount) recurring.delete(job)
      }
    },
    recordWaiting: (task, nowMs) => {
      if (task.phase !== 'waiting') return
      task.releasedAtMs = nowMs
      const instance = findStepInstance(task)
      if (instance === undefined) return
      instance.waitingSinceMs ??= nowMs
      waiting.add(instance)
    },
    recordStarted: (instance) => {
      if (instance.job.phase === 'queued') setPhase(instance.job, 'running')
      recordChanged(instance.job.id)
      if (instance.tasks.some((task) => task.phase === 'waiting')) return
      instance.waitingSinceMs = null
      waiting.delete(instance)
    },
    recordBegun: (id) => {
      const job = jobs.get(id)
      if (job === undefined || job.hasBegun) return
      countJob(job, -1)
      job.hasBegun = true
    },
    recordDone: (task, nowMs) => {
      recordChanged(task.job)
      const instance = findStepInstance(task)
      if (instance !== undefined && !instance.tasks.some((other) => other.phase === 'waiting')) {
        instance.waitingSinceMs = null
        waiting.delete(instance)
      }
      const job = jobs.get(task.job)
      const occurrence = job?.occurrences.get(task.occurrence)
      if (job === undefined || occurrence === undefined) return
      if (occurrence.steps[task.step]?.every((other) => other.phase === 'done')) openReadySteps(job, occurrence, nowMs)
    },
    endIfComplete: (task, wallMs) => {
      const job = jobs.get(task.job)
      if (job === undefined || countDueOccurrences(job) < Math.max(1, job.spec.runCount)) return
      for (const other of listTasks(job)) if (other.phase !== 'done') return
      endJob(job, 'completed', wallMs)
    },
    endJob,
    recordChanged,
    isChanged: (id) => changed.has(id),
    takeChanged: (maxCount) => {
      const taken: string[] = []
      for (const id of changed) {
        if (taken.length >= maxCount) break
        taken.push(id)
      }
      for (const id of taken) {
        changed.delete(id)
        const job = jobs.get(id)
        if (job !== undefined) dropCompletedOccurrences(job)
      }
      return taken
    },
    readRecord: (id) => {
      const job = jobs.get(id)
      return job === undefined ? null : buildStateRecord(job)
    },
    readCrashRecord: (id) => {
      const job = jobs.get(id)
      return job === undefined ? null : buildCrashRecord(job)
    },
    countWaiting: () => waitingJobs,
    removeEnded: (wallMs) => {
      const removed: string[] = []
      const due = [...unreleased, ...ended.takeBefore(wallMs)]
      unreleased = []
      for (const id of due) {
        const job = jobs.get(id)
        if (job !== undefined && hasAllocatedTask(job)) {
          unreleased.push(id)
          continue
        }
        jobs.delete(id)
        endedInEarlierTerms.delete(id)
        changed.delete(id)
        removed.push(id)
      }
      return removed
    }
  }
}
