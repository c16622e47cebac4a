/** Leases that a holder grants to one worker, and the excuses for calls without a response. */
import { createPartitionPlanner } from '@fuchsiatally/core'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { err, ok, type Result } from 'neverthrow'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { MAX_CLOCK_DRIFT, MAX_EXCUSED_CALLS, MAX_GRANTED_LEASE_MS } from '../constants.js'
import { createHolderLoad } from '../holderLoad.js'
import { createPartitionWorkerController } from '../partitionWorkerController.js'
import type { CallFailure, LeaseResponse } from '../ports.js'
import { createStartWindow } from '../startWindow.js'

const WORKER = 'w1'
const CALL_MS = 20

interface Grant {
  readonly atMs: number
  /** Time for which the worker holds the lease, on its own clock. */
  readonly lengthMs: number
}

/** Starts a controller; `answer` gives the outcome of a lease call after `CALL_MS`. */
const startController = (answer: (response: LeaseResponse) => Result<LeaseResponse, CallFailure>) => {
  const clock = createFakeClock()
  const events = createMemoryEventLog()
  const planner = createPartitionPlanner()
  const worker = { bornAtMs: 1, offsetMs: 500_000 }
  const grants: Grant[] = []
  const readClock = (): number => clock.nowMs() + worker.offsetMs
  const load = createHolderLoad({ partition: 'pages', epoch: 1, clock, events, readBacklog: () => ({ steps: 0, tasks: 0 }) })
  const controller = createPartitionWorkerController({
    worker: WORKER,
    address: `${WORKER}:1`,
    client: {
      renewLease: async ({ leaseUntilMs }) => {
        if (leaseUntilMs !== null) grants.push({ atMs: clock.nowMs(), lengthMs: leaseUntilMs - readClock() })
        await new Promise<void>((resolve) => { clock.setTimer(CALL_MS, resolve) })
        return answer({ kind: 'held', clockMs: readClock(), bornAtMs: worker.bornAtMs, running: [], ended: [], hasMoreEnds: false })
      },
      startRun: async () => ok({ kind: 'started', clockMs: readClock() }),
      stopRun: async () => ok({ kind: 'answered' }),
      dispose: () => {}
    },
    epoch: 1,
    termStartedAtMs: 0,
    maxLeaseMs: MAX_GRANTED_LEASE_MS,
    planner,
    clock,
    events,
    load,
    startWindow: createStartWindow({ limit: 1, slowResponseMs: 100, clock, maxWaitMs: 500, onQueueEmpty: () => {} }),
    computeGrantMs: () => MAX_GRANTED_LEASE_MS,
    readListedBirthMs: () => null,
    onChange: () => {},
    isDraining: () => false,
    onReplaced: () => {},
    isReplaced: () => false,
    onDeposed: () => {}
  })
  return { clock, events, grants, worker, controller }
}

// Guards against leases that lapse early because a response that was read late lowered the holder's estimate of the worker's clock.
test('a response that is read 2 s late does not shorten the next lease by 2 s', async () => {
  let readDelayMs = 0
  const { clock, grants, controller } = startController((response) => {
    clock.block(readDelayMs)
    return ok(response)
  })
  await clock.runFor(1000)
  readDelayMs = 2000
  await clock.runFor(100)
  readDelayMs = 0
  controller.dispose()
  const shortestMs = Math.min(...grants.map(({ lengthMs }) => lengthMs))
  assert.ok(grants.length > 2)
  assert.ok(shortestMs >= MAX_GRANTED_LEASE_MS - CALL_MS - 2100 * MAX_CLOCK_DRIFT - 1, `lease of ${shortestMs} ms`)
})

// Guards against leases that outlast their grant: the estimate of the clock must stay below the clock itself.
test('no lease is longer than granted, also after a restart of the worker and after its clock stood still', async () => {
  const { clock, grants, worker, controller } = startController((response) => ok(response))
  await clock.runFor(1000)
  worker.bornAtMs = 2
  worker.offsetMs = -500
  await clock.runFor(1000)
  worker.offsetMs -= 5000
  // The call in progress still carries a lease computed before the clock stood still.
  const stoodStillAtMs = clock.nowMs()
  await clock.runFor(1000)
  controller.dispose()
  const later = grants.filter(({ atMs }) => atMs > stoodStillAtMs + CALL_MS)
  const longestMs = Math.max(...later.map(({ lengthMs }) => lengthMs))
  assert.ok(later.length > 2)
  assert.ok(longestMs <= MAX_GRANTED_LEASE_MS, `lease of ${longestMs} ms`)
})

/** Answers no call after the first second, while the event loop is late by 200 ms in each; returns the calls until the worker counts as unresponsive. */
const countCallsUntilUnresponsive = async (failure: CallFailure): Promise<number> => {
  let isSilent = false
  let calls = 0
  const { clock, events, controller } = startController((response) => {
    if (!isSilent) return ok(response)
    calls++
    clock.block(200)
    return err(failure)
  })
  await clock.runFor(1000)
  isSilent = true
  for (let step = 0; step < 1000 && events.listFields('FT811').length === 0; step++) await clock.runFor(10)
  controller.dispose()
  return calls
}

// Guards against a silent worker that is excused because the holder's event loop was late for a moment during the call.
test('a delay of the holder excuses only the failures that are marked as its own delay', async () => {
  assert.is(await countCallsUntilUnresponsive({ kind: 'unknown', message: 'no response' }), 2)
  assert.is(await countCallsUntilUnresponsive({ kind: 'unknown', message: 'no response', isOwnDelay: true }), 2 + MAX_EXCUSED_CALLS)
})

test.run()
