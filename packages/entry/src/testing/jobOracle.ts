/** Checks scheduling guarantees externally, from the runs that the workers executed. */
import {
  addResources, formatAttempt, hasRoomFor, LEASE_RENEWAL_MS, NO_RESOURCES, TASK_LEASE_MS, type Clock, type Manifest, type Resources
} from '@fuchsiatally/core'
import type { TaskRun, WorkerModel } from './workerModel.js'

/** Collects violations; an empty list is a pass. */
export interface JobOracle {
  readonly violations: string[]
  /** Wraps the model that an entry calls; a start rejected for lack of room is a violation. */
  wrapModel: (model: WorkerModel) => WorkerModel
  /** Records that the worker lost its state: tasks that it had completed may run again. */
  recordStateLoss: (worker: string) => void
  /** Records that no entry reaches the worker from now on: tasks that it completes may run again, but only after its lease expired. */
  recordUnreachable: (worker: string) => void
  /** Checks all runs so far, and the ceilings against the running tasks. */
  checkInvariants: () => void
  countStarts: () => number
}

const MAX_VIOLATIONS = 20

/** Creates the oracle of a cell. */
export function createJobOracle (clock: Clock, workers: readonly WorkerModel[], manifest: Manifest): JobOracle {
  const violations: string[] = []
  const stateLosses = new Set<string>()
  const unreachableSinceMs = new Map<string, number>()

  /**
   * Whether no entry may have learned of the first run's end: the run ended less than a lease renewal before its worker became
   * unreachable, or later, and the second run started only after the lease of the worker expired.
   */
  const isUnreportedEnd = (first: TaskRun, second: TaskRun): boolean => {
    const sinceMs = unreachableSinceMs.get(first.worker) ?? Infinity
    return first.endedAtMs! > sinceMs - LEASE_RENEWAL_MS && second.startedAtMs >= sinceMs + TASK_LEASE_MS
  }

  const addViolation = (text: string): void => {
    if (violations.length < MAX_VIOLATIONS && !violations.some((violation) => violation.endsWith(text))) violations.push(`${clock.nowMs()} ms: ${text}`)
  }

  const checkTask = (task: string, runs: readonly TaskRun[]): void => {
    let previous: TaskRun | undefined
    for (const run of runs) {
      if (previous !== undefined) checkConsecutiveRuns(task, previous, run)
      previous = run
    }
  }

  const checkConsecutiveRuns = (task: string, first: TaskRun, second: TaskRun): void => {
    if ((first.endedAtMs ?? Infinity) > second.startedAtMs) {
      addViolation(`${task} ran as ${formatAttempt(first.id)} at ${first.worker} and concurrently as ${formatAttempt(second.id)} at ${second.worker}`)
    }
    if (first.result === 'completed' && !stateLosses.has(first.worker) && !isUnreportedEnd(first, second)) {
      addViolation(`${task} completed at ${first.worker} at ${first.endedAtMs} ms and ran again at ${second.worker} from ${second.startedAtMs} ms`)
    }
  }

  const checkCeilings = (): void => {
    for (const team of manifest.teams) {
      let used: Resources = NO_RESOURCES
      for (const worker of workers) {
        for (const run of worker.listRunning()) {
          if (run.id.job.startsWith(`${team.name}:`)) used = addResources(used, run.resources)
        }
      }
      if (!hasRoomFor(team.ceiling.resources, used)) addViolation(`team ${team.name} runs ${JSON.stringify(used)}, above its ceiling`)
    }
  }

  return {
    violations,
    wrapModel: (model) => ({
      ...model,
      startTask: (command) => {
        const report = model.startTask(command)
        if (report.result === 'noRoom') addViolation(`${model.id} had no room for ${formatAttempt(command.id)}`)
        return report
      }
    }),
    recordUnreachable: (worker) => { unreachableSinceMs.set(worker, clock.nowMs()) },
    recordStateLoss: (worker) => { stateLosses.add(worker) },
    checkInvariants: () => {
      for (const [task, runs] of collectRuns(workers)) {
        checkTask(task, runs.sort((a, b) => a.startedAtMs - b.startedAtMs))
      }
      checkCeilings()
    },
    countStarts: () => workers.reduce((sum, worker) => sum + worker.listRuns().length, 0)
  }
}

/** Groups all runs by task. */
function collectRuns (workers: readonly WorkerModel[]): Map<string, TaskRun[]> {
  const byTask = new Map<string, TaskRun[]>()
  for (const worker of workers) {
    for (const run of worker.listRuns()) {
      const task = `${run.id.job}/${run.id.task}`
      const runs = byTask.get(task) ?? []
      runs.push(run)
      byTask.set(task, runs)
    }
  }
  return byTask
}
