import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createEmptyHistory, type History } from '../history.js'
import { listViolations, type Invariant, INVARIANTS } from '../monitor.js'
import type { ExecutionRecord, RequestRecord, TaskRunRecord } from '../records.js'

const RESOURCES = { processors: 4, memoryMb: 1024, accelerators: 0 }

function createRun (worker: string, startedAtMs: number, endedAtMs: number, attempt = 1, task = 0): TaskRunRecord {
  return { worker, id: { job: 'j', task, attempt }, resources: RESOURCES, startedAtMs, endedAtMs, result: 'stopped' }
}

function createRequest (overrides: Partial<RequestRecord>): RequestRecord {
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
    isValidResponse: true,
    hasRetryAfter: false,
    ...overrides
  }
}

function createExecution (overrides: Partial<ExecutionRecord> = {}): ExecutionRecord {
  return { worker: 'w', service: 's', team: 'a', requestKey: 'r', startedAtMs: 10, endedAtMs: 20, ...overrides }
}

/** A history without violations. */
const VALID: History = {
  ...createEmptyHistory(),
  capacities: new Map([['w', { ...RESOURCES, processors: 8, memoryMb: 2048 }], ['v', RESOURCES]]),
  ceilings: new Map([['a', { resources: { ...RESOURCES, processors: 12, memoryMb: 4096 }, requests: 1 }]]),
  runs: [createRun('w', 0, 10), createRun('v', 10, 20, 2), createRun('w', 5, 20, 1, 1)],
  executions: [createExecution()],
  requests: [createRequest({})],
  jobs: [{ job: 'j', team: 'a', kind: 'gang', taskCount: 2, phase: 'completed' }],
  revocations: [{ name: 'a-1', atMs: 0 }],
  drains: [{ name: 'w', atMs: 0 }],
  gracefulShutdowns: [{ name: 'e', atMs: 50 }],
  acceptedConfigs: [{ version: 2, atMs: 0 }],
  configObservations: [{ entry: 'e', incarnation: 'i', version: 1, atMs: 5000 }, { entry: 'e', incarnation: 'i', version: 2, atMs: 7000 }]
}

/** Violations of each invariant, as overrides of the valid history. */
const VIOLATING: ReadonlyArray<readonly [Invariant, Partial<History>]> = [
  ['no VM overcommitted', { capacities: new Map([['w', RESOURCES], ['v', RESOURCES]]) }],
  ['no concurrent runs of a task', { runs: [...VALID.runs, createRun('v', 9, 10, 3)], jobs: [], ceilings: new Map() }],
  ['no concurrent runs of a task', { runs: [{ ...createRun('w', 0, 5), result: 'completed' }, createRun('w', 6, 9, 2), createRun('v', 7, 9, 1, 1)] }],
  ['gang members run simultaneously', { runs: [createRun('w', 0, 5), createRun('w', 6, 9, 1, 1)] }],
  ['requests run only for their own team', { executions: [createExecution({ team: 'b' })] }],
  ['revoked keys are rejected', { requests: [createRequest({ sentAtMs: 5001 })], gracefulShutdowns: [] }],
  ['team ceilings respected', { ceilings: new Map([['a', { resources: RESOURCES, requests: 1 }]]) }],
  ['team ceilings respected', { executions: [createExecution(), createExecution({ requestKey: 'q', startedAtMs: 15 })] }],
  ['complete responses to their own callers', { requests: [createRequest({ isValidResponse: false })] }],
  ['complete responses to their own callers', { executions: [] }],
  ['requests reported as not run never ran', { requests: [createRequest({ outcome: 'notRun' })] }],
  ['non-idempotent requests at most once', { executions: [createExecution(), createExecution({ startedAtMs: 30, endedAtMs: 40 })] }],
  ['draining endpoints get no new work', { executions: [createExecution({ startedAtMs: 5001, endedAtMs: 5002 })] }],
  ['draining endpoints get no new work', { runs: [...VALID.runs, createRun('w', 5001, 5002, 1, 2)], jobs: [] }],
  ['graceful shutdowns interrupt no request', { requests: [createRequest({ outcome: 'cutOff' })] }],
  ['config propagates and never regresses', { acceptedConfigs: [{ version: 3, atMs: 0 }] }],
  ['config propagates and never regresses', { configObservations: VALID.configObservations.map((observation) => ({ ...observation, version: 3 - observation.version })), acceptedConfigs: [] }]
]

test('a history in which every invariant holds has no violations', () => {
  assert.equal(listViolations(VALID), [])
})

test('each violation is reported under its own invariant only', () => {
  for (const [invariant, overrides] of VIOLATING) {
    const found = listViolations({ ...VALID, ...overrides }).map((violation) => violation.invariant)
    assert.equal([...new Set(found)], [invariant], `${invariant}: ${JSON.stringify(listViolations({ ...VALID, ...overrides }))}`)
  }
  assert.equal(INVARIANTS.filter((invariant) => !VIOLATING.some(([violated]) => violated === invariant)), [])
})

test.run()
