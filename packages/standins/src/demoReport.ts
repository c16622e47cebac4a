/** Report of a demo: counts of requests and jobs, reasons why some were not completed, and the status of the invariants. */
import type { History } from './history.js'
import { listViolations, INVARIANTS, type Violation } from './monitor.js'
import type { CallerOutcome, WorkerRecords } from './records.js'

/** Result of the demo on one deployment. */
export interface DemoResult {
  readonly cell: string
  readonly history: History
  readonly records: WorkerRecords
  readonly refusedJobs: readonly string[]
  readonly failures: readonly string[]
  readonly violations: readonly Violation[]
}

const OUTCOMES: readonly CallerOutcome[] = ['completed', 'notRun', 'unknown', 'rejected', 'cutOff']
const LABEL_WIDTH = 40
const COLUMN_WIDTH = 12
const MAX_REASONS = 8
const MAX_REASON_LENGTH = 110

/** Checks the invariants and builds the result. */
export function createDemoResult (
  cell: string, history: History, records: WorkerRecords, refusedJobs: readonly string[], failures: readonly string[]
): DemoResult {
  return { cell, history, records, refusedJobs, failures, violations: listViolations(history) }
}

/** Formats the results side by side, with the reasons why requests and jobs were not completed and the status of every invariant. */
export function formatDemoReport (results: readonly DemoResult[]): string {
  const lines = [formatRow('', results.map((result) => result.cell))]
  for (const [label, count] of listCounts()) lines.push(formatRow(label, results.map((result) => String(count(result)))))
  for (const result of results) lines.push('', `Not completed at ${result.cell}, by reason:`, ...listReasons(result))
  lines.push('', formatRow('Invariants', results.map((result) => result.cell)))
  for (const invariant of INVARIANTS) lines.push(formatRow(invariant, results.map((result) => formatInvariantStatus(result, invariant))))
  for (const result of results) {
    for (const { invariant, detail } of result.violations) lines.push(`VIOLATED ${result.cell}: ${invariant}: ${detail}`)
    for (const failure of result.failures) lines.push(`FAILED ${result.cell}: ${failure}`)
  }
  return lines.join('\n')
}

function formatRow (label: string, values: readonly string[]): string {
  return label.padEnd(LABEL_WIDTH) + values.map((value) => value.padStart(COLUMN_WIDTH)).join('')
}

type Count = (result: DemoResult) => number

function listCounts (): ReadonlyArray<readonly [string, Count]> {
  const outcomes = OUTCOMES.map((outcome): readonly [string, Count] => [
    `  ${outcome}`, ({ history }) => history.requests.filter((request) => request.outcome === outcome).length
  ])
  const phases = ['completed', 'running', 'queued', 'failed', 'cancelled'].map((phase): readonly [string, Count] => [
    `  ${phase}`, ({ history }) => history.jobs.filter((job) => job.phase === phase).length
  ])
  return [
    ['Requests sent', ({ history }) => history.requests.length],
    ...outcomes,
    ['Requests executed by endpoints', ({ records }) => records.executions.length],
    ['Exchanges refused by endpoints', ({ records }) => records.refusals],
    ['Jobs accepted', ({ history }) => history.jobs.length],
    ...phases,
    ['Jobs refused', ({ refusedJobs }) => refusedJobs.length],
    ['Task attempts placed', ({ records }) => records.runs.length],
    ['  completed', ({ records }) => records.runs.filter((run) => run.result === 'completed').length]
  ]
}

function listReasons ({ history, refusedJobs }: DemoResult): string[] {
  const counts = new Map<string, number>()
  for (const request of history.requests) {
    if (request.outcome === 'completed') continue
    const reason = `${request.outcome} ${request.status}: ${request.reason}`
    counts.set(reason, (counts.get(reason) ?? 0) + 1)
  }
  for (const refusal of refusedJobs) counts.set(`job ${refusal}`, (counts.get(`job ${refusal}`) ?? 0) + 1)
  const ordered = [...counts].toSorted((a, b) => b[1] - a[1])
  const lines = ordered.slice(0, MAX_REASONS).map(([reason, count]) => `  ${String(count).padStart(4)} ${reason.slice(0, MAX_REASON_LENGTH)}`)
  if (ordered.length > MAX_REASONS) lines.push(`       and ${ordered.length - MAX_REASONS} other reasons`)
  return lines.length === 0 ? ['  none'] : lines
}

function formatInvariantStatus (result: DemoResult, invariant: string): string {
  const count = result.violations.filter((violation) => violation.invariant === invariant).length
  return count === 0 ? 'held' : `VIOLATED ${count}`
}
