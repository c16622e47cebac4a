/** Tests the removal of ended jobs and the counts of waiting ones. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createTestStep, createTestStepJob } from '../../testing/stepJobs.js'
import { ACCEPTED_STATE, createPartitionPlanner } from '../index.js'

// Guards against ended jobs that are kept because one that ended later was added before them.
test('ended jobs are removed in order of their end, whatever the order in which they were added', () => {
  const planner = createPartitionPlanner()
  planner.addEndedJob('late', 'completed', 300)
  planner.addEndedJob('early', 'failed', 100)
  planner.addJob('middle', createTestStepJob([createTestStep()]), { ...ACCEPTED_STATE, phase: 'cancelled', endedAtMs: 200 }, 0)
  planner.addJob('live', createTestStepJob([createTestStep()]), ACCEPTED_STATE, 0)
  assert.equal(planner.removeEnded(100), [])
  assert.equal(planner.removeEnded(250), ['early', 'middle'])
  assert.not(planner.hasJob('early'))
  planner.cancelJob('live', 50)
  assert.equal(planner.removeEnded(60), ['live'])
  assert.equal(planner.removeEnded(1000), ['late'])
  assert.equal(planner.removeEnded(1000), [])
})

// Guards against the loss of a job whose run still occupies its worker.
test('an ended job stays until its last run has been released', () => {
  const planner = createPartitionPlanner()
  planner.setWorker({ id: 'w1', failureDomain: 'a', labels: [], capacity: { processors: 4, memoryMb: 65_536, accelerators: 0 }, draining: false })
  planner.setSynced('w1', true)
  planner.addJob('j', createTestStepJob([createTestStep()]), ACCEPTED_STATE, 0)
  planner.decide(0, 0, () => true)
  planner.cancelJob('j', 10)
  assert.equal(planner.removeEnded(1000), [])
  assert.is(planner.readPhase('j'), 'cancelled')
  planner.recordWorkerLost('w1', { kind: 'silent', failedAtMs: 20, nowMs: 20, wallMs: 20 })
  assert.equal(planner.removeEnded(1000), ['j'])
})

// Guards against counts of waiting jobs that drift from the jobs' phases, and against MIXED: a job whose first start was refused did not count as waiting.
test('a one-off job counts as waiting from its acceptance until its first start or its end', () => {
  const planner = createPartitionPlanner()
  planner.setWorker({ id: 'w1', failureDomain: 'a', labels: [], capacity: { processors: 2, memoryMb: 65_536, accelerators: 0 }, draining: false })
  const count = (): [string, number][] => [...planner.countWaiting()]
  for (const id of ['a', 'b', 'c']) planner.addJob(id, createTestStepJob([createTestStep()], { queue: id === 'c' ? 'other' : 'q' }), ACCEPTED_STATE, 0)
  planner.addJob('recurring', createTestStepJob([createTestStep()], {}, { runCount: 2, firstRunMs: 1000, intervalMs: 10 }), ACCEPTED_STATE, 0)
  assert.equal(count(), [['q', 2], ['other', 1]])
  planner.setSynced('w1', true)
  const [refused] = planner.decide(0, 0, () => true).starts
  assert.equal(count(), [['q', 2], ['other', 1]])
  planner.recordStartRefused(refused!, 'unavailable', 0)
  assert.equal(count(), [['q', 2], ['other', 1]])
  const [started] = planner.decide(1000, 1000, () => true).starts
  planner.recordStartConfirmed(started!, 'w1', 1000)
  assert.equal(count(), [['q', 1], ['other', 1]])
  planner.recordWorkerLost('w1', { kind: 'silent', failedAtMs: 1005, nowMs: 1005, wallMs: 1005 })
  assert.equal(count(), [['q', 1], ['other', 1]])
  const unstarted = started!.job === 'a' ? 'b' : 'a'
  planner.cancelJob(unstarted, 1010)
  planner.cancelJob(unstarted, 1011)
  assert.equal(count(), [['other', 1]])
})

test.run()
