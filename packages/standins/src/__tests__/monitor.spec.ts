import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createEmptyHistory, type History } from '../history.js'
import { listViolations, type Point, POINTS } from '../monitor.js'
import type { ExecutionRecord, RequestRecord, TaskRunRecord } from '../records.js'

const RESOURCES = { processors: 4, memoryMb: 1024, accelerators: 0 }

function createRun (worker: string, startedAtMs: number, endedAtMs: number, attempt = 1, task = 0): TaskRunRecord {
  return { worker, id: { job: 'j', task, attempt }, resources: RESOURCES, startedAtMs, endedAtMs, result: 'stopped' }
}

function createRequest (change: Partial<RequestRecord>): RequestRecord {
  return {
    requestKey: 'r',
    entry: 'e',
    team: 'a',
    keyId: 'a-1',
    idempotent: false,
    sentAtMs: 0,
    endedAtMs: 100,
    outcome: 'completed',
    status: 200,
    reason: '',
    isOwnAnswer: true,
    hasRetryAfter: false,
    ...change
  }
}

function createExecution (change: Partial<ExecutionRecord> = {}): ExecutionRecord {
  return { worker: 'w', service: 's', team: 'a', requestKey: 'r', startedAtMs: 10, endedAtMs: 20, ...change }
}

/** A run in which every promise was kept. */
const GOOD: History = {
  ...createEmptyHistory(),
  capacities: new Map([['w', { ...RESOURCES, processors: 8, memoryMb: 2048 }], ['v', RESOURCES]]),
  ceilings: new Map([['a', { resources: { ...RESOURCES, processors: 12, memoryMb: 4096 }, requests: 1 }]]),
  runs: [createRun('w', 0, 10), createRun('v', 10, 20, 2), createRun('w', 5, 20, 1, 1)],
  executions: [createExecution()],
  requests: [createRequest({})],
  jobs: [{ job: 'j', team: 'a', kind: 'gang', taskCount: 2, phase: 'completed' }],
  revocations: [{ name: 'a-1', atMs: 0 }],
  leavings: [{ name: 'w', atMs: 0 }],
  plannedStops: [{ name: 'e', atMs: 50 }],
  acceptedConfigs: [{ version: 2, atMs: 0 }],
  configSightings: [{ entry: 'e', incarnation: 'i', version: 1, atMs: 5000 }, { entry: 'e', incarnation: 'i', version: 2, atMs: 7000 }]
}

/** One broken promise for each point, as a change of the good run. */
const BROKEN: ReadonlyArray<readonly [Point, Partial<History>]> = [
  ['no VM overcommitted', { capacities: new Map([['w', RESOURCES], ['v', RESOURCES]]) }],
  ['no task in two places', { runs: [...GOOD.runs, createRun('v', 9, 10, 3)], jobs: [], ceilings: new Map() }],
  ['no task in two places', { runs: [{ ...createRun('w', 0, 5), result: 'completed' }, createRun('w', 6, 9, 2), createRun('v', 7, 9, 1, 1)] }],
  ['gangs run all at once', { runs: [createRun('w', 0, 5), createRun('w', 6, 9, 1, 1)] }],
  ['work only for the team of its key', { executions: [createExecution({ team: 'b' })] }],
  ['revoked keys stop', { requests: [createRequest({ sentAtMs: 5001 })], plannedStops: [] }],
  ['ceilings of teams', { ceilings: new Map([['a', { resources: RESOURCES, requests: 1 }]]) }],
  ['ceilings of teams', { executions: [createExecution(), createExecution({ requestKey: 'q', startedAtMs: 15 })] }],
  ['whole answers to their own callers', { requests: [createRequest({ isOwnAnswer: false })] }],
  ['whole answers to their own callers', { executions: [] }],
  ['not run means not run', { requests: [createRequest({ outcome: 'notRun' })] }],
  ['non-idempotent at most once', { executions: [createExecution(), createExecution({ startedAtMs: 30, endedAtMs: 40 })] }],
  ['leaving endpoints get no new work', { executions: [createExecution({ startedAtMs: 5001, endedAtMs: 5002 })] }],
  ['leaving endpoints get no new work', { runs: [...GOOD.runs, createRun('w', 5001, 5002, 1, 2)], jobs: [] }],
  ['planned stops cut off nothing', { requests: [createRequest({ outcome: 'cutOff' })] }],
  ['configuration in force and never back', { acceptedConfigs: [{ version: 3, atMs: 0 }] }],
  ['configuration in force and never back', { configSightings: GOOD.configSightings.map((sighting) => ({ ...sighting, version: 3 - sighting.version })), acceptedConfigs: [] }]
]

test('a run that kept every promise has no violation', () => {
  assert.equal(listViolations(GOOD), [])
})

test('each broken promise is found under its point alone', () => {
  for (const [point, change] of BROKEN) {
    const found = listViolations({ ...GOOD, ...change }).map((violation) => violation.point)
    assert.equal([...new Set(found)], [point], `${point}: ${JSON.stringify(listViolations({ ...GOOD, ...change }))}`)
  }
  assert.equal(POINTS.filter((point) => !BROKEN.some(([broken]) => broken === point)), [])
})

test.run()
