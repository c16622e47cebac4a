/** Commit loop of a holder: pacing of planning rounds, renewals and commits between rounds. */
import { createPartitionPlanner } from '@fuchsiatally/core'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { ok } from 'neverthrow'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createTestJob, SERVICE } from '../../testing/partitionCluster.js'
import { HOLDER_TIMEOUT_MS } from '../constants.js'
import { createHolderLoad } from '../holderLoad.js'
import { createPartitionCommits } from '../partitionCommits.js'
import { createPlanPacer } from '../planPacer.js'
import { HOLDER_KEY, STATE_TABLE } from '../partitionRows.js'
import type { PartitionTable } from '../ports.js'
import { createStateRows } from '../stateRows.js'

/** Share of the event loop that planning may take; a stated target. */
const MAX_PLANNING_SHARE = 0.25
const COMMIT_MS = 5

/** Starts a commit loop whose planning rounds block the event loop for `roundMs`. */
const createQuietCommits = (roundMs: number, confirmedAgeMs = 0) => {
  const clock = createFakeClock()
  const events = createMemoryEventLog()
  const planner = createPartitionPlanner()
  const renewedAtMs: number[] = []
  const committedJobs: { readonly job: string, readonly atMs: number }[] = []
  const roundsAtMs: number[] = []
  let planMs = 0
  let version = 1
  const table: PartitionTable = {
    commit: async ({ writes }) => {
      for (const { table: name, key } of writes) {
        if (key === HOLDER_KEY) renewedAtMs.push(clock.nowMs())
        if (name === STATE_TABLE) committedJobs.push({ job: key, atMs: clock.nowMs() })
      }
      await new Promise<void>((resolve) => { clock.setTimer(COMMIT_MS, resolve) })
      version++
      return ok({ kind: 'applied', version })
    },
    readRange: async () => ok({ rows: [], version }),
    readChanges: async () => ok({ kind: 'changes', rows: [], version })
  }
  const commits = createPartitionCommits({
    partition: SERVICE,
    row: { entry: 'a', incarnation: 'a-1', epoch: 1, released: false, renewals: 0, waiting: [] },
    version,
    confirmedAt: { nowMs: clock.nowMs(), wallMs: clock.wallMs() - confirmedAgeMs },
    table,
    planner,
    stateRows: createStateRows(events),
    clock,
    events,
    load: createHolderLoad({ partition: SERVICE, epoch: 1, clock, events, readBacklog: planner.countBacklog }),
    statusMs: 120_000,
    isLoaded: () => true,
    pacer: createPlanPacer(clock),
    listControllers: () => [],
    plan: () => {
      roundsAtMs.push(clock.nowMs())
      clock.block(roundMs)
      planMs += roundMs
      return []
    },
    startRun: () => {},
    countStartRoom: () => Infinity,
    onCommitted: () => {},
    onJobsExpired: () => {},
    onStuck: () => {},
    onDeposed: () => {}
  })
  return { clock, planner, commits, renewedAtMs, committedJobs, roundsAtMs, readPlanMs: () => planMs, readConfirmedAgeMs: commits.readConfirmedAgeMs }
}

/** Like `createQuietCommits`; work requests a round every 10 ms. */
const createCommits = (roundMs: number, confirmedAgeMs = 0) => {
  const running = createQuietCommits(roundMs, confirmedAgeMs)
  const requestRound = (): void => {
    running.commits.wake()
    running.clock.setTimer(10, requestRound)
  }
  requestRound()
  return running
}

// Guards against planning that takes the whole event loop: lease calls waited behind rounds that followed each other at once.
test('planning rounds take at most a quarter of the event loop', async () => {
  for (const roundMs of [2, 40, 300]) {
    const { clock, readPlanMs } = createCommits(roundMs)
    const startedAtMs = clock.nowMs()
    await clock.runFor(20_000)
    const share = readPlanMs() / (clock.nowMs() - startedAtMs)
    assert.ok(share <= MAX_PLANNING_SHARE + roundMs / 20_000, `rounds of ${roundMs} ms: share ${share}`)
    assert.ok(share > 0, `rounds of ${roundMs} ms: none was run`)
  }
})

// Guards against a partition that changes hands because its holder plans: renewals waited behind planning rounds.
test('the holder row is renewed three times within the timeout of a holder while rounds are long', async () => {
  for (const roundMs of [100, 300, 390]) {
    const { clock, renewedAtMs } = createCommits(roundMs)
    await clock.runFor(20_000)
    const gapMs = Math.max(...renewedAtMs.slice(1).map((atMs, index) => atMs - renewedAtMs[index]!))
    assert.ok(gapMs <= HOLDER_TIMEOUT_MS / 3, `rounds of ${roundMs} ms: ${gapMs} ms between renewals`)
  }
})

// Guards against ended jobs that are reported late because their commit waits for the next planning round.
test('a changed job is committed before the next planning round', async () => {
  const { clock, planner, committedJobs } = createCommits(300)
  await clock.runFor(3000)
  planner.addJob('0000000000000001', createTestJob(clock, 1), { phase: 'queued', endedAtMs: 0, occurrences: [] }, clock.nowMs())
  planner.cancelJob('0000000000000001', clock.wallMs())
  const changedAtMs = clock.nowMs()
  await clock.runFor(700)
  const delayMs = (committedJobs[0]?.atMs ?? Infinity) - changedAtMs
  assert.ok(delayMs <= 400, `committed after ${delayMs} ms`)
})

// Guards against work that waits for the longest pause of an idle loop although the pacing would allow a round much earlier.
test('a request during the pause of the pacing is planned when that pause ends', async () => {
  for (const roundMs of [5, 10, 30]) {
    const { clock, commits, roundsAtMs } = createQuietCommits(roundMs)
    await clock.runFor(1000)
    const rounds = roundsAtMs.length
    while (roundsAtMs.length === rounds) await clock.runFor(1)
    const endedAtMs = roundsAtMs.at(-1)! + roundMs
    // The commit of the round is finished and the loop sleeps.
    await clock.runFor(endedAtMs + COMMIT_MS + 2 - clock.nowMs())
    commits.wake()
    await clock.runFor(1000)
    const pauseMs = roundsAtMs[rounds + 1]! - endedAtMs
    assert.ok(pauseMs <= roundMs * (1 / MAX_PLANNING_SHARE - 1) + COMMIT_MS, `rounds of ${roundMs} ms: the next one after ${pauseMs} ms`)
  }
})

// Guards against leases that a holder extends beyond what its successor assumes, because the process was paused between its takeover and its term.
test('until its first applied commit a term counts as confirmed when its takeover was sent', async () => {
  const { clock, readConfirmedAgeMs } = createCommits(0, 5000)
  assert.is(readConfirmedAgeMs(), 5000)
  await clock.runFor(2 * COMMIT_MS)
  assert.ok(readConfirmedAgeMs() <= 2 * COMMIT_MS)
})

test.run()
