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

test.run()
