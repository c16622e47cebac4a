/** A lease that its owner considers expired has expired at the worker, even if calls are delayed, lost or duplicated. */
import * as fc from 'fast-check'
import { resolveFuzzOptions } from '../../testing/fuzzOptions.js'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createLeaseTracker, mayExtendLeases, isExpiryCertain } from '../lease.js'

const MAX_DRIFT = 0.03

type Step = { readonly kind: 'wait' | 'call', readonly ms: number } |
  { readonly kind: 'send' } |
  { readonly kind: 'deliver' | 'answer', readonly index: number }

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 4_000 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('call' as const), ms: fc.oneof(fc.constant(0), fc.nat(3_000)) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('send' as const) }) },
  { weight: 5, arbitrary: fc.record({ kind: fc.constantFrom('deliver' as const, 'answer' as const), index: fc.nat(20) }) }
)

interface Call {
  readonly sentMs: number
  readonly notAfterMs: number
  report: { workerIncarnation: string, clockMs: number, leaseNotAfterMs: number } | null
}

/** Simulates one worker and one owner; calls stay in flight until a step delivers or answers them, in any order. */
function createSimulation (ownerRate: number, workerRate: number) {
  const tracker = createLeaseTracker(Infinity)
  const calls: Call[] = []
  let realMs = 0
  let leaseEndMs = 0
  const ownerMs = (): number => realMs * (1 + ownerRate) + 77
  const workerMs = (): number => realMs * (1 + workerRate) + 5_000_000
  const sendCall = (): void => {
    const notAfterMs = tracker.computeNotAfter(ownerMs())
    if (notAfterMs > 0) tracker.recordExtension(ownerMs())
    calls.push({ sentMs: ownerMs(), notAfterMs, report: null })
  }
  const deliverCall = (call: Call | undefined): void => {
    if (call === undefined) return
    // A worker never accepts a lease that has already expired.
    if (call.notAfterMs > workerMs()) leaseEndMs = Math.max(leaseEndMs, call.notAfterMs)
    call.report = { workerIncarnation: 'v', clockMs: workerMs(), leaseNotAfterMs: leaseEndMs }
  }
  const answerCall = (call: Call | undefined): void => {
    if (call?.report != null) tracker.recordReport(call.report, call.sentMs, ownerMs())
  }
  const runCall = (ms: number): void => {
    sendCall()
    realMs += ms
    deliverCall(calls.at(-1))
    realMs += ms
    answerCall(calls.at(-1))
  }
  return {
    runStep: (next: Step) => {
      switch (next.kind) {
        case 'wait': realMs += next.ms; break
        case 'call': runCall(next.ms); break
        case 'send': sendCall(); break
        case 'deliver': deliverCall(calls.at(-1 - next.index)); break
        case 'answer': answerCall(calls.at(-1 - next.index))
      }
    },
    isExpiryCertain: () => isExpiryCertain(ownerMs(), tracker.readExpiryBoundMs(), ownerMs()),
    isExpiredAtWorker: () => leaseEndMs <= workerMs()
  }
}

/** Counterexample found by fuzzing: an extension computed from an old report accumulates the clock drift since then. */
const LATE_EXTENSION: Step[] = [
  { kind: 'call', ms: 0 }, { kind: 'call', ms: 0 }, { kind: 'wait', ms: 837 }, { kind: 'wait', ms: 3485 }, { kind: 'wait', ms: 1672 },
  { kind: 'call', ms: 0 }, { kind: 'deliver', index: 0 }, { kind: 'call', ms: 1654 }, { kind: 'wait', ms: 3543 }, { kind: 'answer', index: 3 },
  { kind: 'deliver', index: 0 }, { kind: 'deliver', index: 0 }, { kind: 'wait', ms: 3802 }, { kind: 'deliver', index: 0 }, { kind: 'wait', ms: 27 },
  { kind: 'call', ms: 0 }
]

test('a lease that the owner considers expired has expired at the worker', () => {
  const options = resolveFuzzOptions(12, 20_000)
  let expiries = 0
  const drift = fc.constantFrom(-MAX_DRIFT, 0, MAX_DRIFT)
  fc.assert(fc.property(drift, drift, fc.array(step, { minLength: 10, maxLength: 80 }), (ownerRate, workerRate, steps) => {
    const simulation = createSimulation(ownerRate, workerRate)
    for (const next of steps) {
      simulation.runStep(next)
      if (!simulation.isExpiryCertain()) continue
      expiries += 1
      assert.ok(simulation.isExpiredAtWorker())
    }
  }), { ...options, examples: [[MAX_DRIFT, -MAX_DRIFT, LATE_EXTENSION]] })
  assert.ok(expiries > options.numRuns / 20)
})

test('a lease extended by an earlier owner is taken into account', () => {
  const tracker = createLeaseTracker(Infinity)
  tracker.recordReport({ workerIncarnation: 'v', clockMs: 100, leaseNotAfterMs: 9_100 }, 40_000, 50_000)
  assert.is(tracker.readExpiryBoundMs(), 60_000)
})

test('an owner whose row is not confirmed neither extends leases beyond the tolerance nor declares a worker lost', () => {
  assert.ok(mayExtendLeases(5_999, 1_000, 5_000))
  assert.not.ok(mayExtendLeases(6_000, 1_000, 5_000))
  assert.not.ok(isExpiryCertain(50_000, 20_000, 19_999))
  assert.ok(isExpiryCertain(50_000, 20_000, 20_000))
})

test.run()
