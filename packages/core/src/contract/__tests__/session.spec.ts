/** An observer considers a session expired only if its holder does too, even if messages are delayed, lost or repeated. */
import * as fc from 'fast-check'
import { resolveFuzzOptions } from '../../testing/fuzzOptions.js'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createSessionHolder, createSessionObserver, type SessionRow } from '../session.js'

const ROW: SessionRow = {
  incarnation: 'i', failureDomain: 'a', linkAddress: '', httpAddress: '', leaving: false, configVersion: 0
}
const MAX_DRIFT = 0.05

type Step = { readonly kind: 'wait' | 'renew' | 'read', readonly ms: number } |
  { readonly kind: 'send' | 'apply' | 'answer' | 'readSend' | 'readTake' | 'readAnswer' }

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 1_500 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('renew' as const), ms: fc.oneof(fc.constant(0), fc.nat(2_000)) }) },
  { weight: 9, arbitrary: fc.record({ kind: fc.constant('read' as const), ms: fc.oneof(fc.constant(0), fc.nat(1_400)) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('send' as const, 'apply' as const, 'answer' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('readSend' as const, 'readTake' as const, 'readAnswer' as const) }) }
)

/** Simulates the table, a holder and an observer, each with its own clock. */
function createSimulation (holderRate: number, observerRate: number) {
  const holder = createSessionHolder()
  const observer = createSessionObserver()
  let realMs = 0
  let version = 0
  let pending: 'none' | 'sent' | 'applied' = 'none'
  let read: { sentMs: number, version: number } | null = null
  let seenVersion = 0
  const holderMs = (): number => realMs * (1 + holderRate)
  const observerMs = (): number => realMs * (1 + observerRate) + 12_345
  const actions: Record<Step['kind'], (ms: number) => void> = {
    wait: (ms) => { realMs += ms },
    renew: (ms) => runAll(['send', 'apply', 'answer'], ms),
    read: (ms) => runAll(['readSend', 'readTake', 'readAnswer'], ms),
    // A retry while the outcome is unknown repeats the same renewal.
    send: () => {
      holder.recordSend(holderMs())
      if (pending === 'none') pending = 'sent'
    },
    apply: () => {
      if (pending !== 'sent') return
      version += 1
      pending = 'applied'
    },
    answer: () => {
      if (pending !== 'applied') return
      holder.recordApplied()
      pending = 'none'
    },
    readSend: () => { read ??= { sentMs: observerMs(), version: -1 } },
    readTake: () => { if (read !== null && read.version < 0) read.version = version },
    readAnswer: () => {
      if (read === null || read.version < 0) return
      const changes = read.version > seenVersion ? [{ entry: 'e', version: read.version, row: ROW }] : []
      seenVersion = Math.max(seenVersion, read.version)
      observer.recordRead(changes, read.sentMs, observerMs())
      read = null
    }
  }
  const runAll = (kinds: readonly Step['kind'][], ms: number): void => {
    for (const kind of kinds) {
      actions[kind](0)
      realMs += ms
    }
  }
  return {
    runStep: (next: Step) => actions[next.kind]('ms' in next ? next.ms : 0),
    /** Whether a takeover would succeed now: its transaction checks the version that was read. */
    canTakeOver: () => observer.listObserved().some((session) => session.expired && session.version === version),
    isValid: () => holder.isValid(holderMs())
  }
}

test('no session is taken over while its holder is valid by its own clock', () => {
  const options = resolveFuzzOptions(11, 20_000)
  let takeovers = 0
  const drift = fc.constantFrom(-MAX_DRIFT, 0, MAX_DRIFT)
  fc.assert(fc.property(drift, drift, fc.array(step, { minLength: 30, maxLength: 150 }), (holderRate, observerRate, steps) => {
    const simulation = createSimulation(holderRate, observerRate)
    for (const next of steps) {
      simulation.runStep(next)
      if (!simulation.canTakeOver()) continue
      takeovers += 1
      assert.not.ok(simulation.isValid())
    }
  }), options)
  assert.ok(takeovers > options.numRuns / 20)
})

test('after an outage, every session gets its full validity again', () => {
  const observer = createSessionObserver()
  observer.recordRead([{ entry: 'e', version: 1, row: ROW }], 0, 0)
  observer.recordRead([], 3_600_000, 3_600_000)
  observer.recordRead([], 3_602_000, 3_602_000)
  assert.not.ok(observer.listObserved()[0]!.expired)
  for (let ms = 3_603_000; ms <= 3_607_000; ms += 1_000) observer.recordRead([], ms, ms)
  assert.ok(observer.listObserved()[0]!.expired)
})

test('an incarnation counts as removed only after a read shows it', () => {
  const observer = createSessionObserver()
  assert.not.ok(observer.isRemoved('i'))
  observer.recordRead([{ entry: 'e', version: 1, row: ROW }], 0, 0)
  assert.not.ok(observer.isRemoved('i'))
  observer.recordRead([{ entry: 'e', version: 2, row: { ...ROW, incarnation: 'j' } }], 1, 1)
  assert.ok(observer.isRemoved('i'))
  observer.recordRead([{ entry: 'e', version: 3, row: null }], 2, 2)
  assert.ok(observer.isRemoved('j'))
})

test.run()
