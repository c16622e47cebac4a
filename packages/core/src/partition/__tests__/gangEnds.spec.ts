/** Ends of gang members: a gang fails, or is done, as a whole. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createTestStep, createTestStepJob } from '../../testing/stepJobs.js'
import { ACCEPTED_STATE, createPartitionPlanner, type ListedEnd, type PartitionPlanner, type StartOrder } from '../index.js'

const WORKERS = ['w1', 'w2', 'w3']
const SPEC = createTestStepJob([createTestStep({ taskCount: 3, gang: true }), createTestStep({ after: [0] })], { maxAttempts: 2 })

function addWorkers (planner: PartitionPlanner): void {
  for (const id of WORKERS) {
    planner.setWorker({ id, failureDomain: 'a', labels: [], capacity: { processors: 2, memoryMb: 65_536, accelerators: 0 }, draining: false })
    planner.setSynced(id, true)
  }
}

function decideStarts (planner: PartitionPlanner, nowMs: number): readonly StartOrder[] {
  const { starts } = planner.decide(nowMs, nowMs, () => true)
  for (const order of starts) planner.recordStartConfirmed(order, order.worker, nowMs)
  return starts
}

let lastNumber = 0
function endRun (planner: PartitionPlanner, { job, occurrence, step, index, run, worker }: StartOrder, how: ListedEnd['how'], nowMs: number): void {
  lastNumber++
  planner.recordReport(worker, { requestedAtMs: nowMs, running: [], ended: [{ job, occurrence, step, index, run, number: lastNumber, how, saved: '' }], hasMoreEnds: false }, nowMs, nowMs)
}

/** Starts a gang of three members at three workers. */
function startGang (): { planner: PartitionPlanner, members: readonly StartOrder[] } {
  const planner = createPartitionPlanner()
  addWorkers(planner)
  planner.addJob('g', SPEC, ACCEPTED_STATE, 0)
  const members = decideStarts(planner, 10)
  assert.is(members.length, 3)
  return { planner, members }
}

/** Creates the planner of a successor from the stored state. */
function replaceHolder (planner: PartitionPlanner): PartitionPlanner {
  const next = createPartitionPlanner()
  addWorkers(next)
  next.addJob('g', SPEC, planner.readRecord('g')!, 0)
  return next
}

// Guards against giving a gang up after fewer runs than allowed because several members failed in the same run.
test('members that fail in one run are one failed attempt of their gang', () => {
  const { planner, members } = startGang()
  endRun(planner, members[0]!, 'failed', 20)
  endRun(planner, members[1]!, 'failed', 21)
  endRun(planner, members[2]!, 'broken', 22)
  assert.is(planner.readPhase('g'), 'running')
  const again = decideStarts(planner, 30)
  assert.equal(again.map(({ run }) => run), [2, 2, 2])
  endRun(planner, again[2]!, 'failed', 40)
  assert.is(planner.readPhase('g'), 'failed')
})

// Guards against counting the second failure of a run again because a successor reads it.
test('a member that failed in the same run is no further attempt for a successor', () => {
  const { planner, members } = startGang()
  endRun(planner, members[0]!, 'failed', 20)
  const next = replaceHolder(planner)
  endRun(next, members[1]!, 'failed', 30)
  endRun(next, members[2]!, 'broken', 31)
  assert.is(next.readPhase('g'), 'running')
  const again = decideStarts(next, 40)
  assert.equal(again.map(({ run }) => run), [2, 2, 2])
  endRun(next, again[0]!, 'failed', 50)
  assert.is(replaceHolder(next).readPhase('g'), 'failed')
})

test('a member whose failure becomes known after the next run was ordered is no further attempt', () => {
  const { planner, members } = startGang()
  endRun(planner, members[0]!, 'failed', 20)
  endRun(planner, members[2]!, 'broken', 21)
  planner.recordWorkerLost(members[1]!.worker, { kind: 'silent', failedAtMs: 22, nowMs: 22, wallMs: 22 })
  planner.setSynced(members[1]!.worker, true)
  const again = decideStarts(planner, 5000)
  assert.is(again.length, 3)
  endRun(planner, members[1]!, 'failed', 5010)
  assert.is(planner.readPhase('g'), 'running')
})

// Guards against a gang that is never started again, because one member is done by a late end while the others wait.
test('a late end of one member completes its gang, whether the others wait or run again', () => {
  for (const isRestarted of [false, true]) {
    const { planner, members } = startGang()
    for (const { worker } of members) planner.recordWorkerLost(worker, { kind: 'silent', failedAtMs: 20, nowMs: 20, wallMs: 20 })
    if (isRestarted) {
      for (const id of WORKERS) planner.setSynced(id, true)
      assert.is(decideStarts(planner, 5000).length, 3)
    }
    endRun(planner, members[1]!, 'done', 5010)
    const { starts, stops } = planner.decide(5020, 5020, () => true)
    // The worker that reports the end lists no other run.
    assert.equal(stops.map(({ run, reason }) => [run, reason]), isRestarted ? [[2, 'superseded'], [2, 'superseded']] : [])
    for (const id of WORKERS) planner.setSynced(id, true)
    assert.equal([...starts, ...decideStarts(planner, 5030)].map(({ step }) => step), [1])
    assert.equal(planner.countBacklog(), { steps: 0, tasks: 0 })
  }
})

// Guards against the same in the usual order of reports: the worker of one member says that the gang is over before another says that it is done.
test('a member that was ended by its gang counts as done with it', () => {
  const { planner, members } = startGang()
  endRun(planner, members[0]!, 'broken', 20)
  endRun(planner, members[1]!, 'done', 21)
  endRun(planner, members[2]!, 'done', 22)
  assert.equal(decideStarts(planner, 30).map(({ step, run }) => [step, run]), [[1, 1]])
})

test.run()
