/** One term of the scheduler role: only committed decisions are sent, and a deposed term commits nothing. */
import {
  createCellScheduler, JobStateRow, createDecoder, type ConfigDocument, type JobRow, type Team, type Vm, type WorkerDesired, type WorkerObserved
} from '@fuchsiatally/core'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { createFakePlatform } from '@fuchsiatally/table/testing/fakePlatform'
import { createTableModel } from '@fuchsiatally/table/testing/tableModel'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createSchedulerTerm } from '../schedulerTerm.js'

const CAPACITY = { processors: 8, memoryMb: 8192, accelerators: 0 }
const TEAM: Team = {
  name: 'press', share: 1, ceiling: { resources: { processors: 16, memoryMb: 16_384, accelerators: 0 }, requests: 1 }, limits: { queuedRequests: 1, requestsPerS: 1, activeJobs: 10 }, open: false, whenCut: 'serve', keys: []
}
const DOCUMENT: ConfigDocument = {
  version: 1, manifest: { cell: 'test', shareWindow: { endMinuteOfDay: 0, lengthMinutes: 60 }, teams: [TEAM], services: [] }, grants: [], revokedKeyIds: [], drainedVms: []
}
const VM: Vm = { id: 'w', state: 'live', failureDomain: 'a', rack: 'r', pool: 'p', address: 'w', resources: CAPACITY, runners: [] }
const ROLE_KEY = 'cell/test'
const JOB: JobRow = {
  team: 'press',
  acceptedAtMs: 0,
  spec: { name: 'covers', kind: 'batch', priority: 'normal', taskCount: 2, resources: { processors: 1, memoryMb: 64, accelerators: 0 }, runTimeMs: 1000, maxRetries: 0, checkpointable: false, payload: '' }
}
const decodeState = createDecoder(JobStateRow)

function createFixture () {
  const clock = createFakeClock()
  const random = createSeededRandom(3)
  const table = createTableModel()
  const platform = createFakePlatform({ model: table, clock, random })
  const sent: WorkerDesired[] = []
  const violations: string[] = []
  let commitConflicts = 0
  const writeRow = (key: string, value: unknown): void => {
    table.transact({ writeId: key, checks: [], writes: [{ key, value }] })
  }
  const readTask = (job: string, task: number): { phase: string, attempt: number } | undefined => {
    const row = decodeState(table.findRow(`jobState/${job}`)?.value)
    return row.isOk() ? row.value.tasks[task] : undefined
  }
  const checkDesired = (message: WorkerDesired): void => {
    for (const { id } of message.run) {
      const task = readTask(id.job, id.task)
      if (task?.phase !== 'assigned' || task.attempt !== id.attempt) violations.push(`sent ${id.job}/${id.task} while the table shows ${task?.phase}`)
    }
    for (const id of message.acknowledged) {
      if (readTask(id.job, id.task)?.phase !== 'completed') violations.push(`acknowledged ${id.job}/${id.task} before its commit`)
    }
    sent.push(message)
  }
  writeRow(ROLE_KEY, { incarnation: 'me', epoch: 1 })
  writeRow('job/press:a', JOB)
  const term = createSchedulerTerm({
    role: { epoch: 1, rowVersion: 1, rowKey: ROLE_KEY },
    platform,
    clock,
    random,
    events: createMemoryEventLog(),
    config: { readDocument: () => DOCUMENT, onChange: () => ({ dispose: () => {} }) },
    createScheduler: createCellScheduler,
    listVms: () => [VM, { ...VM, id: 'w2' }],
    isLinked: () => true,
    sendDesired: (_, message) => { checkDesired(message) },
    onCommitConflict: () => { commitConflicts += 1 }
  })
  const recordReport = (report: Partial<WorkerObserved>): void => term.recordObserved({
    type: 'workerObserved', worker: 'w', workerEpoch: 1, cellEpoch: 1, desiredSequence: sent.at(-1)?.sequence ?? 0, state: 'reachable', running: [], ended: [], usage: [], ...report
  }, 'owner')
  return { clock, table, platform, term, sent, violations, writeRow, recordReport, readTask, countCommitConflicts: () => commitConflicts }
}

test('assignments and acknowledgements are sent only after they are committed', async () => {
  const fixture = createFixture()
  await fixture.clock.runFor(600)
  fixture.platform.faults.outage = true
  fixture.recordReport({})
  await fixture.clock.runFor(2000)
  assert.equal(fixture.sent.flatMap((message) => message.run), [])
  fixture.platform.faults.outage = false
  await fixture.clock.runFor(1000)
  const run = fixture.sent.at(-1)?.run.map(({ id }) => id) ?? []
  assert.is(run.length, 2)
  fixture.platform.faults.outage = true
  fixture.recordReport({ ended: run.map((id) => ({ id, result: 'completed' as const, ranMs: 5 })) })
  await fixture.clock.runFor(2000)
  fixture.recordReport({ ended: run.map((id) => ({ id, result: 'completed' as const, ranMs: 5 })) })
  fixture.platform.faults.outage = false
  await fixture.clock.runFor(2000)
  assert.is(fixture.sent.at(-1)?.acknowledged.length, 2)
  assert.equal(fixture.violations, [])
  fixture.term.dispose()
})

test('an attempt that ends during a commit is acknowledged only after the next commit', async () => {
  for (let reportStep = 0; reportStep < 16; reportStep += 1) {
    const fixture = createFixture()
    await fixture.clock.runFor(600)
    fixture.recordReport({})
    await fixture.clock.runFor(600)
    const run = fixture.sent.at(-1)?.run.map(({ id }) => id) ?? []
    const ended = run.slice(0, 1).map((id) => ({ id, result: 'completed' as const, ranMs: 5 }))
    fixture.writeRow('job/press:b', JOB)
    fixture.platform.faults.delayMs = 200
    for (let step = 0; step < 30; step += 1) {
      await fixture.clock.runFor(100)
      fixture.recordReport({ running: run, ended: step < reportStep ? [] : ended })
    }
    assert.is(fixture.sent.at(-1)?.acknowledged.length, 1)
    assert.equal(fixture.violations, [])
    fixture.term.dispose()
  }
})

test('gang members are held until every owner has confirmed its assignments', async () => {
  const fixture = createFixture()
  fixture.writeRow('job/press:g', { ...JOB, spec: { ...JOB.spec, kind: 'gang', resources: { processors: 6, memoryMb: 64, accelerators: 0 } } })
  fixture.writeRow('cancel/press:a', {})
  await fixture.clock.runFor(600)
  for (const worker of ['w', 'w2']) fixture.recordReport({ worker, desiredSequence: 0 })
  await fixture.clock.runFor(600)
  const findLast = (worker: string): WorkerDesired | undefined => fixture.sent.findLast((message) => message.worker === worker)
  for (const worker of ['w', 'w2']) assert.equal(findLast(worker)?.run.map((task) => task.held), [true])
  fixture.recordReport({ worker: 'w', desiredSequence: findLast('w')!.sequence })
  await fixture.clock.runFor(1000)
  assert.ok(fixture.sent.every((message) => message.run.every((task) => task.held)))
  fixture.recordReport({ worker: 'w2', desiredSequence: findLast('w2')!.sequence })
  fixture.recordReport({ worker: 'w', desiredSequence: findLast('w')!.sequence })
  await fixture.clock.runFor(1000)
  for (const worker of ['w', 'w2']) assert.equal(findLast(worker)?.run.map((task) => task.held), [undefined])
  fixture.term.dispose()
})

test('a term that lost the role to another incarnation commits and sends nothing more', async () => {
  const fixture = createFixture()
  await fixture.clock.runFor(600)
  fixture.writeRow(ROLE_KEY, { incarnation: 'other', epoch: 2 })
  fixture.recordReport({})
  await fixture.clock.runFor(2000)
  assert.is(fixture.readTask('press:a', 0), undefined)
  assert.equal(fixture.sent, [])
  assert.ok(fixture.countCommitConflicts() > 0)
  fixture.term.dispose()
})

test.run()
