/** Bounds the work of one planning round by deterministic counts, not by time. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createTestStep, createTestStepJob } from '../../testing/stepJobs.js'
import { ACCEPTED_STATE, createPartitionPlanner, type AdviceQuery, type JobStep, type PartitionPlanner, type StepJob } from '../index.js'

/** Evaluations of a round for each worker, task and waiting step. */
const MAX_EVALUATIONS_PER_ITEM = 16
const CORES = 16
const TASKS_PER_WORKER = 4
const TASKS_PER_STEP = 10
const ADVICE = { decisionMs: 19, eachMs: 0.27, validityMs: 1500 }

interface Scenario {
  readonly workers: number
  readonly steps: number
  /** Processors of the urgent tasks of a step. */
  readonly readSize: (step: number) => number
  readonly policy?: Partial<StepJob['policy']>
  /** The urgent steps are of the team that fills the workers, and only its ceiling blocks them. */
  readonly isAtCeiling?: boolean
  /** Time of the first round; 200 ms if absent. */
  readonly fromMs?: number
}

/** Creates a planner whose workers are full of preemptible tasks. */
function createFullPlanner (workers: number): PartitionPlanner {
  const planner = createPartitionPlanner()
  for (let index = 0; index < workers; index++) {
    planner.setWorker({ id: `w${index}`, failureDomain: `d${index % 4}`, labels: ['kind', `r${index % 20}`], capacity: { processors: CORES, memoryMb: 65_536, accelerators: 0 }, draining: false })
    planner.setSynced(`w${index}`, true)
  }
  const step = createTestStep({ taskCount: TASKS_PER_WORKER, resources: { processors: CORES / TASKS_PER_WORKER, memoryMb: 1024, accelerators: 0 }, savesWork: true })
  for (let job = 0; job < workers; job++) planner.addJob(`slow${job}`, createTestStepJob([step], { priority: 2 }, { team: 'slow' }), ACCEPTED_STATE, 0)
  let started = 0
  for (let round = 0; started < workers * TASKS_PER_WORKER; round++) {
    assert.ok(round < workers, 'the workers were not filled')
    for (const order of planner.decide(0, 0, () => true).starts) {
      planner.recordStartConfirmed(order, order.worker, 1)
      started++
    }
  }
  return planner
}

function addUrgentSteps (planner: PartitionPlanner, { steps, readSize, policy, isAtCeiling }: Scenario): void {
  for (let step = 0; step < steps; step++) {
    const resources = { processors: readSize(step), memoryMb: 1024, accelerators: 0 }
    planner.addJob(`urgent${step}`, createTestStepJob([createTestStep({ taskCount: TASKS_PER_STEP, resources })], { priority: 0, ...policy }, { team: isAtCeiling === true ? 'slow' : 'urgent', acceptedAtMs: step / 100 }), ACCEPTED_STATE, 10)
  }
}

/** Runs rounds while all urgent steps wait; returns the largest count of evaluations. */
function measureRounds (scenario: Scenario): number {
  const planner = createFullPlanner(scenario.workers)
  if (scenario.isAtCeiling === true) planner.setTeamLimits(new Map([['slow', { processors: scenario.workers * CORES, memoryMb: Infinity, accelerators: Infinity }]]))
  addUrgentSteps(planner, scenario)
  let most = 0
  for (let round = 0; round < 5; round++) {
    const queries: AdviceQuery[] = []
    const atMs = (scenario.fromMs ?? 200) + 8 * round
    planner.decide(atMs, atMs, (query) => queries.push(query) > 0)
    most = Math.max(most, planner.countEvaluations())
    for (const query of queries) planner.recordAdvice(query, new Map(query.workers.filter((_, index) => index % 10 < 7).map((worker) => [worker, 'ticket'])), atMs)
  }
  return most
}

function checkBound (name: string, options: Omit<Scenario, 'workers' | 'steps'>): void {
  const failures: string[] = []
  for (const workers of [176, 990]) {
    for (const steps of [10, 40, 160]) {
      const items = workers + workers * TASKS_PER_WORKER + steps + steps * TASKS_PER_STEP
      const count = measureRounds({ workers, steps, ...options })
      if (count > MAX_EVALUATIONS_PER_ITEM * items) failures.push(`${workers} workers, ${steps} steps: ${count} > ${MAX_EVALUATIONS_PER_ITEM * items}`)
    }
  }
  assert.equal(failures, [], name)
}

// Guards against planning rounds that cost workers x waiting steps x tasks, by which the holder of a full partition falls behind (LOST, SHORT).
test('a round at full workers costs workers plus tasks plus waiting urgent steps', () => {
  checkBound('equal sizes', { readSize: () => 2.7 })
})

// Guards against the same cost for steps that have to ask for advice.
test('a round at full workers costs workers plus tasks plus waiting urgent steps that need advice', () => {
  checkBound('with advice', { readSize: () => 2.7, policy: { advice: ADVICE } })
})

// Guards against the same cost where no two steps can share a search.
test('a round at full workers costs workers plus tasks plus waiting urgent steps of different sizes', () => {
  checkBound('different sizes', { readSize: (step) => 2 + step / 1000 })
})

// Guards against the same cost where only the ceiling of their team blocks the steps.
test('a round costs workers plus tasks plus waiting urgent steps that their team’s ceiling blocks', () => {
  checkBound('at the ceiling', { readSize: () => 2.7, isAtCeiling: true })
})

// Guards against the same cost of finding out, in each round anew, which steps are too large to start without a reservation.
test('a round at full workers costs workers plus tasks plus waiting steps of large tasks', () => {
  checkBound('large tasks', { readSize: () => 9, policy: { priority: 1, targetLatencyMs: 10_000 }, fromMs: 1000 })
})

/** Evaluations of a round for each worker and waiting step, if the steps can't start. */
const MAX_VAIN_EVALUATIONS_PER_ITEM = 256
const BLOCKED_STEPS = 400
const WORKERS = 176
/** Rounds within which each of the blocked steps, and the one behind them, must have been evaluated. */
const MAX_TURN_ROUNDS = 120

/** Creates a planner of which one worker is in the rack `open`, and the others in the rack `closed`. */
function createTwoRacks (): PartitionPlanner {
  const planner = createPartitionPlanner()
  for (let index = 0; index < WORKERS; index++) {
    const labels = ['kind', index === 0 ? 'open' : 'closed']
    planner.setWorker({ id: `w${index}`, failureDomain: 'd', labels, capacity: { processors: CORES, memoryMb: 65_536, accelerators: 0 }, draining: false })
    planner.setSynced(`w${index}`, true)
  }
  return planner
}

/** Adds blocked steps of different sizes, and behind them a step that needs the rack `open`. */
function addBehindBlocked (planner: PartitionPlanner, blocked: JobStep, priority: number): void {
  const policy = { priority, targetLatencyMs: 10_000 }
  for (let step = 0; step < BLOCKED_STEPS; step++) {
    const resources = { ...blocked.resources, processors: blocked.resources.processors + step / 1000 }
    planner.addJob(`blocked${step}`, createTestStepJob([{ ...blocked, resources }], policy, { acceptedAtMs: step / 100 }), ACCEPTED_STATE, 10)
  }
  planner.addJob('last', createTestStepJob([createTestStep({ requiredLabel: 'open' })], policy, { acceptedAtMs: 9 }), ACCEPTED_STATE, 10)
}

/** Runs rounds until one gives orders; returns the jobs that were started or stopped. */
function runUntilOrders (planner: PartitionPlanner): string[] {
  for (let round = 0; round < MAX_TURN_ROUNDS; round++) {
    const { starts, stops } = planner.decide(200 + round, 200 + round, () => true)
    assert.ok(planner.countEvaluations() <= MAX_VAIN_EVALUATIONS_PER_ITEM * (WORKERS + BLOCKED_STEPS), `a round of ${planner.countEvaluations()} evaluations`)
    const orders = [...starts, ...stops].map((order) => order.job)
    if (orders.length > 0) return orders
  }
  return []
}

// Guards against an urgent step that never preempts anything because the steps of a higher rank use up the work of each round.
test('an urgent step preempts, although many steps of a higher rank are searched for in vain', () => {
  const planner = createTwoRacks()
  const large = { processors: CORES, memoryMb: 1024, accelerators: 0 }
  planner.addJob('slow', createTestStepJob([createTestStep({ resources: large, requiredLabel: 'open', savesWork: true })], { priority: 2 }), ACCEPTED_STATE, 0)
  planner.addJob('firm', createTestStepJob([createTestStep({ taskCount: WORKERS - 1, resources: large, requiredLabel: 'closed' })], { priority: 2 }), ACCEPTED_STATE, 0)
  for (const order of planner.decide(0, 0, () => true).starts) planner.recordStartConfirmed(order, order.worker, 1)
  addBehindBlocked(planner, createTestStep({ taskCount: TASKS_PER_STEP, resources: { processors: 2, memoryMb: 1024, accelerators: 0 }, requiredLabel: 'closed', maxPerWorker: 1 }), 0)
  assert.equal(runUntilOrders(planner), ['slow'])
})

// Guards against a step that never starts where there is room because the steps of a higher rank use up the work of each round.
test('a step starts, although many gangs of a higher rank are tried in vain', () => {
  const planner = createTwoRacks()
  addBehindBlocked(planner, createTestStep({ taskCount: 2 * WORKERS, resources: { processors: 9, memoryMb: 1024, accelerators: 0 }, requiredLabel: 'closed', gang: true }), 1)
  assert.equal(runUntilOrders(planner), ['last'])
})

/** Evaluations for reservations in a round: at least, for each worker and waiting step, and searches beyond them (four turns and the one that exceeds them). */
const MIN_RESERVATION_EVALUATIONS = 2000
const MAX_RESERVATION_EVALUATIONS_PER_ITEM = 4
const MAX_FURTHER_SEARCHES = 5
/** Evaluations for each worker and waiting step that finds out that nothing can be started. */
const MAX_EVALUATIONS_PER_BLOCKED_ITEM = 4

// Guards against rounds of a small entry that take tens of milliseconds because each waiting urgent step searches all workers, most in vain.
test('a round at full workers searches for reservations of a bounded number of steps', () => {
  const failures: string[] = []
  for (const steps of [25, 160, 600]) {
    const search = WORKERS * (1 + TASKS_PER_WORKER) + TASKS_PER_STEP * (1 + TASKS_PER_WORKER)
    const items = WORKERS + steps
    const bound = Math.max(MIN_RESERVATION_EVALUATIONS, MAX_RESERVATION_EVALUATIONS_PER_ITEM * items) + MAX_FURTHER_SEARCHES * search + MAX_EVALUATIONS_PER_BLOCKED_ITEM * items
    const count = measureRounds({ workers: WORKERS, steps, readSize: (step) => 2 + step / 1000, policy: { targetLatencyMs: 10_000 } })
    if (count > bound) failures.push(`${steps} steps: ${count} > ${bound}`)
  }
  assert.equal(failures, [])
})

// Guards against the same bound keeping the most urgent step from its room.
test('the most urgent step preempts in the first round and starts in the next one, however many wait', () => {
  const planner = createFullPlanner(WORKERS)
  addUrgentSteps(planner, { workers: WORKERS, steps: 600, readSize: (step) => 2 + step / 1000, policy: { targetLatencyMs: 10_000 } })
  planner.addJob('first', createTestStepJob([createTestStep({ resources: { processors: 3.5, memoryMb: 1024, accelerators: 0 } })], { priority: 0, targetLatencyMs: 5000 }), ACCEPTED_STATE, 10)
  const { stops } = planner.decide(200, 200, () => true)
  for (const [number, { worker, job, occurrence, step, index, run }] of stops.entries()) {
    planner.recordReport(worker, { requestedAtMs: -Infinity, running: [], ended: [{ job, occurrence, step, index, run, number: number + 1, how: 'stopped', saved: '' }], hasMoreEnds: false }, 210, 210)
  }
  assert.ok(planner.decide(220, 220, () => true).starts.some((order) => order.job === 'first'), `${stops.length} stops`)
})

// Guards against a new holder's rounds that compose, for each waiting step anew, queries which a saturated advice service doesn't take.
test('a round composes no advice queries while the service takes none', () => {
  const steps = 40
  const planner = createPartitionPlanner()
  for (let index = 0; index < WORKERS; index++) {
    planner.setWorker({ id: `w${index}`, failureDomain: 'd', labels: ['kind', 'r'], capacity: { processors: CORES, memoryMb: 65_536, accelerators: 0 }, draining: false })
    planner.setSynced(`w${index}`, true)
  }
  addUrgentSteps(planner, { workers: WORKERS, steps, readSize: () => 2.7, policy: { advice: ADVICE } })
  let asked = 0
  planner.decide(20, 20, () => { throw new Error('a query was composed') }, {
    canSend: (costMs) => {
      asked++
      assert.is(costMs, ADVICE.decisionMs + ADVICE.eachMs)
      return false
    }
  })
  assert.is(asked, steps)
  assert.ok(planner.countEvaluations() <= 4 * (WORKERS + steps), `${planner.countEvaluations()} evaluations`)
})

// Guards against rounds that look, for each step whose tickets have expired, through all workers with room, and leave out the steps behind it.
test('a round evaluates no workers for steps whose tickets have expired', () => {
  const steps = 400
  const planner = createPartitionPlanner()
  const workers = Array.from({ length: WORKERS }, (_, index) => `w${index}`)
  for (const id of workers) {
    planner.setWorker({ id, failureDomain: 'd', labels: ['kind', 'r'], capacity: { processors: CORES, memoryMb: 65_536, accelerators: 0 }, draining: false })
    planner.setSynced(id, true)
  }
  addUrgentSteps(planner, { workers: WORKERS, steps, readSize: (step) => 2 + step / 1000, policy: { advice: ADVICE, priority: 1, targetLatencyMs: 10_000 } })
  for (let step = 0; step < steps; step++) planner.recordAdvice({ step: `urgent${step}.0.0`, workers, costMs: 0 }, new Map(workers.map((worker) => [worker, 'ticket'])), 20)
  let asked = 0
  const { starts } = planner.decide(20 + ADVICE.validityMs, 20 + ADVICE.validityMs, () => false, {
    canSend: () => {
      asked++
      return false
    }
  })
  assert.equal(starts, [])
  assert.is(asked, steps)
  assert.ok(planner.countEvaluations() <= 4 * (WORKERS + steps), `${planner.countEvaluations()} evaluations`)
})

test.run()
