/** Random failures of a whole cell: no task runs in two places, no stale epoch is accepted, `lost` implies that nothing runs, and the cell recovers. */
import * as fc from 'fast-check'
import { resolveFuzzOptions } from '@fuchsiatally/core/testing/fuzzOptions'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { applyCommand, applyHealing, type MembershipCommand } from '../../testing/membershipCommands.js'
import { createMembershipCell } from '../../testing/membershipCell.js'

const RUNS = 60
const SEED = 20261204
const RECOVERY_MS = 90_000

const index = fc.nat(5)
const commandArbitrary: fc.Arbitrary<MembershipCommand> = fc.oneof(
  { weight: 12, arbitrary: fc.record({ kind: fc.constant('run' as const), ms: fc.integer({ min: 100, max: 9_000 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('run' as const), ms: fc.integer({ min: 10_000, max: 40_000 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cutDomain' as const), entry: index }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('pause' as const), entry: index, leadMs: fc.integer({ min: 0, max: 3_000 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('resume' as const), entry: index }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('kill' as const, 'start' as const, 'stop' as const), entry: index }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('platform' as const),
      entry: index,
      fault: fc.constantFrom('outage', 'silent', 'lostAnswers', 'lateEffects', 'staleReads', 'slow', 'none')
    })
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('worker' as const),
      entry: index,
      worker: index,
      fault: fc.constantFrom('unreachable', 'silent', 'late', 'doubled', 'lostAnswers', 'slow', 'none')
    })
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('cutScheduler' as const, 'healScheduler' as const), entry: index }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restartWorker' as const), worker: index }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('loseVm' as const), worker: index }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'deposeScheduler' as const }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('stopTask' as const), task: index }) }
)

async function runCommands (seed: number, commands: readonly MembershipCommand[]): Promise<string[]> {
  const cell = createMembershipCell({
    seed, entryDomains: ['a', 'a', 'b'], workerDomains: ['a', 'a', 'b'], taskCount: 4, runMs: 30_000, outageToleranceMs: 20_000
  })
  await cell.runFor(6_000)
  for (const command of commands) {
    await applyCommand(cell, command)
    if (cell.oracle.violations.length > 0) return cell.oracle.violations
  }
  applyHealing(cell)
  const startsBefore = cell.oracle.countStarts()
  await cell.runFor(RECOVERY_MS)
  const violations = [...cell.oracle.violations]
  if (cell.oracle.countStarts() === startsBefore) violations.push('no task started after the faults were healed')
  for (const worker of cell.workers) {
    if (cell.lostWorkers.has(worker.id)) continue
    const owners = cell.entries.filter(({ workerManager }) =>
      workerManager.listOwnedWorkers().some(({ id, hasContact }) => id === worker.id && hasContact))
    if (owners.length !== 1) violations.push(`${worker.id} has ${owners.length} owners in contact after the faults were healed`)
  }
  return violations
}

test('invariants hold under random failures', async () => {
  await fc.assert(fc.asyncProperty(
    fc.nat(1e6), fc.array(commandArbitrary, { minLength: 5, maxLength: 40 }),
    async (seed, commands) => {
      assert.equal(await runCommands(seed, commands), [])
    }
  ), resolveFuzzOptions(SEED, RUNS))
})

test.run()
