/** Benchmark report as Markdown tables. */
import type { CaseResult } from './runCase.js'

/** Formats the results of all cases. */
export function formatReport (results: readonly CaseResult[], seed: number): string {
  return [
    `Seed ${seed}. Waiting time in seconds, p50/p99/p99.9 of started tasks (number of tasks never started).`,
    formatTable(['cell', 'condition', 'scheduler', 'urgent', 'batch', 'gang', 'service'], results.map(listWaits)),
    'Allocated fraction of capacity while tasks wait for that resource; VMs in use / packing lower bound; largest deviation from the entitled share.',
    formatTable(['cell', 'condition', 'scheduler', 'processors', 'accelerators', 'VMs/bound', 'share deviation', 'goodput core-h', 'wasted core-h'], results.map(listUtilization)),
    'Cost of scheduling decisions on one core.',
    formatTable(['cell', 'condition', 'scheduler', 'tasks', 'decisions', 'decisions/s', 'p50 µs', 'p99 µs', 'longest call ms', 'heap bytes/decision'], results.map(listCosts)),
    'Received / entitled resource time by team (* team with enough demand).',
    formatTable(['cell', 'condition', 'scheduler', 'teams'], results.filter(({ result }) => result.teams.length <= 8).map(listTeams))
  ].join('\n\n')
}

function listKeyColumns ({ cell, condition, scheduler }: CaseResult): string[] {
  return [cell, condition, scheduler]
}

function listWaits (row: CaseResult): string[] {
  const columns = ['urgent', 'batch', 'gang', 'service'].map((name) => {
    const wait = row.result.waits.find((candidate) => candidate.class === name)
    if (!wait) return '-'
    const times = `${formatSeconds(wait.p50S)}/${formatSeconds(wait.p99S)}/${formatSeconds(wait.p999S)}`
    return wait.unstarted > 0 ? `${times} (${wait.unstarted})` : times
  })
  return [...listKeyColumns(row), ...columns]
}

function listUtilization (row: CaseResult): string[] {
  const { result } = row
  return [
    ...listKeyColumns(row),
    result.processorsCommitted.toFixed(3),
    result.acceleratorsCommitted.toFixed(3),
    result.vmsOverBound.toFixed(3),
    `${(result.worstShare * 100).toFixed(1)}%`,
    result.goodputCoreH.toFixed(0),
    result.wastedCoreH.toFixed(1)
  ]
}

function listCosts (row: CaseResult): string[] {
  const { result } = row
  return [
    ...listKeyColumns(row),
    String(row.tasks),
    String(result.starts),
    result.decisionsPerS.toFixed(0),
    result.decisionP50Us.toFixed(0),
    result.decisionP99Us.toFixed(0),
    result.longestCallMs.toFixed(1),
    result.bytesPerDecision.toFixed(0)
  ]
}

function listTeams (row: CaseResult): string[] {
  const formattedTeams = row.result.teams.map(({ team, receivedOverEntitled, enoughDemand }) =>
    `${team} ${receivedOverEntitled.toFixed(3)}${enoughDemand ? '*' : ''}`)
  return [...listKeyColumns(row), formattedTeams.join(', ')]
}

function formatSeconds (seconds: number): string {
  return seconds < 10 ? seconds.toFixed(1) : seconds.toFixed(0)
}

function formatTable (header: readonly string[], rows: readonly string[][]): string {
  const lines = [header, header.map(() => '---'), ...rows]
  return lines.map((columns) => `| ${columns.join(' | ')} |`).join('\n')
}
