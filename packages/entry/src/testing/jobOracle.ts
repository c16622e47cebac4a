/** Judges the job path from the outside: by what the workers ran, for whom and when. */
import {
  addResources, formatAttempt, hasRoomFor, LEASE_RENEWAL_MS, NO_RESOURCES, TASK_LEASE_MS, type Clock, type Manifest, type Resources
} from '@fuchsiatally/core'
import type { TaskRun, WorkerModel } from './workerModel.js'

/** Collects broken promises; an empty list is a pass. */
export interface JobOracle {
  readonly faults: string[]
  /** The model as an entry reaches it; refusals for lack of room are faults. */
  wrapModel: (model: WorkerModel) => WorkerModel
  /** The worker lost its memory: tasks that it had completed may run again. */
  recordLoss: (worker: string) => void
  /** Nobody reaches the worker from now on: what it completes is run again, but only when its lease has lapsed. */
  recordSilence: (worker: string) => void
  /** Checks the runs of all workers up to now. */
  judge: () => void
  countStarts: () => number
}

const MAX_FAULTS = 20

/** Creates the oracle of a cell. */
export function createJobOracle (clock: Clock, workers: readonly WorkerModel[], manifest: Manifest): JobOracle {
  const faults: string[] = []
  const losses = new Set<string>()
  const silentSinceMs = new Map<string, number>()

  const isUnreportedEnd = (first: TaskRun, second: TaskRun): boolean => {
    const sinceMs = silentSinceMs.get(first.worker) ?? Infinity
    return first.endedAtMs! > sinceMs - LEASE_RENEWAL_MS && second.startedAtMs >= sinceMs + TASK_LEASE_MS
  }

  const addFault = (text: string): void => {
    if (faults.length < MAX_FAULTS && !faults.some((fault) => fault.endsWith(text))) faults.push(`${clock.nowMs()} ms: ${text}`)
  }

  const judgeTask = (task: string, runs: readonly TaskRun[]): void => {
    let previous: TaskRun | undefined
    for (const run of runs) {
      if (previous !== undefined) judgePair(task, previous, run)
      previous = run
    }
  }

  const judgePair = (task: string, first: TaskRun, second: TaskRun): void => {
    if ((first.endedAtMs ?? Infinity) > second.startedAtMs) {
      addFault(`${task} ran as ${formatAttempt(first.id)} at ${first.worker} and as ${formatAttempt(second.id)} at ${second.worker}`)
    }
    if (first.result === 'completed' && !losses.has(first.worker) && !isUnreportedEnd(first, second)) {
      addFault(`${task} completed at ${first.worker} at ${first.endedAtMs} ms and ran again at ${second.worker} from ${second.startedAtMs} ms`)
    }
  }

  const judgeCeilings = (): void => {
    for (const team of manifest.teams) {
      let used: Resources = NO_RESOURCES
      for (const worker of workers) {
        for (const run of worker.listRunning()) {
          if (run.id.job.startsWith(`${team.name}:`)) used = addResources(used, run.resources)
        }
      }
      if (!hasRoomFor(team.ceiling.resources, used)) addFault(`team ${team.name} runs ${JSON.stringify(used)}, above its ceiling`)
    }
  }

  return {
    faults,
    wrapModel: (model) => ({
      ...model,
      startTask: (command) => {
        const report = model.startTask(command)
        if (report.result === 'noRoom') addFault(`${model.id} had no room for ${formatAttempt(command.id)}`)
        return report
      }
    }),
    recordSilence: (worker) => { silentSinceMs.set(worker, clock.nowMs()) },
    recordLoss: (worker) => { losses.add(worker) },
    judge: () => {
      for (const [task, runs] of collectRuns(workers)) {
        judgeTask(task, runs.sort((a, b) => a.startedAtMs - b.startedAtMs))
      }
      judgeCeilings()
    },
    countStarts: () => workers.reduce((sum, worker) => sum + worker.listRuns().length, 0)
  }
}

/** All runs by task. */
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
