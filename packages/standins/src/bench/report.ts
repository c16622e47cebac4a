/** The bench's tables for people, in Markdown. */
import type { CaseResult } from './runCase.js'

/** Formats all results. */
export function formatReport (results: readonly CaseResult[], seed: number): string {
  return [
    `Seed ${seed}. Waiting time in seconds, p50/p99/p99.9 of started tasks (and tasks never started).`,
    formatTable(['cell', 'condition', 'scheduler', 'urgent', 'batch', 'gang', 'service'], results.map(listWaits)),
    'Committed over capacity while work of that kind waits; VMs used over the packing bound; received over entitled.',
    formatTable(['cell', 'condition', 'scheduler', 'processors', 'accelerators', 'VMs/bound', 'worst share', 'goodput core-h', 'wasted core-h'], results.map(listPacking)),
    'Cost of decisions on one core.',
    formatTable(['cell', 'condition', 'scheduler', 'tasks', 'decisions', 'a second', 'p50 µs', 'p99 µs', 'longest call ms', 'bytes'], results.map(listCosts)),
    'Received over entitled by team (* enough demand).',
    formatTable(['cell', 'condition', 'scheduler', 'teams'], results.filter(({ result }) => result.teams.length <= 8).map(listTeams))
  ].join('\n\n')
}

function listHead ({ cell, condition, scheduler }: CaseResult): string[] {
  return [cell, condition, scheduler]
}

function listWaits (row: CaseResult): string[] {
  const cells = ['urgent', 'batch', 'gang', 'service'].map((name) => {
    const wait = row.result.waits.find((candidate) => candidate.class === name)
    if (!wait) return '-'
    const times = `${formatSeconds(wait.p50S)}/${formatSeconds(wait.p99S)}/${formatSeconds(wait.p999S)}`
    return wait.unstarted > 0 ? `${times} (${wait.unstarted})` : times
  })
  return [...listHead(row), ...cells]
}

function listPacking (row: CaseResult): string[] {
  const { result } = row
  return [
    ...listHead(row),
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
    ...listHead(row),
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
  const teams = row.result.teams.map(({ team, receivedOverEntitled, enoughDemand }) =>
    `${team} ${receivedOverEntitled.toFixed(3)}${enoughDemand ? '*' : ''}`)
  return [...listHead(row), teams.join(', ')]
}

function formatSeconds (seconds: number): string {
  return seconds < 10 ? seconds.toFixed(1) : seconds.toFixed(0)
}

function formatTable (header: readonly string[], rows: readonly string[][]): string {
  const lines = [header, header.map(() => '---'), ...rows]
  return lines.map((cells) => `| ${cells.join(' | ')} |`).join('\n')
}
