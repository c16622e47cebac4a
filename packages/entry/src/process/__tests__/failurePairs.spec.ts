/** Injects every pair of failures under steady requests and jobs: the guarantees hold, and the cell recovers. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CELL_FAILURES, createServingCell, SERVING_TEAMS, submitJobs, type CellFailure, type ServingCell } from '../../testing/cellFailures.js'
import { applyEntryHealing } from '../../testing/entryCommands.js'

const SEED = 20261204
const STARTUP_MS = 8_000
const INJECTION_INTERVAL_MS = 1_500
const FAILURE_MS = 18_000
const RECOVERY_MS = 20_000
const CHECK_MS = 3_000
const RECOVERY_STEP_MS = 5_000
const MAX_RECOVERY_MS = 240_000
const FINAL = ['completed', 'failed', 'cancelled']

async function findUnfinished ({ cell, accepted }: ServingCell): Promise<string[]> {
  const errors: string[] = []
  for (const job of accepted) {
    const view = await cell.waitFor(cell.entries[0]!.entry.admission.readJob(job.team, job.id))
    if (view.isErr()) errors.push(`accepted job ${job.id} is ${view.error.kind}`)
    else if (!FINAL.includes(view.value.phase)) errors.push(`job ${job.id} (${view.value.spec.kind}) is ${view.value.phase}: ${JSON.stringify(view.value.tasks)}`)
  }
  return errors
}

/** Lists entries that do not answer all steady requests after the recovery, or that disagree on the configuration. */
function findUnrecovered ({ cell, traffic, acceptedVersions }: ServingCell): string[] {
  const errors: string[] = []
  const untilMs = cell.clock.nowMs() - CHECK_MS
  const versions = cell.entries.map(({ entry }) => entry.config.readVersion())
  for (const { name } of cell.entries) {
    const counts = traffic.countOutcomes(SERVING_TEAMS[0]!.name, name, untilMs - CHECK_MS, untilMs)
    if (counts.sent === 0 || counts.completed < counts.sent) errors.push(`${name} after the recovery: ${JSON.stringify(counts)}`)
    // Bursts above the ceiling may be refused, but no request may remain in doubt.
    const bursts = traffic.countOutcomes(SERVING_TEAMS[1]!.name, name, untilMs - CHECK_MS, untilMs)
    if (bursts.unknown + bursts.unanswered > 0) errors.push(`${name} after the recovery: ${JSON.stringify(bursts)}`)
  }
  if (new Set(versions).size > 1) errors.push(`versions of the configuration differ: ${versions.join()}`)
  if (new Set(acceptedVersions).size < acceptedVersions.length) errors.push(`two operators were given version ${acceptedVersions.join()}`)
  if (Math.max(0, ...acceptedVersions) > versions[0]!) errors.push(`accepted version ${acceptedVersions.join()} is lost`)
  return errors
}

async function runPair (seed: number, first: CellFailure, second: CellFailure): Promise<string[]> {
  const serving = createServingCell(seed)
  const { cell, traffic } = serving
  await cell.runFor(STARTUP_MS)
  await submitJobs(serving, 6_000)
  await cell.runFor(INJECTION_INTERVAL_MS)
  first.begin(serving)
  await cell.runFor(INJECTION_INTERVAL_MS)
  if (second !== first) second.begin(serving)
  await cell.runFor(INJECTION_INTERVAL_MS)
  await submitJobs(serving, 3_000)
  await cell.runFor(FAILURE_MS)
  applyEntryHealing(cell)
  for (const { faults } of cell.workers) Object.assign(faults, { failAllTasks: false, runTimeFactor: 1 })
  await cell.runFor(RECOVERY_MS)
  const unrecovered = findUnrecovered(serving)
  traffic.stop()
  let unfinished = await findUnfinished(serving)
  for (let passedMs = 0; unfinished.length > 0 && passedMs < MAX_RECOVERY_MS; passedMs += RECOVERY_STEP_MS) {
    await cell.runFor(RECOVERY_STEP_MS)
    unfinished = await findUnfinished(serving)
  }
  if (serving.accepted.length < 3) unrecovered.push('jobs before the failures were not accepted')
  return [...cell.oracle.violations, ...traffic.listViolations(), ...unrecovered, ...unfinished]
}

const chosen = process.env['PAIRS'] ?? ''
for (const [index, first] of CELL_FAILURES.entries()) {
  for (const second of CELL_FAILURES.slice(index)) {
    const name = first === second ? first.name : `${first.name} and ${second.name}`
    if (!name.includes(chosen)) continue
    test(name, async () => {
      assert.equal(await runPair(Number(process.env['FUZZ_SEED'] ?? SEED), first, second), [])
    })
  }
}

test.run()
