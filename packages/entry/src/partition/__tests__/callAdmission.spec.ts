/** Calls are admitted by the configuration in force, and no key is authenticated by a stale one. */
import { buildStepJob, type ClusterConfig } from '@fuchsiatally/core'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { createTestStep } from '@fuchsiatally/core/testing/stepJobs'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CLUSTER_CONFIG } from '../../testing/partitionCluster.js'
import { createCallAdmission, type IncomingCall } from '../callAdmission.js'
import { parseJobRow } from '../partitionRows.js'
import { runPartitionShutdown } from '../partitionShutdown.js'

const [OPEN] = CLUSTER_CONFIG.queues
const CONFIG: ClusterConfig = { ...CLUSTER_CONFIG, queues: [OPEN!, { ...OPEN!, name: 'closed', pathPrefix: '/closed/', public: false, timeoutMs: 2000 }] }
const CALL: IncomingCall = { host: OPEN!.host, path: '/closed/00', key: 'k1', timeoutMs: null }

function createAdmission (state: { config?: ClusterConfig | null, isFresh?: boolean } = {}) {
  const clock = createFakeClock()
  const config = state.config === undefined ? CONFIG : state.config
  return { clock, admitCall: createCallAdmission({ readConfig: () => config, isConfigFresh: () => state.isFresh ?? true, clock }) }
}

test('a known key is admitted to its queue with the earlier of the caller\'s deadline and the timeout of the queue', () => {
  const { clock, admitCall } = createAdmission()
  for (const [callerTimeoutMs, limitMs] of [[null, 2000], [500, 500], [9000, 2000]] as const) {
    const decision = admitCall({ ...CALL, timeoutMs: callerTimeoutMs })
    assert.is(decision.kind, 'admitted')
    if (decision.kind !== 'admitted') continue
    assert.equal([decision.call.queue.name, decision.call.team?.name, decision.call.id, decision.call.deadlineMs - clock.nowMs()], ['closed', 'clubs', '00', limitMs])
  }
})

test('unknown queues and keys are refused permanently, calls without a configuration temporarily', () => {
  const { admitCall } = createAdmission()
  assert.is(admitCall({ ...CALL, path: '/nowhere/00' }).kind, 'noQueue')
  assert.is(admitCall({ ...CALL, key: 'other' }).kind, 'unknownKey')
  assert.is(admitCall({ ...CALL, key: '' }).kind, 'unknownKey')
  assert.is(createAdmission({ config: null }).admitCall(CALL).kind, 'unready')
})

// Guards against work that runs for a key that was never granted, or was withdrawn, because its queue is open to callers without one.
test('an unknown key is refused at a public queue, which admits known keys and none', () => {
  const { admitCall } = createAdmission()
  const admitPublic = (key: string) => admitCall({ ...CALL, path: '/proof/00', key })
  assert.is(admitPublic('other').kind, 'unknownKey')
  assert.is(admitPublic('k1 ').kind, 'unknownKey')
  for (const [key, team] of [['k1', 'clubs'], ['', undefined]] as const) {
    const decision = admitPublic(key)
    assert.is(decision.kind, 'admitted')
    assert.is(decision.kind === 'admitted' ? decision.call.team?.name : null, team)
  }
})

test('with a stale configuration no key is authenticated, neither a known nor an unknown one; a public queue serves callers without a key', () => {
  const { admitCall } = createAdmission({ isFresh: false })
  for (const key of ['k1', 'other', '']) assert.is(admitCall({ ...CALL, key }).kind, 'unready')
  assert.is(admitCall({ ...CALL, path: '/proof/00', key: 'k1' }).kind, 'unready')
  assert.is(admitCall({ ...CALL, path: '/proof/00', key: '' }).kind, 'admitted')
})

test('a submission becomes a job of its queue and team; an error names the field', () => {
  const submission = { payload: 'text', steps: [createTestStep()], runCount: 0, firstRunMs: 0, intervalMs: 0 }
  const job = buildStepJob(submission, OPEN!, CONFIG.teams[0]!, 5)._unsafeUnwrap()
  assert.equal([job.team, job.policy.queue, job.policy.teamJobsPerS, job.acceptedAtMs], ['clubs', 'proof', 1, 5])
  assert.is(buildStepJob(submission, OPEN!, null, 5)._unsafeUnwrap().policy.teamJobsPerS, undefined)
  assert.match(buildStepJob({ ...submission, steps: [] }, OPEN!, null, 5)._unsafeUnwrapErr(), 'steps')
})

// Guards against jobs that are accepted and never run because no entry can decode their rows.
test('a submission that could not be read back from the table is an error that names the field', () => {
  const submission = { payload: 'text', steps: [createTestStep()], runCount: 0, firstRunMs: 0, intervalMs: 0 }
  const cases: [Partial<typeof submission>, string][] = [
    [{ steps: [createTestStep({ taskCount: 1.5 })] }, 'taskCount'],
    [{ steps: [createTestStep({ taskCount: -1 })] }, 'taskCount'],
    [{ steps: [createTestStep({ maxPerWorker: 0.5 })] }, 'maxPerWorker'],
    [{ steps: [createTestStep({ estimateMs: -1 })] }, 'estimateMs'],
    [{ steps: [createTestStep(), createTestStep({ after: [0.5] })] }, 'after'],
    [{ steps: [createTestStep(), createTestStep({ after: [-1] })] }, 'after'],
    [{ steps: [createTestStep({ resources: { processors: -1, memoryMb: 1, accelerators: 0 } })] }, 'processors'],
    [{ runCount: 0.5 }, 'runCount'],
    [{ runCount: 2, intervalMs: -1 }, 'intervalMs']
  ]
  for (const [part, field] of cases) {
    const built = buildStepJob({ ...submission, ...part }, OPEN!, null, 5)
    assert.ok(built.isErr(), field)
    assert.match(built._unsafeUnwrapErr(), field)
  }
})

// Guards against holders that end for want of memory, one after the other, because all occurrences of a recurring job are overdue at once.
test('a recurring job whose state cannot fit into a row is an error that names the field, and is not read back', () => {
  const submission = { payload: 'text', steps: [createTestStep({ taskCount: 2 })], firstRunMs: 0, intervalMs: 0 }
  const events = createMemoryEventLog()
  for (const runCount of [3000, 1e6, 1e9, Number.MAX_SAFE_INTEGER]) {
    const built = buildStepJob({ ...submission, runCount }, OPEN!, null, 5)
    assert.ok(built.isErr(), `${runCount} occurrences`)
    assert.match(built.error, 'runCount')
    const job = { ...buildStepJob({ ...submission, runCount: 1 }, OPEN!, null, 5)._unsafeUnwrap(), runCount }
    assert.is(parseJobRow({ table: 'job', part: 'pages/0', key: 'a', value: JSON.stringify(job), version: 1, deleted: false }, events), null)
  }
  assert.is(events.listFields('FT854').length, 4)
  assert.ok(buildStepJob({ ...submission, runCount: 1800 }, OPEN!, null, 5).isOk())
  assert.ok(buildStepJob({ ...submission, steps: [createTestStep({ taskCount: 1000 })], runCount: 4 }, OPEN!, null, 5).isOk())
})

test('a graceful shutdown serves callers that still arrive after its partitions are handed over', async () => {
  const clock = createFakeClock()
  const events = createMemoryEventLog()
  const done: string[] = []
  const stopped = runPartitionShutdown({
    entry: { release: async () => { done.push('released') } },
    callers: { beginClosing: () => { done.push('closing') }, stop: async () => { done.push('closed') } },
    name: 'a',
    lingerMs: 3000,
    clock,
    events
  })
  await clock.runFor(2900)
  assert.equal(done, ['closing', 'released'])
  await clock.runFor(200)
  await stopped
  assert.equal(done, ['closing', 'released', 'closed'])
  assert.equal(events.listFields('FT862'), [{ entry: 'a' }])
})

test.run()
