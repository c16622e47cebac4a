/** Load pattern: poison pill, beside changes of the holder that hide crashes or count them twice. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ACCEPT_REQUEST, addJob, crashUnder, createWorld, loseWorker, startRuns, type World } from '../../testing/crashWorld.js'
import { createTestStep, createTestStepJob } from '../../testing/stepJobs.js'
import type { JobStateRecord } from '../index.js'

/** Time after which a crash of an earlier term is judged, in milliseconds. */
const VERDICT_MS = 1600

test('crash counts survive a change of the holder', () => {
  const world = createWorld(8)
  addJob(world, 'bad')
  crashUnder(world, 'bad', startRuns(world))
  const next = createWorld(8)
  next.nowMs = world.nowMs
  const spec = createTestStepJob([createTestStep({ resources: { processors: 1, memoryMb: 512, accelerators: 0 } })])
  next.planner.addJob('bad', spec, world.planner.readRecord('bad')!, next.nowMs, world.planner.readCrashRecord('bad')!)
  crashUnder(next, 'bad', startRuns(next))
  assert.is(next.planner.readPhase('bad'), 'failed')
})

test('a run of an earlier term that its worker does not know counts as a crash if the worker was born after the job was accepted', () => {
  const world = createWorld(2)
  const spec = createTestStepJob([createTestStep()], {}, { acceptedAtMs: 500 })
  for (const bornAtMs of [400, 600]) {
    const { planner } = world
    const job = `born at ${bornAtMs}`
    planner.addJob(job, spec, { phase: 'running', endedAtMs: 0, occurrences: [[0, [[[1, 1, 'w0', 0, '']]]]] }, world.nowMs)
    planner.recordWorkerBorn('w0', bornAtMs, () => false, world.nowMs, world.nowMs)
    planner.recordReport('w0', { requestedAtMs: world.nowMs, running: [], ended: [], hasMoreEnds: false }, world.nowMs, world.nowMs)
  }
  assert.is(world.planner.readCrashRecord('born at 400'), null)
  assert.equal(world.planner.readCrashRecord('born at 600'), [[0, 0, 0, 1, 0, 1, 1]])
})

/** Adds a job that runs alone at `w0`, is suspected, and has crashed some workers of its own in earlier terms. */
function addSuspectedRun ({ planner, nowMs }: World, job: string, soloCrashes: number, crashes = 1): void {
  const record = { phase: 'running' as const, endedAtMs: 0, occurrences: [[0, [[[1, 2, 'w0', 0, '']]]]] as JobStateRecord['occurrences'] }
  planner.addJob(job, createTestStepJob([createTestStep()], {}, { acceptedAtMs: 500 }), record, nowMs, [[0, 0, 0, crashes, soloCrashes, 2, 1]])
}

/** Lets workers respond for the first time in a term, in a life that began at `bornAtMs`, without runs. */
function startLife ({ planner, nowMs }: World, workers: readonly string[], bornAtMs: number): void {
  for (const worker of workers) {
    planner.recordWorkerBorn(worker, bornAtMs, () => false, nowMs, nowMs)
    planner.recordReport(worker, { requestedAtMs: nowMs, running: [], ended: [], hasMoreEnds: false }, nowMs, nowMs)
  }
}

test('a crash that no holder saw proves a task that ran apart, once, and never gives it up', () => {
  for (const soloCrashes of [0, 1]) {
    const world = createWorld(8)
    addSuspectedRun(world, 'bad', soloCrashes)
    startLife(world, ['w0'], 900)
    world.nowMs += VERDICT_MS
    assert.equal(startRuns(world).map(({ job }) => job), ['bad'])
    assert.equal(world.planner.readCrashRecord('bad')?.map(([,,, crashes, solo]) => [crashes, solo]), [[2, 1]])
  }
})

// Guards against BUDGET: changes of the holder hid one crash after the other, each beside starts of other workers.
test('a crash that no holder saw counts as proof after three that prove nothing, whatever else failed', () => {
  for (const soloCrashes of [0, 1]) {
    const world = createWorld(8)
    addSuspectedRun(world, 'bad', soloCrashes, 3 + soloCrashes)
    startLife(world, ['w1', 'w2', 'w3'], 950)
    startLife(world, ['w0'], 900)
    assert.equal(world.planner.readCrashRecord('bad')?.map(([,,, crashes, solo]) => [crashes, solo]), [[4 + soloCrashes, 1 + soloCrashes]])
    assert.is(world.planner.readPhase('bad'), soloCrashes === 0 ? 'running' : 'failed')
    world.nowMs += VERDICT_MS
    assert.is(startRuns(world).length, soloCrashes === 0 ? 1 : 0)
    assert.is(world.planner.readCrashRecord('bad')?.[0]?.[4], 1 + soloCrashes)
  }
})

// Guards against sound tasks that are given up for cuts: the row kept counts that had been withdrawn, and the next holder went on from them.
test('withdrawn crash counts are withdrawn from the record, too', () => {
  const world = createWorld(8)
  addJob(world, 'sound')
  const [start] = startRuns(world)
  loseWorker(world, start!.worker, 'silent')
  assert.is(world.planner.readCrashRecord('sound')?.length, 1)
  world.planner.recordWorkerSurvived(start!.worker)
  assert.equal(world.planner.readCrashRecord('sound'), [])
})

// Guards against a loss that is counted again when the worker is lost for another reason.
test('a crash that no holder saw is not proven again by a later loss of the worker', () => {
  const world = createWorld(8)
  addSuspectedRun(world, 'sound', 0)
  startLife(world, ['w0'], 900)
  world.nowMs += VERDICT_MS
  startRuns(world)
  loseWorker(world, 'w0', 'refused', ['w1', 'w2', 'w3'])
  assert.equal(world.planner.recordWorkerReplaced('w0', world.nowMs, world.nowMs), [])
  assert.is(world.planner.readPhase('sound'), 'running')
})

test('tasks that ran apart are not charged for a rack that was lost before the term', () => {
  const world = createWorld(8)
  addSuspectedRun(world, 'sound', 0)
  startLife(world, ['w0'], 900)
  world.nowMs += 1000
  startLife(world, ['w1', 'w2', 'w3'], 950)
  world.nowMs += VERDICT_MS
  assert.equal(startRuns(world).map(({ job }) => job), ['sound'])
  assert.is(world.planner.readCrashRecord('sound')?.[0]?.[4], 0)
})

// Guards against sound tasks that are given up for one crash: an order without a response stays at the lost worker until its next life.
test('one crash counts once against a run, although its order remains in doubt', () => {
  const world = createWorld(8)
  addJob(world, 'sound')
  const { starts: [start] } = world.planner.decide(world.nowMs, world.nowMs, ACCEPT_REQUEST)
  const { worker } = start!
  world.planner.recordWorkerFailing(worker, world.nowMs, true)
  const failedAtMs = world.nowMs
  for (const kind of ['refused', 'crashed'] as const) {
    world.nowMs += 3300
    if (kind === 'crashed') world.planner.recordWorkerReplaced(worker, world.nowMs, world.nowMs)
    world.planner.recordWorkerLost(worker, { kind, failedAtMs, nowMs: world.nowMs, wallMs: world.nowMs }, () => 'inDoubt')
  }
  assert.is(world.planner.readPhase('sound'), 'running')
  assert.equal(world.planner.readCrashRecord('sound'), [[0, 0, 0, 1, 0, 2, 1]])
  const next = createWorld(8)
  const spec = createTestStepJob([createTestStep()], {}, { acceptedAtMs: 500 })
  next.planner.addJob('sound', spec, world.planner.readRecord('sound')!, next.nowMs, world.planner.readCrashRecord('sound')!)
  startLife(next, [worker], 900)
  assert.equal(next.planner.readCrashRecord('sound'), [[0, 0, 0, 1, 0, 2, 1]])
})

// Guards against LOST: one crash made a task wait for a worker set apart, although its start was never confirmed (review/10).
for (const isAbrupt of [true, false]) {
  test(`a task whose start was not confirmed is ${isAbrupt ? 'a' : 'no'} suspect by one crash of a worker that ${isAbrupt ? 'broke its connections' : 'fell silent'}`, () => {
    const world = createWorld(8)
    addJob(world, 'sound')
    const { starts: [start] } = world.planner.decide(world.nowMs, world.nowMs, ACCEPT_REQUEST)
    const failedAtMs = world.nowMs
    world.planner.recordWorkerFailing(start!.worker, failedAtMs, isAbrupt)
    world.nowMs += 3300
    const { suspected } = world.planner.recordWorkerLost(start!.worker, { kind: 'crashed', failedAtMs, nowMs: world.nowMs, wallMs: world.nowMs })
    assert.is(suspected.length, isAbrupt ? 1 : 0)
  })
}

test.run()
