/** Calls are judged by the configuration in force, and not at all by one that may be out of date. */
import { buildStepJob, type ClusterConfig } from '@fuchsiatally/core'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { createTestStep } from '@fuchsiatally/core/testing/stepJobs'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CLUSTER_CONFIG } from '../../testing/partitionCluster.js'
import { createCallGate, type IncomingCall } from '../callGate.js'
import { runPartitionStop } from '../partitionStop.js'

const [OPEN] = CLUSTER_CONFIG.queues
const CONFIG: ClusterConfig = { ...CLUSTER_CONFIG, queues: [OPEN!, { ...OPEN!, name: 'closed', pathPrefix: '/closed/', public: false, timeoutMs: 2000 }] }
const CALL: IncomingCall = { host: OPEN!.host, path: '/closed/00', key: 'k1', patienceMs: null }

function createGate (state: { config?: ClusterConfig | null, isFresh?: boolean } = {}) {
  const clock = createFakeClock()
  const config = state.config === undefined ? CONFIG : state.config
  return { clock, judgeCall: createCallGate({ readConfig: () => config, isFresh: () => state.isFresh ?? true, clock }) }
}

test('a known key is admitted to its queue until the sooner of its own deadline and the limit of the queue', () => {
  const { clock, judgeCall } = createGate()
  for (const [patienceMs, limitMs] of [[null, 2000], [500, 500], [9000, 2000]] as const) {
    const verdict = judgeCall({ ...CALL, patienceMs })
    assert.is(verdict.kind, 'admitted')
    if (verdict.kind !== 'admitted') continue
    assert.equal([verdict.call.queue.name, verdict.call.team?.name, verdict.call.id, verdict.call.deadlineMs - clock.nowMs()], ['closed', 'clubs', '00', limitMs])
  }
})

test('unknown queues and keys are refused for good, a missing configuration for now', () => {
  const { judgeCall } = createGate()
  assert.is(judgeCall({ ...CALL, path: '/nowhere/00' }).kind, 'noQueue')
  assert.is(judgeCall({ ...CALL, key: 'other' }).kind, 'unknownKey')
  assert.is(judgeCall({ ...CALL, key: '' }).kind, 'unknownKey')
  assert.is(createGate({ config: null }).judgeCall(CALL).kind, 'unready')
})

test('on old knowledge no key is judged, neither a known nor an unknown one; an open queue serves callers without one', () => {
  const { judgeCall } = createGate({ isFresh: false })
  for (const key of ['k1', 'other', '']) assert.is(judgeCall({ ...CALL, key }).kind, 'unready')
  assert.is(judgeCall({ ...CALL, path: '/proof/00', key: 'k1' }).kind, 'unready')
  assert.is(judgeCall({ ...CALL, path: '/proof/00', key: '' }).kind, 'admitted')
})

test('a submission becomes a job under its queue and team; a fault names the field', () => {
  const submission = { payload: 'text', steps: [createTestStep()], runCount: 0, firstRunMs: 0, intervalMs: 0 }
  const job = buildStepJob(submission, OPEN!, CONFIG.teams[0]!, 5)._unsafeUnwrap()
  assert.equal([job.team, job.policy.queue, job.policy.teamJobsPerS, job.acceptedAtMs], ['clubs', 'proof', 1, 5])
  assert.is(buildStepJob(submission, OPEN!, null, 5)._unsafeUnwrap().policy.teamJobsPerS, undefined)
  assert.match(buildStepJob({ ...submission, steps: [] }, OPEN!, null, 5)._unsafeUnwrapErr(), 'steps')
})

test('a planned stop serves callers that still arrive after its cells are handed over', async () => {
  const clock = createFakeClock()
  const events = createMemoryEventLog()
  const done: string[] = []
  const stopped = runPartitionStop({
    entry: { release: async () => { done.push('released') } },
    callers: { stop: async () => { done.push('closed') } },
    name: 'a',
    lingerMs: 3000,
    clock,
    events
  })
  await clock.runFor(2900)
  assert.equal(done, ['released'])
  await clock.runFor(200)
  await stopped
  assert.equal(done, ['released', 'closed'])
  assert.equal(events.listFields('FT862'), [{ entry: 'a' }])
})

test.run()
