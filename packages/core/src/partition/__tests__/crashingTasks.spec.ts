/** Load pattern: poison pill. One task crashes each worker that starts it; others lie beside it, or lose their workers for other reasons. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ACCEPT_REQUEST, addJob, crashUnder, createWorld, loseWorker, RACK_SIZE, startRuns } from '../../testing/crashWorld.js'
import { createTestStep, createTestStepJob } from '../../testing/stepJobs.js'
import { ACCEPTED_STATE, type AdviceQuery, type StartOrder, type TrySendQuery } from '../index.js'

/** Time after which a task counts as having run for long, in milliseconds. */
const LONG_RUN_MS = 1000
/** Time after which a crash of an earlier term is judged, in milliseconds. */
const VERDICT_MS = 1600

test('a task that crashes two workers right after its start, the second one for itself, is given up', () => {
  const world = createWorld(8)
  addJob(world, 'bad')
  addJob(world, 'sound')
  const first = startRuns(world)
  assert.is(new Set(first.map(({ worker }) => worker)).size, 1, 'both share a worker')
  crashUnder(world, 'bad', first)
  assert.is(world.planner.readPhase('bad'), 'running')
  const second = startRuns(world)
  assert.is(new Set(second.map(({ worker }) => worker)).size, 2, 'each runs apart')
  crashUnder(world, 'bad', second)
  assert.is(world.planner.readPhase('bad'), 'failed')
  assert.is(world.planner.readPhase('sound'), 'running')
  assert.equal(startRuns(world), [])
})

test('a task that has run for a while at each crash is given up after it has crashed two workers for itself', () => {
  const world = createWorld(8)
  addJob(world, 'bad')
  addJob(world, 'sound')
  const crash = (): void => {
    const starts = startRuns(world)
    world.nowMs += LONG_RUN_MS
    crashUnder(world, 'bad', starts)
  }
  for (let shared = 0; shared < 2; shared++) crash()
  assert.is(world.planner.readPhase('bad'), 'running')
  crash()
  assert.is(world.planner.readPhase('bad'), 'running')
  crash()
  assert.is(world.planner.readPhase('bad'), 'failed')
  assert.is(world.planner.readPhase('sound'), 'running')
})

// Guards against LOST: the first worker had crashed under another job while the order was on its way, and one crash gave the job up.
test('a task is not given up for one crash if an order of unknown outcome went to a worker that another task had crashed', () => {
  const world = createWorld(8)
  addJob(world, 'other')
  const [other] = startRuns(world)
  addJob(world, 'bad')
  const [inDoubt] = world.planner.decide(world.nowMs, world.nowMs, ACCEPT_REQUEST).starts
  assert.is(inDoubt!.worker, other!.worker)
  loseWorker(world, other!.worker, 'crashed')
  for (const phase of ['running', 'failed']) {
    const start = startRuns(world).find(({ job }) => job === 'bad')
    loseWorker(world, start!.worker, 'crashed')
    assert.is(world.planner.readPhase('bad'), phase)
  }
})

// Guards against sound tasks that are given up for one crash of their own: only starts right before each of two crashes prove as much.
// Guards against LOST: a sound task was given up for two crashes, of which only one can have happened under it.
test('a crash counts against a task as far as the task can have run there', () => {
  // What was known of the run when its worker crashed, and the proofs that the crash is.
  const cells = [['unsent', null], ['alive', null], ['inDoubt', [1, 0]], ['lost', [1, 1]]] as const
  for (const [state, counts] of cells) {
    for (const kind of ['crashed', 'refused', 'silent'] as const) {
      const world = createWorld(8)
      addJob(world, 'sound')
      const [order] = world.planner.decide(world.nowMs, world.nowMs, ACCEPT_REQUEST).starts
      const { planner } = world
      if (state === 'lost') planner.recordStartConfirmed(order!, order!.worker, world.nowMs)
      planner.recordWorkerFailing(order!.worker, world.nowMs, kind !== 'silent')
      world.nowMs += 100
      planner.recordWorkerLost(order!.worker, { kind, failedAtMs: world.nowMs - 50, nowMs: world.nowMs, wallMs: world.nowMs }, () => state)
      planner.recordWorkerReplaced(order!.worker, world.nowMs, world.nowMs)
      const row = planner.readCrashRecord('sound')?.[0]
      assert.equal(row === undefined ? null : [row[3], row[4]], counts, `${state}, ${kind}`)
      if (state === 'inDoubt') planner.recordStartRefused(order!, 'notSent', world.nowMs)
      if (state === 'alive') continue
      const again = startRuns(world)
      assert.is(again.length, 1, `${state}, ${kind}`)
      loseWorker(world, again[0]!.worker, 'crashed')
      assert.is(planner.readPhase('sound'), state === 'lost' ? 'failed' : 'running', `${state}, ${kind}`)
    }
  }
})

// Guards against LOST: a stop that the next life of a worker answered passed for a start that the former life had confirmed (soak, wide seed 1006).
test('an order that was only fenced off is no proof for a crash of its worker', () => {
  const world = createWorld(8)
  addJob(world, 'sound')
  const [order] = world.planner.decide(world.nowMs, world.nowMs, ACCEPT_REQUEST).starts
  world.planner.recordOrderSettled(order!, order!.worker, world.nowMs)
  loseWorker(world, order!.worker, 'crashed')
  assert.equal(world.planner.readCrashRecord('sound')?.[0]?.slice(3, 5), [1, 0])
  const [again] = startRuns(world)
  loseWorker(world, again!.worker, 'crashed')
  assert.is(world.planner.readPhase('sound'), 'running')
})

// Guards against BUDGET: a task whose starts are never confirmed, because its workers crash before they respond.
test('a task that crashes its workers before they confirm its start is given up after five starts', () => {
  const world = createWorld(12)
  addJob(world, 'bad')
  let count = 0
  for (; world.planner.readPhase('bad') !== 'failed'; count++) {
    world.nowMs += 20_000
    const [order] = world.planner.decide(world.nowMs, world.nowMs, ACCEPT_REQUEST).starts
    if (order === undefined || count > 10) break
    world.nowMs += 3300
    world.planner.recordWorkerLost(order.worker, { kind: 'crashed', failedAtMs: world.nowMs - 3200, nowMs: world.nowMs, wallMs: world.nowMs }, () => 'inDoubt')
    world.planner.recordStartRefused(order, 'notSent', world.nowMs)
  }
  assert.is(world.planner.readPhase('bad'), 'failed')
  assert.ok(count <= 5, `${count} starts`)
})

test('a task that had run for a while at the crashes before is not given up for one crash right after its start', () => {
  const world = createWorld(8)
  for (const id of ['sound', 'neighbour']) addJob(world, id)
  for (let shared = 0; shared < 2; shared++) {
    const starts = startRuns(world)
    world.nowMs += LONG_RUN_MS
    crashUnder(world, 'sound', starts)
  }
  crashUnder(world, 'sound', startRuns(world))
  assert.is(world.planner.readPhase('sound'), 'running')
})

test('a crash at the same moment as another one is no proof by itself', () => {
  const world = createWorld(12)
  for (const id of ['sound', 'neighbour']) addJob(world, id)
  crashUnder(world, 'sound', startRuns(world))
  const second = startRuns(world).find(({ job }) => job === 'sound')
  const other = ['w5', 'w9'].find((id) => id !== second!.worker)!
  loseWorker(world, second!.worker, 'crashed', [other])
  assert.is(world.planner.readPhase('sound'), 'running')
})

test('tasks that had run for long beside a crash run among others, and apart only after a second crash', () => {
  const world = createWorld(4)
  for (const id of ['a', 'b', 'c']) addJob(world, id)
  const first = startRuns(world)
  world.nowMs += LONG_RUN_MS
  crashUnder(world, 'a', first)
  const second = startRuns(world)
  assert.is(new Set(second.map(({ worker }) => worker)).size, 1)
  world.nowMs += LONG_RUN_MS
  crashUnder(world, 'a', second)
  // One worker of three may be set apart at a time.
  const third = startRuns(world)
  assert.is(third.length, new Set(third.map(({ worker }) => worker)).size)
})

test('other jobs run on while a worker is set apart, and none of them joins it', () => {
  const world = createWorld(3)
  addJob(world, 'bad')
  crashUnder(world, 'bad', startRuns(world))
  const [apart] = startRuns(world)
  for (let job = 0; job < 16; job++) addJob(world, `sound${job}`)
  const others = startRuns(world)
  assert.is(others.length, 16)
  assert.ok(others.every(({ worker }) => worker !== apart!.worker))
  assert.is(startRuns(world).length, 0)
})

test('less urgent tasks that save their work leave a worker that is set apart', () => {
  const world = createWorld(2)
  addJob(world, 'bad', { resources: { processors: 8, memoryMb: 512, accelerators: 0 } })
  const [bad] = startRuns(world)
  const saving = createTestStep({ taskCount: 4, savesWork: true, estimateMs: 20_000 })
  world.planner.addJob('saving', createTestStepJob([saving], { priority: 2 }), ACCEPTED_STATE, world.nowMs)
  const others = startRuns(world)
  assert.is(others.length, 4)
  loseWorker(world, bad!.worker, 'crashed')
  world.planner.removeWorker(bad!.worker)
  const { starts, stops } = world.planner.decide(world.nowMs, world.nowMs, ACCEPT_REQUEST)
  assert.equal(starts, [])
  assert.equal(stops.map(({ job, reason, worker }) => [job, reason, worker]), others.map(({ worker }) => ['saving', 'preempted', worker]))
  for (const [number, { job, occurrence, step, index, run, worker }] of others.entries()) {
    const ended = [{ job, occurrence, step, index, run, number: number + 1, how: 'stopped' as const, saved: 's' }]
    world.planner.recordReport(worker, { requestedAtMs: world.nowMs, running: others.slice(number + 1).map((other) => ({ ...other, saved: '', percent: 0, load: 0 })), ended, hasMoreEnds: false }, world.nowMs, world.nowMs)
  }
  assert.equal(startRuns(world).map(({ job }) => job), ['bad'])
})

test('a worker that is set apart takes others again once its task has run for some seconds', () => {
  const world = createWorld(2)
  addJob(world, 'lasting', { longRunning: true })
  crashUnder(world, 'lasting', startRuns(world))
  const [apart] = startRuns(world)
  world.nowMs += 6000
  for (let job = 0; job < 15; job++) addJob(world, `sound${job}`)
  assert.ok(startRuns(world).some(({ worker }) => worker === apart!.worker))
})

for (const kind of ['refused', 'crashed'] as const) {
  test(`no task is suspected when its rack fails as a whole (${kind})`, () => {
    const world = createWorld(8)
    for (let crash = 0; crash < 4; crash++) {
      if (crash === 0) addJob(world, 'sound')
      const [start] = startRuns(world)
      const rack = Number(start!.worker.slice(1)) < RACK_SIZE ? ['w0', 'w1', 'w2', 'w3'] : ['w4', 'w5', 'w6', 'w7']
      const outcome = loseWorker(world, start!.worker, kind, rack.filter((id) => id !== start!.worker))
      assert.equal(outcome.suspected, [])
      for (const id of rack) world.planner.setSynced(id, true)
    }
    assert.is(world.planner.readPhase('sound'), 'running')
    assert.is(world.planner.readCrashRecord('sound'), null)
  })
}

test('tasks that crash workers of one rack at the same moment are no lost rack', () => {
  const world = createWorld(4)
  for (const id of ['bad1', 'bad2']) addJob(world, id, { resources: { processors: 5, memoryMb: 512, accelerators: 0 } })
  const starts = startRuns(world)
  assert.is(new Set(starts.map(({ worker }) => worker)).size, 2)
  const [first, second] = starts
  const outcome = loseWorker(world, first!.worker, 'crashed', [second!.worker])
  assert.is(outcome.suspected.length, 1)
})

test('silence casts some suspicion, and is no proof until another worker responds at the address', () => {
  const world = createWorld(8)
  addJob(world, 'sound')
  for (let cut = 1; cut <= 4; cut++) {
    const [start] = startRuns(world)
    assert.is(loseWorker(world, start!.worker, 'silent').suspected.length, cut > 1 ? 1 : 0)
    assert.equal(world.planner.readCrashRecord('sound')?.map(([,,, crashes, solo]) => [crashes, solo]), [[cut, 0]])
    world.nowMs += VERDICT_MS
  }
  assert.is(world.planner.readPhase('sound'), 'running')
  const [start] = startRuns(world)
  loseWorker(world, start!.worker, 'silent')
  world.planner.recordWorkerReplaced(start!.worker, world.nowMs, world.nowMs)
  assert.is(world.planner.readCrashRecord('sound')?.[0]?.[4], 1)
})

test('suspicion by silence is withdrawn when the worker responds in the same life', () => {
  const world = createWorld(8)
  addJob(world, 'sound')
  const [start] = startRuns(world)
  loseWorker(world, start!.worker, 'silent')
  world.planner.recordWorkerSurvived(start!.worker)
  assert.is(world.planner.readCrashRecord('sound'), null)
})

test('suspected tasks do not hide that a whole rack has failed', () => {
  const world = createWorld(8)
  const large = { resources: { processors: 5, memoryMb: 512, accelerators: 0 } }
  for (const id of ['a', 'b', 'c', 'd']) addJob(world, id, large)
  const starts = startRuns(world)
  for (const { worker } of starts) loseWorker(world, worker, 'crashed')
  for (let index = 0; index < RACK_SIZE; index++) world.planner.setSynced(`w${index}`, true)
  const again = startRuns(world)
  const before = again.map(({ job }) => world.planner.readCrashRecord(job)?.[0]?.[3])
  const inRack = again.filter(({ worker }) => Number(worker.slice(1)) < RACK_SIZE)
  assert.ok(inRack.length > 0)
  loseWorker(world, inRack[0]!.worker, 'crashed', ['w0', 'w1', 'w2', 'w3'].filter((id) => id !== inRack[0]!.worker))
  assert.equal(again.map(({ job }) => world.planner.readCrashRecord(job)?.[0]?.[3]), before)
})

// Guards against sound tasks that are given up when what is left of their rack fails, suspected tasks and all.
test('suspected tasks do not hide that the rest of a rack has failed', () => {
  const world = createWorld(12)
  const large = { resources: { processors: 5, memoryMb: 512, accelerators: 0 } }
  for (const id of ['a', 'b']) addJob(world, id, large)
  for (const { worker } of startRuns(world)) loseWorker(world, worker, 'crashed')
  for (const id of ['w0', 'w1', 'w2']) world.planner.setSynced(id, true)
  world.planner.setSynced('w3', false)
  const starts = startRuns(world)
  assert.equal(starts.map(({ worker }) => worker), ['w0', 'w1'])
  const failedAtMs = world.nowMs
  for (const id of ['w0', 'w1', 'w2']) world.planner.recordWorkerFailing(id, failedAtMs, true)
  world.nowMs += 3300
  for (const id of ['w0', 'w1', 'w2']) world.planner.recordWorkerLost(id, { kind: 'crashed', failedAtMs, nowMs: world.nowMs, wallMs: world.nowMs })
  for (const job of ['a', 'b']) assert.is(world.planner.readPhase(job), 'running')
})

test('a crash that is concluded from refused connections is withdrawn when the worker responds in the same life', () => {
  const world = createWorld(8)
  addJob(world, 'sound')
  for (let cut = 0; cut < 4; cut++) {
    const [start] = startRuns(world)
    assert.is(loseWorker(world, start!.worker, 'refused').suspected.length, 1)
    world.planner.recordWorkerSurvived(start!.worker)
    world.planner.setSynced(start!.worker, true)
  }
  assert.is(world.planner.readPhase('sound'), 'running')
  assert.is(world.planner.readCrashRecord('sound'), null)
})

test('the end of a draining worker counts against no task', () => {
  const world = createWorld(8)
  addJob(world, 'sound')
  for (let drain = 0; drain < 4; drain++) {
    const [start] = startRuns(world)
    assert.equal(loseWorker(world, start!.worker, 'left').suspected, [])
  }
  assert.is(world.planner.readPhase('sound'), 'running')
})

test('a start that may be the last waits for the proof of the crash before', () => {
  const world = createWorld(8)
  addJob(world, 'bad')
  crashUnder(world, 'bad', startRuns(world))
  const [second] = startRuns(world)
  loseWorker(world, second!.worker, 'refused')
  assert.is(world.planner.readPhase('bad'), 'running')
  assert.equal(startRuns(world), [])
  assert.equal(world.planner.recordWorkerReplaced(second!.worker, world.nowMs, world.nowMs).map(({ run }) => run), [2])
  assert.is(world.planner.readPhase('bad'), 'failed')
})

test('a gang with a task that crashes its worker starts as a whole, with its suspects apart, and fails as a whole', () => {
  const world = createWorld(8)
  const gang = { gang: true, taskCount: 4, resources: { processors: 5, memoryMb: 512, accelerators: 0 } }
  addJob(world, 'bad', gang)
  for (let crash = 0; crash < 3 && world.planner.readPhase('bad') !== 'failed'; crash++) {
    const starts = startRuns(world)
    assert.is(starts.length, 4)
    const bad = starts.find(({ index }) => index === 0)!
    const others = starts.filter((order) => order !== bad)
    crashUnder(world, 'bad', [bad])
    for (const order of others) {
      const { job, occurrence, step, index, run } = order
      world.planner.recordReport(order.worker, { requestedAtMs: world.nowMs, running: [], ended: [{ job, occurrence, step, index, run, number: crash + 1, how: 'broken', saved: '' }], hasMoreEnds: false }, world.nowMs, world.nowMs)
    }
  }
  assert.is(world.planner.readPhase('bad'), 'failed')
})

// Guards against LOST: a gang whose suspects need more workers than may be set apart at a time never started again.
test('a gang with suspects for several workers starts again in a small partition', () => {
  const world = createWorld(3)
  addJob(world, 'gang', { gang: true, taskCount: 3, resources: { processors: 5, memoryMb: 512, accelerators: 0 } })
  for (let crash = 0; crash < 3; crash++) {
    let starts: readonly StartOrder[] = []
    for (let round = 0; round < 20 && starts.length === 0; round++) {
      world.nowMs += 100
      starts = startRuns(world)
    }
    assert.is(starts.length, 3, `starts after ${crash} crashes`)
    // Another member's worker is lost each time.
    const lost = starts.find(({ index }) => index === crash)!
    loseWorker(world, lost.worker, 'crashed')
    world.planner.setSynced(lost.worker, true)
    for (const { job, occurrence, step, index, run, worker } of starts) {
      const ended = [{ job, occurrence, step, index, run, number: crash + 1, how: 'broken' as const, saved: '' }]
      if (worker !== lost.worker) world.planner.recordReport(worker, { requestedAtMs: world.nowMs, running: [], ended, hasMoreEnds: false }, world.nowMs, world.nowMs)
    }
  }
})

test('a worker that is set apart for a step with advice gets a ticket of its own', () => {
  const world = createWorld(2)
  const queries: AdviceQuery[] = []
  const trySend: TrySendQuery = (query) => queries.push(query) > 0
  const answer = (): void => {
    const query = queries.pop()!
    world.planner.recordAdvice(query, new Map(query.workers.map((worker) => [worker, `ticket of ${worker}`])), world.nowMs)
  }
  const advice = { decisionMs: 10, eachMs: 1, validityMs: 1500 }
  world.planner.addJob('bad', createTestStepJob([createTestStep()], { advice }), ACCEPTED_STATE, world.nowMs)
  startRuns(world, trySend)
  answer()
  crashUnder(world, 'bad', startRuns(world, trySend))
  assert.equal(startRuns(world, trySend), [])
  assert.is(queries.at(-1)?.workers.length, 1)
  answer()
  const [start] = startRuns(world, trySend)
  assert.is(start?.ticket, `ticket of ${start?.worker}`)
})

test.run()
