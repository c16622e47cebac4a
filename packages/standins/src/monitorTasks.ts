/** Checks of tasks: VM capacity, concurrent runs, gangs and team ceilings. */
import { formatAttempt, NO_RESOURCES } from '@fuchsiatally/core'
import type { History } from './history.js'
import type { ReportViolation } from './monitor.js'
import type { TaskRunRecord } from './records.js'
import { collectBy, computePeak } from './intervals.js'

/** Checks that the tasks on a VM together never exceed its capacity. */
export function checkOvercommit (history: History, report: ReportViolation): void {
  for (const [worker, runs] of collectBy(history.runs, (run) => run.worker)) {
    const capacity = history.capacities.get(worker)
    if (capacity === undefined) {
      report(`${worker} ran tasks but is not in the VM list`)
      continue
    }
    const peak = computePeak(runs)
    for (const name of ['processors', 'memoryMb', 'accelerators'] as const) {
      if (peak[name] > capacity[name]) report(`${worker}: ${peak[name]} ${name} of ${capacity[name]}`)
    }
  }
}

/** Checks that runs of a task never overlap, and that none follows a completed one unless its worker was lost. */
export function checkConcurrentRuns (history: History, report: ReportViolation): void {
  const lost = new Set(history.lostWorkers)
  for (const [task, runs] of collectBy(history.runs, formatTask)) {
    const ordered = runs.toSorted((a, b) => a.startedAtMs - b.startedAtMs)
    for (const [index, run] of ordered.entries()) {
      const next = ordered[index + 1]
      if (next === undefined) continue
      if ((run.endedAtMs ?? Infinity) > next.startedAtMs) {
        report(`${task} ran at ${run.worker} and ${next.worker} concurrently (${formatAttempt(run.id)}, ${formatAttempt(next.id)})`)
      } else if (run.result === 'completed' && !lost.has(run.worker)) {
        report(`${task} completed at ${run.worker} but ran again at ${next.worker}`)
      }
    }
  }
}

/** Checks that all members of a completed gang ran simultaneously. */
export function checkGangs (history: History, report: ReportViolation): void {
  const byJob = collectBy(history.runs, (run) => run.id.job)
  for (const job of history.jobs) {
    if (job.kind !== 'gang' || job.phase !== 'completed') continue
    const { count } = computePeak(byJob.get(job.job) ?? [])
    if (count !== job.taskCount) report(`gang ${job.job} had ${count} of ${job.taskCount} members running simultaneously`)
  }
}

/** Checks that neither the resources of a team's tasks nor the number of its concurrent requests ever exceeds its ceiling. */
export function checkCeilings (history: History, report: ReportViolation): void {
  const teamOfJob = new Map(history.jobs.map((job) => [job.job, job.team]))
  const runs = collectBy(history.runs, (run) => teamOfJob.get(run.id.job) ?? '')
  const executions = collectBy(history.executions, (execution) => execution.team)
  for (const [team, ceiling] of history.ceilings) {
    const used = computePeak(runs.get(team) ?? [])
    for (const name of ['processors', 'memoryMb', 'accelerators'] as const) {
      if (used[name] > ceiling.resources[name]) report(`${team}: ${used[name]} ${name} of ${ceiling.resources[name]}`)
    }
    const { count } = computePeak((executions.get(team) ?? []).map((execution) => ({ ...execution, resources: NO_RESOURCES })))
    if (count > ceiling.requests) report(`${team}: ${count} concurrent requests of ${ceiling.requests}`)
  }
}

function formatTask (run: TaskRunRecord): string {
  return `${run.id.job}/${run.id.task}`
}
