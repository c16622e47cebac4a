/** Complete entries with faked interfaces: under any failure, jobs run once, in one place, within their team's ceiling. */
import type { Manifest, Team } from '@fuchsiatally/core'
import * as fc from 'fast-check'
import { resolveFuzzOptions } from '@fuchsiatally/core/testing/fuzzOptions'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createEntryCell, type EntryCell } from '../../testing/entryCell.js'
import { applyEntryCommand, applyEntryHealing, type AcceptedJob, type EntryCommand } from '../../testing/entryCommands.js'

const RUNS = 40
const SEED = 20261204
const STARTUP_MS = 8_000
const RECOVERY_MS = 120_000

function createTeam (name: string, share: number, processors: number): Team {
  return {
    name,
    share,
    ceiling: { resources: { processors, memoryMb: 100_000, accelerators: 0 }, requests: 8 },
    limits: { queuedRequests: 10, requestsPerS: 100, activeJobs: 50 },
    open: false,
    whenCut: 'serve',
    keys: []
  }
}
const TEAMS = [createTeam('search', 2, 30), createTeam('press', 1, 20)]
const MANIFEST: Manifest = { cell: 'test', shareWindow: { endMinuteOfDay: 360, lengthMinutes: 720 }, teams: TEAMS, services: [] }

function createCell (seed: number): EntryCell {
  return createEntryCell({
    seed, entryDomains: ['a', 'a', 'b'], workerDomains: ['a', 'a', 'b', 'b'], manifest: MANIFEST, outageToleranceMs: 20_000
  })
}

const index = fc.nat(5)
const commandArbitrary: fc.Arbitrary<EntryCommand> = fc.oneof(
  { weight: 10, arbitrary: fc.record({ kind: fc.constant('run' as const), ms: fc.integer({ min: 50, max: 6_000 }) }) },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('submit' as const),
      entry: index,
      team: index,
      job: fc.constantFrom('batch' as const, 'gang' as const, 'service' as const),
      urgent: fc.boolean(),
      tasks: fc.integer({ min: 1, max: 4 }),
      processors: fc.integer({ min: 1, max: 6 }),
      runMs: fc.constantFrom(100, 2_000, 10_000, 30_000)
    })
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('cancel' as const), entry: index, job: fc.nat(20) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('pause' as const), entry: index, leadMs: fc.integer({ min: 0, max: 2_000 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom('resume' as const, 'kill' as const, 'start' as const, 'stop' as const), entry: index }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('platform' as const),
      entry: index,
      fault: fc.constantFrom('outage' as const, 'silent' as const, 'lostAnswers' as const, 'lateEffects' as const, 'staleReads' as const, 'slow' as const, 'none' as const)
    })
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('outage' as const), on: fc.boolean() }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('worker' as const),
      entry: index,
      worker: index,
      fault: fc.constantFrom('unreachable' as const, 'silent' as const, 'late' as const, 'doubled' as const, 'lostAnswers' as const, 'none' as const)
    })
  },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('workerCut' as const), worker: index, on: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom('cut' as const, 'heal' as const), entry: index, peer: index }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('restartWorker' as const, 'loseVm' as const), worker: index }) }
)

/** Jobs that are running when the failures begin. */
const INITIAL_JOBS: readonly EntryCommand[] = [
  { kind: 'submit', entry: 0, team: 0, job: 'batch', urgent: false, tasks: 4, processors: 3, runMs: 30_000 },
  { kind: 'submit', entry: 1, team: 1, job: 'gang', urgent: false, tasks: 3, processors: 4, runMs: 20_000 },
  { kind: 'submit', entry: 2, team: 0, job: 'service', urgent: false, tasks: 2, processors: 1, runMs: 40_000 }
]
const INITIAL_JOBS_MS = 1_000

/** Lists accepted jobs that have not ended after the recovery. */
async function findUnfinished (cell: EntryCell, accepted: readonly AcceptedJob[]): Promise<string[]> {
  const errors: string[] = []
  for (const job of accepted) {
    const view = await cell.waitFor(cell.entries[0]!.entry.admission.readJob(job.team, job.id))
    if (view.isErr()) errors.push(`accepted job ${job.id} is ${view.error.kind}`)
    else if (job.cancelled && !['cancelled', 'completed', 'failed'].includes(view.value.phase)) errors.push(`cancelled job ${job.id} is ${view.value.phase}`)
    else if (view.value.spec.kind !== 'service' && ['queued', 'running'].includes(view.value.phase)) {
      errors.push(`job ${job.id} (${view.value.spec.kind}) is still ${view.value.phase}: ${JSON.stringify(view.value.tasks)}`)
    }
  }
  return errors
}

/** Cancels long-running services, which would occupy the resources that other jobs wait for. */
async function cancelServices (cell: EntryCell, accepted: readonly AcceptedJob[]): Promise<void> {
  for (const job of accepted) {
    const { admission } = cell.entries[0]!.entry
    const view = await cell.waitFor(admission.readJob(job.team, job.id))
    if (view.isOk() && view.value.spec.kind === 'service') await cell.waitFor(admission.cancelJob(job.team, job.id))
  }
}

async function runCommands (seed: number, commands: readonly EntryCommand[]): Promise<string[]> {
  const cell = createCell(seed)
  const accepted: AcceptedJob[] = []
  await cell.runFor(STARTUP_MS)
  for (const command of INITIAL_JOBS) await applyEntryCommand(cell, command, TEAMS, accepted)
  await cell.runFor(INITIAL_JOBS_MS)
  for (const command of commands) {
    await applyEntryCommand(cell, command, TEAMS, accepted)
    if (cell.oracle.violations.length > 0) return cell.oracle.violations
  }
  applyEntryHealing(cell)
  await cell.runFor(STARTUP_MS)
  await cancelServices(cell, accepted)
  await cell.runFor(RECOVERY_MS)
  return [...cell.oracle.violations, ...await findUnfinished(cell, accepted)]
}

test('a batch, a gang and an urgent job of two teams complete in a cell without failures', async () => {
  const cell = createCell(1)
  const accepted: AcceptedJob[] = []
  assert.ok(cell.entries.every(({ entry }) => entry.findUnreadyReason() !== null))
  await cell.runFor(STARTUP_MS)
  assert.equal(cell.entries.map(({ entry }) => entry.findUnreadyReason()), [null, null, null])
  const submit = { kind: 'submit' as const, entry: 0, team: 0, urgent: false, tasks: 3, processors: 4, runMs: 2_000 }
  await applyEntryCommand(cell, { ...submit, job: 'batch' }, TEAMS, accepted)
  await applyEntryCommand(cell, { ...submit, job: 'gang', entry: 1, team: 1 }, TEAMS, accepted)
  await applyEntryCommand(cell, { ...submit, job: 'batch', entry: 2, urgent: true }, TEAMS, accepted)
  await cell.runFor(10_000)
  assert.is(accepted.length, 3)
  assert.equal([...cell.oracle.violations, ...await findUnfinished(cell, accepted)], [])
  assert.is(cell.oracle.countStarts(), 9)
})

test('under random failures, jobs run once within their ceilings and end after the recovery', async () => {
  await fc.assert(fc.asyncProperty(
    fc.nat(1e6), fc.array(commandArbitrary, { minLength: 5, maxLength: 40 }),
    async (seed, commands) => { assert.equal(await runCommands(seed, commands), []) }
  ), resolveFuzzOptions(SEED, RUNS))
})

test.run()
