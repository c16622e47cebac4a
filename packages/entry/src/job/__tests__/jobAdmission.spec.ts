/** Job admission on the fake platform: accepted jobs are durable and resubmission is idempotent. */
import type { JobSpec, Team } from '@fuchsiatally/core'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { createFakePlatform } from '@fuchsiatally/table/testing/fakePlatform'
import { createTableModel } from '@fuchsiatally/table/testing/tableModel'
import fc from 'fast-check'
import { resolveFuzzOptions } from '@fuchsiatally/core/testing/fuzzOptions'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createJobAdmission, type JobAdmission } from '../jobAdmission.js'

const SPEC: JobSpec = {
  name: 'covers', kind: 'batch', priority: 'normal', taskCount: 2, resources: { processors: 1, memoryMb: 10, accelerators: 0 }, runTimeMs: 1000, maxRetries: 0, checkpointable: false, payload: ''
}
const NO_CEILING = { resources: { processors: 100, memoryMb: 100_000, accelerators: 10 }, requests: 10 }
const TEAM: Team = {
  name: 'press', share: 1, ceiling: NO_CEILING, limits: { queuedRequests: 1, requestsPerS: 1, activeJobs: 3 }, open: false, whenCut: 'serve', keys: []
}

function createFixture (seed: number) {
  const clock = createFakeClock()
  const random = createSeededRandom(seed)
  const model = createTableModel()
  const createAdmission = (): { admission: JobAdmission, faults: ReturnType<typeof createFakePlatform>['faults'] } => {
    const platform = createFakePlatform({ model, clock, random })
    const admission = createJobAdmission({ platform, clock, random, events: createMemoryEventLog(), explainInfeasible: () => null, sendJobsChanged: () => {} })
    return { admission, faults: platform.faults }
  }
  return { clock, createAdmission }
}

async function waitFor<T> (clock: ReturnType<typeof createFakeClock>, promise: Promise<T>): Promise<T> {
  const state = { done: false }
  const marked = promise.finally(() => { state.done = true })
  for (let step = 0; !state.done && step < 200; step += 1) await clock.runFor(100)
  return await marked
}

test('a submission retried through failures and at another entry creates one durable job', async () => {
  await fc.assert(fc.asyncProperty(fc.integer(), fc.array(fc.constantFrom('ok', 'outage', 'lost', 'late'), { maxLength: 6 }), async (seed, faults) => {
    const { clock, createAdmission } = createFixture(seed)
    const entries = [createAdmission(), createAdmission()]
    let accepted = 0
    for (const [index, fault] of [...faults, 'ok'].entries()) {
      const { admission, faults: platformFaults } = entries[index % 2]!
      platformFaults.outage = fault === 'outage'
      platformFaults.lostAnswerRate = fault === 'lost' ? 1 : 0
      platformFaults.lateEffectRate = fault === 'late' ? 1 : 0
      const result = await waitFor(clock, admission.submitJob(TEAM, 'once', SPEC))
      if (result.isOk()) accepted += 1
      else assert.is(result.error.kind, 'platform')
    }
    assert.ok(accepted >= 1)
    const jobs = (await waitFor(clock, createAdmission().admission.listJobs('press')))._unsafeUnwrap()
    assert.equal(jobs.map((job) => job.id), ['press:once'])
  }), resolveFuzzOptions(11, 60))
})

test('a reused id, too many active jobs and a job of another team are refused with their reasons', async () => {
  const { clock, createAdmission } = createFixture(1)
  const { admission } = createAdmission()
  const submit = async (id: string, spec = SPEC) => await waitFor(clock, admission.submitJob(TEAM, id, spec))
  for (const id of ['a', 'b', 'c']) assert.ok((await submit(id)).isOk())
  assert.is((await submit('a', { ...SPEC, taskCount: 3 }))._unsafeUnwrapErr().kind, 'idTaken')
  assert.is((await submit('d'))._unsafeUnwrapErr().kind, 'tooManyJobs')
  assert.is((await waitFor(clock, admission.cancelJob('pres', 'press:a')))._unsafeUnwrapErr().kind, 'notFound')
  assert.is((await waitFor(clock, admission.cancelJob('press', 'press:a')))._unsafeUnwrap().cancelRequested, true)
})

test.run()
