/** Planning rounds that may decide only a few starts with tickets, because orders wait. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createTestStep, createTestStepJob } from '../../testing/stepJobs.js'
import { ACCEPTED_STATE, createPartitionPlanner, type AdviceQuery, type PartitionPlanner, type StartOrder } from '../index.js'

const ADVICE = { decisionMs: 20, eachMs: 0.3, validityMs: 1500 }
const WORKERS = 10
const CORES = 16
const ROUND_MS = 100
/** Rounds in which a gang may be passed over; a stated target, half of the 6 s that users allow for a lasting task. */
const MAX_ROUNDS = 30
const MAX_TICKETED_STARTS = 4

function createPlanner (): PartitionPlanner {
  const planner = createPartitionPlanner()
  for (let index = 0; index < WORKERS; index++) {
    planner.setWorker({ id: `w${index}`, failureDomain: 'a', labels: ['kind', 'r1'], capacity: { processors: CORES, memoryMb: 65_536, accelerators: 0 }, draining: false })
    planner.setSynced(`w${index}`, true)
  }
  return planner
}

/** Runs one round, answers its queries, and ends what it started except for the jobs in `lasting`. */
function playRound (planner: PartitionPlanner, round: number, lasting: ReadonlySet<string>): readonly StartOrder[] {
  const nowMs = round * ROUND_MS
  const queries: AdviceQuery[] = []
  const { starts } = planner.decide(nowMs, nowMs, (query) => queries.push(query) > 0, { maxTicketedStarts: MAX_TICKETED_STARTS })
  for (const query of queries) planner.recordAdvice(query, new Map(query.workers.map((worker) => [worker, 'ticket'])), nowMs + 1)
  for (const [index, order] of starts.entries()) {
    planner.recordStartConfirmed(order, order.worker, nowMs + 1)
    if (lasting.has(order.job)) continue
    const { job, occurrence, step, index: task, run, worker } = order
    const running = starts.filter((other, position) => other.worker === worker && (position > index || lasting.has(other.job)))
      .map((other) => ({ ...other, saved: '', percent: 10, load: 0 }))
    planner.recordReport(worker, { requestedAtMs: nowMs + 2, running, ended: [{ job, occurrence, step, index: task, run, number: 1000 * round + index + 1, how: 'done', saved: '' }], hasMoreEnds: false }, nowMs + 2, nowMs + 2)
  }
  return starts
}

function playGang (others: (round: number, planner: PartitionPlanner) => void): number {
  const planner = createPlanner()
  const gang = createTestStep({ taskCount: MAX_TICKETED_STARTS + 2, gang: true })
  planner.addJob('gang', createTestStepJob([gang], { advice: ADVICE, priority: 1, targetLatencyMs: 60_000 }), ACCEPTED_STATE, 0)
  for (let round = 1; round <= MAX_ROUNDS; round++) {
    others(round, planner)
    if (playRound(planner, round, new Set(['gang'])).some(({ job }) => job === 'gang')) return round
  }
  return Infinity
}

// Guards against a gang that never starts: its size exceeded the room for starts, and something else started first in each round.
test('a gang larger than the room for starts goes before long although more urgent steps start in each round', () => {
  const round = playGang((number, planner) => {
    planner.addJob(`urgent${number}`, createTestStepJob([createTestStep()], { advice: ADVICE, priority: 0 }, { acceptedAtMs: number * ROUND_MS }), ACCEPTED_STATE, number * ROUND_MS)
  })
  assert.ok(round <= MAX_ROUNDS, `not started in ${MAX_ROUNDS} rounds`)
})

test('a gang larger than the room for starts goes before long although urgent steps without advice start in each round', () => {
  const round = playGang((number, planner) => {
    planner.addJob(`urgent${number}`, createTestStepJob([createTestStep()], { priority: 0 }, { acceptedAtMs: number * ROUND_MS }), ACCEPTED_STATE, number * ROUND_MS)
  })
  assert.ok(round <= MAX_ROUNDS, `not started in ${MAX_ROUNDS} rounds`)
})

test('a gang larger than the room for starts goes at once if it is first', () => {
  assert.ok(playGang(() => {}) <= 3)
})

test.run()
