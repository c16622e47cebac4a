/** Steps with and without valid tickets that compete for room and for the orders that a holder can send. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createTestStep, createTestStepJob } from '../../testing/stepJobs.js'
import { ACCEPTED_STATE, createPartitionPlanner, type AdviceQuery, type JobStep, type PartitionPlanner } from '../index.js'

const ADVICE = { decisionMs: 10, eachMs: 1, validityMs: 1500 }
const WORKERS = ['w1', 'w2']

function createPlanner (): PartitionPlanner {
  const planner = createPartitionPlanner()
  for (const id of WORKERS) {
    planner.setWorker({ id, failureDomain: 'a', labels: ['kind', 'r1'], capacity: { processors: 4, memoryMb: 65_536, accelerators: 0 }, draining: false })
    planner.setSynced(id, true)
  }
  return planner
}

function addJob (planner: PartitionPlanner, id: string, taskCount: number, changes: Partial<JobStep> = {}, isAdviceRequired = true): void {
  const step = createTestStep({ taskCount, resources: { processors: 1, memoryMb: 64, accelerators: 0 }, ...changes })
  planner.addJob(id, createTestStepJob([step], { priority: 0, ...(isAdviceRequired ? { advice: ADVICE } : {}) }), ACCEPTED_STATE, 0)
}

/** Gives the step of a job tickets for all workers. */
function giveTickets (planner: PartitionPlanner, job: string, nowMs: number): void {
  planner.recordAdvice({ step: `${job}.0.0`, workers: WORKERS, costMs: 0 }, new Map(WORKERS.map((worker) => [worker, 'ticket'])), nowMs)
}

// Guards against LOST: urgent steps that waited for advice reserved all room, and steps with valid tickets started nowhere.
test('a step that only waits for advice leaves the room to steps with tickets', () => {
  const planner = createPlanner()
  for (const id of ['a', 'b', 'c']) addJob(planner, id, 8)
  addJob(planner, 'd', 8)
  giveTickets(planner, 'd', 190)
  const { starts } = planner.decide(200, 200, () => false)
  assert.equal(starts.map(({ job }) => job), Array(8).fill('d'))
})

test('a gang without tickets keeps the room that it reserves', () => {
  const planner = createPlanner()
  addJob(planner, 'gang', 8, { gang: true })
  addJob(planner, 'small', 8)
  giveTickets(planner, 'small', 990)
  assert.is(planner.decide(1000, 1000, () => false).starts.length, 0)
})

test('a round decides no more starts with tickets than it may, most urgent steps first, and asks for advice ahead', () => {
  const planner = createPlanner()
  for (const id of ['a', 'b', 'c']) addJob(planner, id, 2)
  for (const id of ['a', 'b']) giveTickets(planner, id, 0)
  addJob(planner, 'free', 2, {}, false)
  const sent: AdviceQuery[] = []
  const { starts } = planner.decide(10, 10, (query) => sent.push(query) > 0, { maxTicketedStarts: 3 })
  assert.equal(starts.map(({ job, index }) => `${job}${index}`), ['free0', 'free1', 'a0', 'a1', 'b0'])
  assert.equal(sent.map(({ step }) => step), ['c.0.0'])
  assert.equal(planner.decide(20, 20, () => false, { maxTicketedStarts: 0 }).starts, [])
  assert.equal(planner.decide(30, 30, () => false, { maxTicketedStarts: 1 }).starts.map(({ job, index }) => `${job}${index}`), ['b1'])
})

test('a gang larger than the starts allowed starts as a whole', () => {
  const planner = createPlanner()
  addJob(planner, 'gang', 6, { gang: true })
  giveTickets(planner, 'gang', 0)
  assert.is(planner.decide(10, 10, () => false, { maxTicketedStarts: 2 }).starts.length, 6)
})

test.run()
