/** One term of the scheduler role: what is sent is committed, and a deposed term commits nothing. */
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
import { createSchedulerTask } from '../schedulerTask.js'

const ROOM = { processors: 8, memoryMb: 8192, accelerators: 0 }
const TEAM: Team = {
  name: 'press', share: 1, ceiling: { resources: { processors: 16, memoryMb: 16_384, accelerators: 0 }, requests: 1 }, limits: { queuedRequests: 1, requestsPerS: 1, activeJobs: 10 }, open: false, whenCut: 'serve', keys: []
}
const DOCUMENT: ConfigDocument = {
  version: 1, manifest: { cell: 'test', shareWindow: { endMinuteOfDay: 0, lengthMinutes: 60 }, teams: [TEAM], services: [] }, grants: [], revokedKeyIds: [], drainedVms: []
}
const VM: Vm = { id: 'w', state: 'live', failureDomain: 'a', rack: 'r', pool: 'p', address: 'w', resources: ROOM, runners: [] }
const ROLE_KEY = 'cell/test'
const JOB: JobRow = {
  team: 'press',
  acceptedAtMs: 0,
  spec: { name: 'covers', kind: 'batch', priority: 'normal', taskCount: 2, resources: { processors: 1, memoryMb: 64, accelerators: 0 }, runTimeMs: 1000, maxRetries: 0, checkpointable: false, payload: '' }
}
const decodeState = createDecoder(JobStateRow)

function createTerm () {
  const clock = createFakeClock()
  const random = createSeededRandom(3)
  const table = createTableModel()
  const platform = createFakePlatform({ model: table, clock, random })
  const sent: WorkerDesired[] = []
  const faults: string[] = []
  let deposed = 0
  const write = (key: string, value: unknown): void => {
    table.transact({ writeId: key, checks: [], writes: [{ key, value }] })
  }
  const readTask = (job: string, task: number): { phase: string, attempt: number } | undefined => {
    const row = decodeState(table.findRow(`jobState/${job}`)?.value)
    return row.isOk() ? row.value.tasks[task] : undefined
  }
  const checkDesired = (message: WorkerDesired): void => {
    for (const { id } of message.run) {
      const task = readTask(id.job, id.task)
      if (task?.phase !== 'assigned' || task.attempt !== id.attempt) faults.push(`sent ${id.job}/${id.task} while the table shows ${task?.phase}`)
    }
    for (const id of message.acknowledged) {
      if (readTask(id.job, id.task)?.phase !== 'completed') faults.push(`acknowledged ${id.job}/${id.task} before its commit`)
    }
    sent.push(message)
  }
  write(ROLE_KEY, { incarnation: 'me', epoch: 1 })
  write('job/press:a', JOB)
  const task = createSchedulerTask({
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
    onDeposed: () => { deposed += 1 }
  })
  const observe = (report: Partial<WorkerObserved>): void => task.recordObserved({
    type: 'workerObserved', worker: 'w', workerEpoch: 1, cellEpoch: 1, desiredSequence: sent.at(-1)?.sequence ?? 0, state: 'reachable', running: [], ended: [], usage: [], ...report
  }, 'owner')
  return { clock, table, platform, task, sent, faults, write, observe, readTask, countDeposed: () => deposed }
}

test('assignments and acknowledgements are sent only when the table records them', async () => {
  const term = createTerm()
  await term.clock.runFor(600)
  term.platform.faults.outage = true
  term.observe({})
  await term.clock.runFor(2000)
  assert.equal(term.sent.flatMap((message) => message.run), [])
  term.platform.faults.outage = false
  await term.clock.runFor(1000)
  const run = term.sent.at(-1)?.run.map(({ id }) => id) ?? []
  assert.is(run.length, 2)
  term.platform.faults.outage = true
  term.observe({ ended: run.map((id) => ({ id, result: 'completed' as const, ranMs: 5 })) })
  await term.clock.runFor(2000)
  term.observe({ ended: run.map((id) => ({ id, result: 'completed' as const, ranMs: 5 })) })
  term.platform.faults.outage = false
  await term.clock.runFor(2000)
  assert.is(term.sent.at(-1)?.acknowledged.length, 2)
  assert.equal(term.faults, [])
  term.task.dispose()
})

test('an end that is reported during a commit is acknowledged only by the next one', async () => {
  for (let reportedAt = 0; reportedAt < 16; reportedAt += 1) {
    const term = createTerm()
    await term.clock.runFor(600)
    term.observe({})
    await term.clock.runFor(600)
    const run = term.sent.at(-1)?.run.map(({ id }) => id) ?? []
    const ended = run.slice(0, 1).map((id) => ({ id, result: 'completed' as const, ranMs: 5 }))
    term.write('job/press:b', JOB)
    term.platform.faults.delayMs = 200
    for (let step = 0; step < 30; step += 1) {
      await term.clock.runFor(100)
      term.observe({ running: run, ended: step < reportedAt ? [] : ended })
    }
    assert.is(term.sent.at(-1)?.acknowledged.length, 1)
    assert.equal(term.faults, [])
    term.task.dispose()
  }
})

test('the members of a gang are held until every owner has confirmed its part', async () => {
  const term = createTerm()
  term.write('job/press:g', { ...JOB, spec: { ...JOB.spec, kind: 'gang', resources: { processors: 6, memoryMb: 64, accelerators: 0 } } })
  term.write('cancel/press:a', {})
  await term.clock.runFor(600)
  for (const worker of ['w', 'w2']) term.observe({ worker, desiredSequence: 0 })
  await term.clock.runFor(600)
  const findLast = (worker: string): WorkerDesired | undefined => term.sent.findLast((message) => message.worker === worker)
  for (const worker of ['w', 'w2']) assert.equal(findLast(worker)?.run.map((task) => task.held), [true])
  term.observe({ worker: 'w', desiredSequence: findLast('w')!.sequence })
  await term.clock.runFor(1000)
  assert.ok(term.sent.every((message) => message.run.every((task) => task.held)))
  term.observe({ worker: 'w2', desiredSequence: findLast('w2')!.sequence })
  term.observe({ worker: 'w', desiredSequence: findLast('w')!.sequence })
  await term.clock.runFor(1000)
  for (const worker of ['w', 'w2']) assert.equal(findLast(worker)?.run.map((task) => task.held), [undefined])
  term.task.dispose()
})

test('a term whose role went to another incarnation commits and sends nothing more', async () => {
  const term = createTerm()
  await term.clock.runFor(600)
  term.write(ROLE_KEY, { incarnation: 'other', epoch: 2 })
  term.observe({})
  await term.clock.runFor(2000)
  assert.is(term.readTask('press:a', 0), undefined)
  assert.equal(term.sent, [])
  assert.ok(term.countDeposed() > 0)
  term.task.dispose()
})

test.run()
