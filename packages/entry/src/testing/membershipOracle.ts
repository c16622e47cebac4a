/** Checks ownership guarantees externally, from what the workers accepted and ran and what entries reported of them. */
import { formatAttempt, type Clock, type WorkerObserved } from '@fuchsiatally/core'
import type { Sessions } from '../ports.js'
import type { Ownership } from '../vm/ownership.js'
import type { WorkerManager } from '../vm/workerManager.js'
import type { FakeProcess } from './fakeProcess.js'
import type { TaskRun, WorkerModel } from './workerModel.js'

/** Membership state of one entry. */
export interface EntryView {
  readonly process: FakeProcess
  readonly sessions: Sessions
  readonly ownership: Ownership
  readonly workerManager: WorkerManager
}

/** Collects violations; an empty list is a pass. */
export interface MembershipOracle {
  readonly violations: string[]
  /** Wraps the model that one owner calls. */
  wrapModel: (model: WorkerModel, incarnation: string) => WorkerModel
  recordObserved: (message: WorkerObserved) => void
  /** Records the incarnations that running entries consider fenced; they may start no task and hold no contact afterwards. */
  recordFenced: (views: readonly EntryView[]) => void
  /** Checks that no task has, or ever had, two concurrent runs. */
  checkInvariants: () => void
  countStarts: () => number
  /** Returns the time of the last lease renewal that the worker accepted. */
  readLastContactMs: (worker: string) => number
}

/** Creates the oracle. */
export function createMembershipOracle (clock: Clock, workers: readonly WorkerModel[]): MembershipOracle {
  const violations: string[] = []
  const startEpochs = new Map<string, number>()
  const epochOwners = new Map<string, string>()
  const highestEpochs = new Map<string, number>()
  /** Incarnations that each entry has read from the session table; `isFenced` may be called only for those. */
  const seenBy = new Map<Sessions, Set<string>>()
  const fenced = new Set<string>()
  const lastContactMs = new Map<string, number>()
  let starts = 0

  const addViolation = (text: string): void => {
    const line = `${clock.nowMs()} ms: ${text}`
    if (violations.length < 20) violations.push(line)
  }
  const formatRun = (worker: string, id: TaskRun['id']): string => `${worker} ${formatAttempt(id)}`
  const recordAccepted = (worker: WorkerModel, incarnation: string, epoch: number): void => {
    const key = `${worker.id} ${worker.readIncarnation()}`
    if (epoch < (highestEpochs.get(key) ?? 0)) addViolation(`${worker.id} accepted epoch ${epoch} after a higher one`)
    highestEpochs.set(key, Math.max(epoch, highestEpochs.get(key) ?? 0))
    const owner = epochOwners.get(`${worker.id} ${epoch}`) ?? incarnation
    epochOwners.set(`${worker.id} ${epoch}`, owner)
    if (owner !== incarnation) addViolation(`${worker.id}: epoch ${epoch} of ${owner} used by ${incarnation}`)
  }
  /** Groups all runs by task. */
  const collectRuns = (): Map<number, TaskRun[]> => {
    const runs = new Map<number, TaskRun[]>()
    for (const worker of workers) {
      for (const run of worker.listRuns()) {
        if (!runs.has(run.id.task)) runs.set(run.id.task, [])
        runs.get(run.id.task)!.push(run)
      }
    }
    return runs
  }
  const checkTask = (task: number, runs: TaskRun[]): void => {
    runs.sort((a, b) => a.startedAtMs - b.startedAtMs)
    let previous: TaskRun | undefined
    for (const run of runs) {
      const overlaps = previous !== undefined && (previous.endedAtMs ?? Infinity) > run.startedAtMs
      if (overlaps) addViolation(`task ${task} ran at ${previous!.worker} and concurrently at ${run.worker} from ${run.startedAtMs} ms`)
      previous = run
    }
  }
  return {
    violations,
    wrapModel: (model, incarnation) => {
      return {
        ...model,
        renewLease: (command) => {
          const response = model.renewLease(command)
          if (!response.refused) {
            recordAccepted(model, incarnation, command.epoch)
            lastContactMs.set(model.id, clock.nowMs())
          }
          return response
        },
        startTask: (command) => {
          const before = model.listRuns().length
          const response = model.startTask(command)
          if (model.listRuns().length === before) return response
          recordAccepted(model, incarnation, command.epoch)
          if (fenced.has(incarnation)) addViolation(`${model.id} started a task for the fenced ${incarnation}`)
          startEpochs.set(formatRun(model.id, command.id), command.epoch)
          starts += 1
          return response
        }
      }
    },
    recordObserved: ({ worker, workerEpoch, state }) => {
      if (state !== 'lost') return
      const model = workers.find(({ id }) => id === worker)!
      for (const run of model.listRunning()) {
        const epoch = startEpochs.get(formatRun(worker, run.id)) ?? 0
        if (epoch <= workerEpoch) addViolation(`${worker} reported lost under epoch ${workerEpoch} while ${formatAttempt(run.id)} is running`)
      }
    },
    recordFenced: (views) => {
      for (const { process, sessions, ownership, workerManager } of views) {
        if (!process.isRunning()) continue
        for (const worker of workerManager.listOwnedWorkers()) {
          if (worker.hasContact && fenced.has(sessions.incarnation)) addViolation(`the fenced ${sessions.incarnation} is in contact with ${worker.id}`)
        }
        let seen = seenBy.get(sessions)
        if (seen === undefined) seenBy.set(sessions, seen = new Set())
        for (const incarnation of seen) if (ownership.isFenced(incarnation)) fenced.add(incarnation)
        for (const { incarnation } of sessions.listSessions()) seen.add(incarnation)
      }
    },
    checkInvariants: () => {
      for (const [task, runs] of collectRuns()) checkTask(task, runs)
    },
    countStarts: () => starts,
    readLastContactMs: (worker) => lastContactMs.get(worker) ?? -Infinity
  }
}
