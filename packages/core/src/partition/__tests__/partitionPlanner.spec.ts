/** Tests the partition planner on typical load patterns: overload, preemption, gangs, advice, stragglers and takeover. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createTestStep, createTestStepJob } from '../../testing/stepJobs.js'
import { ACCEPTED_STATE, createPartitionPlanner, type AdviceQuery, type PartitionPlanner, type ListedEnd, type StartOrder, type TrySendQuery } from '../index.js'

const ACCEPT_REQUEST: TrySendQuery = () => true

function createPlanner (workers: Readonly<Record<string, number>>, accelerators = 0): PartitionPlanner {
  const planner = createPartitionPlanner()
  for (const [id, processors] of Object.entries(workers)) {
    planner.setWorker({ id, failureDomain: 'a', labels: ['kind', id === 'far' ? 'r2' : 'r1'], capacity: { processors, memoryMb: 65536, accelerators }, draining: false })
    planner.setSynced(id, true)
  }
  return planner
}

function endRun (
  planner: PartitionPlanner, order: StartOrder, how: ListedEnd['how'], number: number, nowMs: number, saved = '', others: readonly StartOrder[] = []
): void {
  const { job, occurrence, step, index, run } = order
  const running = others.filter((other) => other !== order).map((other) => ({ ...other, saved: '', percent: 10, load: 0 }))
  planner.recordReport(order.worker, { requestedAtMs: nowMs, running, ended: [{ job, occurrence, step, index, run, number, how, saved }], hasMoreEnds: false }, nowMs, nowMs)
}

function recordStarts (planner: PartitionPlanner, starts: readonly StartOrder[], nowMs: number): void {
  for (const order of starts) planner.recordStartConfirmed(order, order.worker, nowMs)
}

test('a step waits for all tasks of the steps before it', () => {
  const planner = createPlanner({ w1: 8 })
  planner.addJob('j', createTestStepJob([createTestStep({ taskCount: 2 }), createTestStep({ after: [0] })]), ACCEPTED_STATE, 0)
  const first = planner.decide(0, 0, ACCEPT_REQUEST).starts
  assert.equal(first.map((order) => order.step), [0, 0])
  endRun(planner, first[0]!, 'done', 1, 10)
  assert.is(planner.decide(10, 10, ACCEPT_REQUEST).starts.length, 0)
  endRun(planner, first[1]!, 'done', 2, 20)
  assert.equal(planner.decide(20, 20, ACCEPT_REQUEST).starts.map((order) => order.step), [1])
})

test('work that can still meet its objective goes first, then late work, then work that can earn no credit', () => {
  const planner = createPlanner({ w1: 2 })
  const step = createTestStep({ estimateMs: 1000 })
  planner.addJob('hopeless', createTestStepJob([step], { priority: 0 }, { acceptedAtMs: -60_000 }), ACCEPTED_STATE, 0)
  planner.addJob('late', createTestStepJob([step], { priority: 0 }, { acceptedAtMs: -6000 }), ACCEPTED_STATE, 0)
  planner.addJob('onTime', createTestStepJob([step], { priority: 2 }), ACCEPTED_STATE, 0)
  const order: string[] = []
  for (let round = 1; round <= 3; round++) {
    const [start] = planner.decide(round, 0, ACCEPT_REQUEST).starts
    order.push(start!.job)
    endRun(planner, start!, 'done', round, round)
  }
  assert.equal(order, ['onTime', 'late', 'hopeless'])
})

test('under overload, jobs beyond a team’s guaranteed rate go behind the jobs of other teams', () => {
  const planner = createPlanner({ w1: 4 })
  const step = createTestStep({ taskCount: 2 })
  const addJobs = (team: string, count: number, fromMs: number): void => {
    for (let job = 0; job < count; job++) {
      planner.addJob(`${team}${job}`, createTestStepJob([step], { priority: 0, teamJobsPerS: 3 }, { team, acceptedAtMs: fromMs + job }), ACCEPTED_STATE, 0)
    }
  }
  addJobs('hot', 30, 0)
  addJobs('calm', 3, 40)
  const order: string[] = []
  for (let round = 1; order.length < 6; round++) {
    const { starts } = planner.decide(round, 0, ACCEPT_REQUEST)
    recordStarts(planner, starts, round)
    for (const start of starts) {
      if (start.index === 0) order.push(start.job)
      endRun(planner, start, 'done', 100 * round + starts.indexOf(start), round + 1, '', starts.slice(starts.indexOf(start)))
    }
  }
  assert.equal(order.sort(), ['calm0', 'calm1', 'calm2', 'hot0', 'hot1', 'hot2'])
})

test('without overload, jobs beyond a team’s guaranteed rate start at once', () => {
  const planner = createPlanner({ w1: 60 })
  for (let job = 0; job < 30; job++) {
    planner.addJob(`hot${job}`, createTestStepJob([createTestStep()], { teamJobsPerS: 3 }, { team: 'hot', acceptedAtMs: job }), ACCEPTED_STATE, 0)
  }
  assert.is(planner.decide(1, 40, ACCEPT_REQUEST).starts.length, 30)
})

test('a provisional ceiling causes no preemption', () => {
  const planner = createPlanner({ w1: 16 })
  const noRoom = new Map([['clubs', { processors: 4, memoryMb: 65_536, accelerators: 0 }]])
  planner.addJob('slow', createTestStepJob([createTestStep({ taskCount: 2, savesWork: true })], { priority: 2 }), ACCEPTED_STATE, 0)
  recordStarts(planner, planner.decide(0, 0, ACCEPT_REQUEST).starts, 1)
  planner.setTeamLimits(noRoom, false)
  planner.addJob('urgent', createTestStepJob([createTestStep()], { priority: 0 }), ACCEPTED_STATE, 10)
  assert.equal(planner.decide(200, 200, ACCEPT_REQUEST), { starts: [], stops: [], isolation: [] })
  assert.is(planner.listTeamDemand().get('clubs')?.blocked.processors, 2)
  planner.setTeamLimits(noRoom)
  assert.is(planner.decide(210, 210, ACCEPT_REQUEST).stops.length, 1)
})

test('an urgent step preempts lower-priority tasks, which resume from their checkpoints', () => {
  const planner = createPlanner({ w1: 4 })
  planner.addJob('slow', createTestStepJob([createTestStep({ taskCount: 2, savesWork: true })], { priority: 2 }), ACCEPTED_STATE, 0)
  const slow = planner.decide(0, 0, ACCEPT_REQUEST).starts
  recordStarts(planner, slow, 1)
  planner.addJob('urgent', createTestStepJob([createTestStep()], { priority: 0 }), ACCEPTED_STATE, 10)
  assert.is(planner.decide(10, 10, ACCEPT_REQUEST).stops.length, 0)
  const [stop] = planner.decide(200, 200, ACCEPT_REQUEST).stops
  assert.is(stop?.reason, 'preempted')
  const stopped = slow.find((order) => order.index === stop!.index)!
  endRun(planner, stopped, 'stopped', 1, 300, 'half', slow)
  const urgent = planner.decide(300, 300, ACCEPT_REQUEST).starts
  assert.equal(urgent.map((order) => order.job), ['urgent'])
  recordStarts(planner, urgent, 301)
  endRun(planner, urgent[0]!, 'done', 2, 900, '', slow.filter((order) => order !== stopped))
  assert.equal(planner.decide(900, 900, ACCEPT_REQUEST).starts.map((order) => [order.job, order.run, order.saved]), [['slow', 2, 'half']])
})

test('tasks without checkpoints are not preempted', () => {
  const planner = createPlanner({ w1: 2 })
  planner.addJob('slow', createTestStepJob([createTestStep()], { priority: 2 }), ACCEPTED_STATE, 0)
  recordStarts(planner, planner.decide(0, 0, ACCEPT_REQUEST).starts, 1)
  planner.addJob('urgent', createTestStepJob([createTestStep()], { priority: 0 }), ACCEPTED_STATE, 10)
  assert.is(planner.decide(500, 500, ACCEPT_REQUEST).stops.length, 0)
})

test('at its ceiling, a team’s urgent tasks preempt only the team’s own lower-priority tasks', () => {
  const planner = createPlanner({ w1: 16 })
  planner.setTeamLimits(new Map([['clubs', { processors: 4, memoryMb: Infinity, accelerators: Infinity }]]))
  planner.addJob('own', createTestStepJob([createTestStep({ taskCount: 2, savesWork: true })], { priority: 2 }), ACCEPTED_STATE, 0)
  planner.addJob('other', createTestStepJob([createTestStep({ taskCount: 2, savesWork: true })], { priority: 2 }, { team: 'schools' }), ACCEPTED_STATE, 0)
  recordStarts(planner, planner.decide(0, 0, ACCEPT_REQUEST).starts, 1)
  planner.addJob('urgent', createTestStepJob([createTestStep()], { priority: 0 }), ACCEPTED_STATE, 10)
  const { starts, stops } = planner.decide(300, 300, ACCEPT_REQUEST)
  assert.is(starts.length, 0)
  assert.equal(stops.map((stop) => stop.job), ['own'])
})

test('a large task is not starved by small ones submitted later', () => {
  const planner = createPlanner({ w1: 8 })
  planner.addJob('small', createTestStepJob([createTestStep({ taskCount: 3 })], { priority: 2 }), ACCEPTED_STATE, 0)
  const small = planner.decide(0, 0, ACCEPT_REQUEST).starts
  recordStarts(planner, small, 1)
  planner.addJob('large', createTestStepJob([createTestStep({ resources: { processors: 8, memoryMb: 1024, accelerators: 0 } })], { priority: 1, targetLatencyMs: 60_000 }), ACCEPTED_STATE, 10)
  planner.decide(10, 10, ACCEPT_REQUEST)
  planner.addJob('later', createTestStepJob([createTestStep({ taskCount: 4 })], { priority: 2, targetLatencyMs: 60_000 }), ACCEPTED_STATE, 20)
  for (const [index, order] of small.entries()) endRun(planner, order, 'done', index + 1, 1000 + index)
  assert.equal(planner.decide(1100, 1100, ACCEPT_REQUEST).starts.map((order) => order.job), ['large'])
})

test('advice is queried only for capacity that no higher-ranked step has reserved', () => {
  const planner = createPlanner({ w1: 2 })
  const advice = { decisionMs: 10, eachMs: 1, validityMs: 1500 }
  planner.addJob('first', createTestStepJob([createTestStep()], { priority: 0, advice }), ACCEPTED_STATE, 0)
  planner.addJob('second', createTestStepJob([createTestStep()], { priority: 1, advice }), ACCEPTED_STATE, 0)
  const queriedSteps: string[] = []
  planner.decide(0, 0, (query) => queriedSteps.push(query.step) > 0)
  assert.equal(queriedSteps, ['first.0.0'])
})

/** Rounds of 10 ms with an advice service that allows each third worker; returns the queries and the time of the first start, or `null`. */
function runWithAdvice (planner: PartitionPlanner, untilMs: number): { queries: string[][], startedAtMs: number | null } {
  const queries: string[][] = []
  for (let nowMs = 0; nowMs <= untilMs; nowMs += 10) {
    const sent: AdviceQuery[] = []
    const { starts } = planner.decide(nowMs, nowMs, (query) => sent.push(query) > 0)
    for (const query of sent) {
      queries.push([...query.workers])
      planner.recordAdvice(query, new Map(query.workers.filter((worker) => Number(worker.slice(1)) % 3 === 0).map((worker) => [worker, 'ticket'])), nowMs)
    }
    if (starts.length > 0) return { queries, startedAtMs: nowMs }
  }
  return { queries, startedAtMs: null }
}

function createUniformPlanner (count: number, processors: number): PartitionPlanner {
  return createPlanner(Object.fromEntries(Array.from({ length: count }, (_, index) => [`w${index}`, processors])))
}

// Guards against gangs that wait, one validity of their tickets after the other, while workers that nobody asked for have room.
test('a gang that does not fit the workers with tickets asks for others at once', () => {
  const advice = { decisionMs: 10, eachMs: 1, validityMs: 2000 }
  const planner = createUniformPlanner(245, 2)
  planner.addJob('gang', createTestStepJob([createTestStep({ taskCount: 30, gang: true })], { priority: 1, advice }), ACCEPTED_STATE, 0)
  const { queries, startedAtMs } = runWithAdvice(planner, 1500)
  assert.ok(startedAtMs !== null && startedAtMs <= 100, `started at ${startedAtMs}`)
  assert.is(new Set(queries.flat()).size, queries.flat().length, 'a worker with a valid ticket was asked for again')
  assert.ok(queries.length >= 2 && queries.length <= 3, `${queries.length} queries`)
})

test('a gang that would not fit with all workers either asks for no others while its tickets are valid', () => {
  const advice = { decisionMs: 10, eachMs: 1, validityMs: 2000 }
  const planner = createUniformPlanner(245, 2)
  planner.addJob('gang', createTestStepJob([createTestStep({ taskCount: 300, gang: true, resources: { processors: 2, memoryMb: 64, accelerators: 0 } })], { priority: 1, advice }), ACCEPTED_STATE, 0)
  assert.is(runWithAdvice(planner, 1500).queries.length, 1)
})

test('a step runs only where it has a ticket, and queries advice again after it expires', () => {
  const planner = createPlanner({ w1: 2, w2: 2 })
  const advice = { decisionMs: 10, eachMs: 1, validityMs: 1500 }
  planner.addJob('j', createTestStepJob([createTestStep({ taskCount: 2 })], { priority: 0, advice }), ACCEPTED_STATE, 0)
  const queries: Parameters<TrySendQuery>[0][] = []
  const trySend: TrySendQuery = (query) => queries.push(query) > 0
  assert.is(planner.decide(0, 0, trySend).starts.length, 0)
  planner.recordAdvice(queries[0]!, new Map([['w2', 'ticket']]), 20)
  const [start] = planner.decide(20, 20, trySend).starts
  assert.is(start?.worker, 'w2')
  assert.is(start?.ticket, 'ticket')
  endRun(planner, start!, 'done', 1, 2000)
  assert.is(planner.decide(2000, 2000, trySend).starts.length, 0)
  assert.equal(queries[1]?.workers, ['w2'])
})

test('a gang starts as a whole or not at all, and restarts as a whole after a member failed', () => {
  const planner = createPlanner({ w1: 4, w2: 2 })
  planner.addJob('g', createTestStepJob([createTestStep({ taskCount: 4, gang: true })]), ACCEPTED_STATE, 0)
  assert.is(planner.decide(0, 0, ACCEPT_REQUEST).starts.length, 0)
  planner.setWorker({ id: 'w3', failureDomain: 'a', labels: [], capacity: { processors: 2, memoryMb: 65536, accelerators: 0 }, draining: false })
  planner.setSynced('w3', true)
  const members = planner.decide(10, 10, ACCEPT_REQUEST).starts
  assert.is(members.length, 4)
  recordStarts(planner, members, 11)
  endRun(planner, members[0]!, 'failed', 1, 20)
  assert.is(planner.decide(20, 20, ACCEPT_REQUEST).starts.length, 0)
  for (const [index, member] of members.slice(1).entries()) {
    planner.recordReport(member.worker, { requestedAtMs: 5, running: [], ended: [{ ...member, number: index + 2, how: 'broken', saved: '' }], hasMoreEnds: false }, 30, 30)
  }
  const again = planner.decide(40, 40, ACCEPT_REQUEST).starts
  assert.equal(again.map((member) => member.run), [2, 2, 2, 2])
})

test('maxPerWorker limits the tasks of a step on one worker', () => {
  const planner = createPlanner({ w1: 16, w2: 16 })
  planner.addJob('j', createTestStepJob([createTestStep({ taskCount: 5, maxPerWorker: 2 })]), ACCEPTED_STATE, 0)
  const counts = new Map<string, number>()
  for (const { worker } of planner.decide(0, 0, ACCEPT_REQUEST).starts) counts.set(worker, (counts.get(worker) ?? 0) + 1)
  assert.equal([...counts.values()], [2, 2])
})

test('tasks run in the rack of their data unless it is full', () => {
  const planner = createPlanner({ far: 16, w1: 4 })
  planner.addJob('j', createTestStepJob([createTestStep({ taskCount: 3, dataRack: 'r1' })]), ACCEPTED_STATE, 0)
  assert.equal(planner.decide(0, 0, ACCEPT_REQUEST).starts.map((order) => order.worker).sort(), ['far', 'w1', 'w1'])
})

test('each occurrence of a recurring job starts when it is due, even while the previous one runs', () => {
  const planner = createPlanner({ w1: 16 })
  planner.addJob('j', createTestStepJob([createTestStep()], {}, { runCount: 3, firstRunMs: 1000, intervalMs: 500 }), ACCEPTED_STATE, 0)
  assert.is(planner.decide(0, 999, ACCEPT_REQUEST).starts.length, 0)
  assert.equal(planner.decide(1, 1000, ACCEPT_REQUEST).starts.map((order) => order.occurrence), [0])
  assert.equal(planner.decide(2, 2000, ACCEPT_REQUEST).starts.map((order) => order.occurrence), [1, 2])
  assert.is(planner.readPhase('j'), 'running')
})

test('a stalled run is stopped and restarted elsewhere; a slow one is left running', () => {
  const planner = createPlanner({ w1: 2, w2: 2 })
  planner.addJob('j', createTestStepJob([createTestStep({ taskCount: 2 })]), ACCEPTED_STATE, 0)
  const starts = planner.decide(0, 0, ACCEPT_REQUEST).starts
  recordStarts(planner, starts, 1)
  const [hung, slow] = starts
  for (let second = 1; second <= 4; second++) {
    planner.recordReport(hung!.worker, { requestedAtMs: second * 1000, running: [{ ...hung!, saved: '', percent: 20, load: 0 }], ended: [], hasMoreEnds: false }, second * 1000, 0)
    planner.recordReport(slow!.worker, { requestedAtMs: second * 1000, running: [{ ...slow!, saved: '', percent: 20 + second, load: 0 }], ended: [], hasMoreEnds: false }, second * 1000, 0)
  }
  const { stops } = planner.decide(4000, 0, ACCEPT_REQUEST)
  assert.equal(stops.map((stop) => [stop.index, stop.reason]), [[hung!.index, 'stalled']])
  endRun(planner, slow!, 'done', 1, 4100)
  endRun(planner, hung!, 'stopped', 2, 4200)
  assert.equal(planner.decide(4200, 0, ACCEPT_REQUEST).starts.map((order) => order.worker), [slow!.worker])
})

test('a ten-minute run whose progress rarely changes is not considered stalled', () => {
  const planner = createPlanner({ w1: 2 })
  planner.addJob('j', createTestStepJob([createTestStep({ estimateMs: 600_000 })]), ACCEPTED_STATE, 0)
  const starts = planner.decide(0, 0, ACCEPT_REQUEST).starts
  recordStarts(planner, starts, 1)
  const report = (atMs: number): void => {
    planner.recordReport('w1', { requestedAtMs: atMs, running: [{ ...starts[0]!, saved: '', percent: 3, load: 0 }], ended: [], hasMoreEnds: false }, atMs, 0)
  }
  report(1000)
  report(20_000)
  assert.equal(planner.decide(20_000, 0, ACCEPT_REQUEST).stops, [])
  report(40_000)
  assert.is(planner.decide(40_000, 0, ACCEPT_REQUEST).stops.length, 1)
})

test('a long-running task is restarted however it ends, without a limit', () => {
  const planner = createPlanner({ w1: 16 })
  planner.addJob('j', createTestStepJob([createTestStep({ longRunning: true })], { maxAttempts: 1 }), ACCEPTED_STATE, 0)
  for (let run = 1; run <= 5; run++) {
    const [start] = planner.decide(run * 10_000, 0, ACCEPT_REQUEST).starts
    assert.is(start?.run, run)
    endRun(planner, start!, run % 2 === 0 ? 'failed' : 'done', run, run * 10_000 + 10)
  }
  assert.is(planner.readPhase('j'), 'running')
})

test('after a takeover, runs in the table count as running until the worker reports', () => {
  const before = createPlanner({ w1: 4 })
  before.addJob('j', createTestStepJob([createTestStep({ taskCount: 2 })]), ACCEPTED_STATE, 0)
  before.decide(0, 0, ACCEPT_REQUEST)
  const record = before.readRecord('j')!
  const planner = createPlanner({ w1: 4 })
  planner.setSynced('w1', false)
  planner.addJob('j', createTestStepJob([createTestStep({ taskCount: 2 })]), record, 0)
  assert.is(planner.decide(10, 10, ACCEPT_REQUEST).starts.length, 0)
  planner.recordReport('w1', {
    requestedAtMs: 20, running: [{ job: 'j', occurrence: 0, step: 0, index: 0, run: 1, saved: '', percent: 10, load: 0 }], ended: [], hasMoreEnds: false
  }, 25, 25)
  planner.setSynced('w1', true)
  const starts = planner.decide(30, 30, ACCEPT_REQUEST).starts
  assert.equal(starts.map(({ index, run }) => ({ index, run })), [{ index: 1, run: 2 }])
})

test.run()
