/** Prints the share of requests and jobs that a cell serves during each single failure. Usage: `node dist/testing/servingTable.js [seed] [part of a failure's name]`. */
import { CELL_FAILURES, ENTRY_KILLED_LINKS_CLOSED, createServingCell, SERVING_TEAMS, submitJobs, type CellFailure, type ServingCell } from './cellFailures.js'
import { applyEntryHealing } from './entryCommands.js'

const SEED = 20261204
const STARTUP_MS = 8_000
const BASELINE_MS = 10_000
const JOB_INTERVAL_MS = 5_000
const JOB_RUN_TIME_MS = 40_000
/** Ends of the time windows, from the start of the failure; faults are cleared at the last one. */
const WINDOW_ENDS_MS = [5_000, 15_000, 30_000, 60_000]
/** Lengths of the time windows after the faults are cleared. */
const HEALED_WINDOW_LENGTHS_MS = [5_000, 10_000, 30_000]
/** Time for the responses to requests sent at the end of the last window. */
const RESPONSE_GRACE_MS = 3_000

function formatShare (completed: number, sent: number): string {
  return sent === 0 ? '-' : `${Math.round(100 * completed / sent)} %`
}

/** Runs one time window and submits a set of jobs at every interval; returns a summary: jobs accepted and submitted, tasks started, tasks running at the end. */
async function runWindow (serving: ServingCell, ms: number): Promise<string> {
  const { cell, accepted } = serving
  const [startsBefore, acceptedBefore] = [cell.oracle.countStarts(), accepted.length]
  let sent = 0
  for (let passedMs = 0; passedMs < ms; passedMs += JOB_INTERVAL_MS) {
    await submitJobs(serving, JOB_RUN_TIME_MS)
    sent += 3
    await cell.runFor(Math.min(JOB_INTERVAL_MS, ms - passedMs))
  }
  const running = cell.workers.reduce((sum, worker) => sum + worker.listRunning().length, 0)
  return `jobs ${accepted.length - acceptedBefore}/${sent}, starts ${cell.oracle.countStarts() - startsBefore}, running ${running}`
}

/** Runs a cell through one failure and its clearing; returns one table row per time window, then the violations. */
async function collectRows (failure: CellFailure, seed: number): Promise<string[]> {
  const serving = createServingCell(seed)
  const { cell, traffic } = serving
  await cell.runFor(STARTUP_MS)
  const windows: Array<{ readonly name: string, readonly fromMs: number, readonly untilMs: number, readonly jobs: string }> = []
  const addWindow = async (name: string, ms: number): Promise<void> => {
    const fromMs = cell.clock.nowMs()
    const jobs = await runWindow(serving, ms)
    windows.push({ name, fromMs, untilMs: cell.clock.nowMs(), jobs })
  }
  await addWindow('before', BASELINE_MS)
  failure.begin(serving)
  let beginMs = 0
  for (const endMs of WINDOW_ENDS_MS) {
    await addWindow(`${beginMs / 1000}-${endMs / 1000} s`, endMs - beginMs)
    beginMs = endMs
  }
  applyEntryHealing(cell)
  for (const ms of HEALED_WINDOW_LENGTHS_MS) await addWindow('healed', ms)
  await cell.runFor(RESPONSE_GRACE_MS)
  const violations = [...cell.oracle.violations, ...traffic.listViolations()]
  return [...windows.map(({ name, fromMs, untilMs, jobs }) => {
    const shares = SERVING_TEAMS.flatMap((team) => cell.entries.map((entry) => {
      const counts = traffic.countOutcomes(team.name, entry.name, fromMs, untilMs)
      return formatShare(counts.completed, counts.sent)
    }))
    return `| ${failure.name} | ${name} | ${shares.join(' | ')} | ${jobs} |`
  }), ...violations.map((violation) => `FAULT ${violation}`)]
}

const seed = Number(process.argv[2] ?? SEED)
const entries = ['e0', 'e1', 'e2']
const headings = SERVING_TEAMS.flatMap((team) => entries.map((entry) => `${team.name} ${entry}`))
process.stdout.write(`| failure | time | ${headings.join(' | ')} | jobs |\n|${'---|'.repeat(headings.length + 3)}\n`)
for (const failure of [ENTRY_KILLED_LINKS_CLOSED, ...CELL_FAILURES].filter(({ name }) => name.includes(process.argv[3] ?? ''))) {
  for (const line of await collectRows(failure, seed)) process.stdout.write(`${line}\n`)
}
