/** Tests of tickets and forwarded exchanges: whatever is evicted, nothing runs a second time. */
import fc from 'fast-check'
import { resolveFuzzOptions } from '../../testing/fuzzOptions.js'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createExchangeDeduplicator, createTicketStore, type RequestOutcome } from '../../index.js'
import { createSeededRandom } from '../../testing/seededRandom.js'

function createCompleted (bytes: number): RequestOutcome {
  return { kind: 'completed', status: 200, headers: {}, body: new Uint8Array(bytes), worker: 'w' }
}

const OUTCOMES: Record<string, RequestOutcome> = {
  completed: createCompleted(800),
  notRun: { kind: 'notRun', reason: 'full', retryAfterMs: 100 },
  unknown: { kind: 'unknown', reason: 'broken' }
}

interface Model {
  readonly ticket: string
  readonly team: string
  readonly issuedMs: number
  executions: number
  running: boolean
  answer: RequestOutcome | null
}

const ticketStep = fc.record({
  kind: fc.constantFrom('issue', 'use', 'use', 'end', 'end', 'wait'),
  index: fc.nat({ max: 11 }),
  team: fc.constantFrom('a', 'b'),
  fingerprint: fc.constantFrom('f', 'f', 'f', 'g'),
  outcome: fc.constantFrom('completed', 'completed', 'notRun', 'unknown')
})

test('a ticket runs at most once unless it is known not to have run; evicted tickets never run', () => {
  fc.assert(fc.property(fc.array(ticketStep, { maxLength: 150, size: 'max' }), (steps) => {
    const store = createTicketStore({
      incarnation: 'me', random: createSeededRandom(1), maxTickets: 6, maxOpenPerTeam: 4, maxAnswerBytes: 4000, lifetimeMs: 100
    })
    const models: Model[] = []
    let nowMs = 0
    for (const step of steps) {
      const model = models[models.length - 1 - step.index % Math.max(1, models.length)]
      if (step.kind === 'wait') nowMs += 40
      if (step.kind === 'issue') {
        const ticket = store.addTicket(step.team, nowMs)
        if (ticket !== undefined) models.push({ ticket, team: step.team, issuedMs: nowMs, executions: 0, running: false, answer: null })
        const open = models.filter((other) => other.team === step.team && other.issuedMs + 100 > nowMs && other.executions === 0)
        assert.ok(open.length <= 4)
      }
      if (model === undefined) continue
      if (step.kind === 'use') {
        const use = store.takeTicket(model.ticket, step.team, step.fingerprint, nowMs)
        if (use.kind === 'run') {
          assert.ok(!model.running && model.executions === 0 && step.team === model.team)
          assert.ok(nowMs < model.issuedMs + 100)
          model.running = true
        }
        if (use.kind === 'wait') assert.ok(model.running)
        if (use.kind === 'outcome') {
          assert.ok(!model.running, 'a running ticket was evicted')
          if (use.outcome.kind === 'completed') assert.is(use.outcome, model.answer)
          if (use.outcome.kind === 'notRun') assert.is(model.executions, 0)
        }
      }
      if (step.kind === 'end' && model.running) {
        const outcome = OUTCOMES[step.outcome]!
        store.recordOutcome(model.ticket, outcome)
        model.running = false
        model.executions += outcome.kind === 'notRun' ? 0 : 1
        model.answer = outcome
      }
      assert.ok(store.countTickets() <= 6)
    }
  }), resolveFuzzOptions(530, 1500))
})

const exchangeStep = fc.record({
  kind: fc.constantFrom('arrive', 'arrive', 'query', 'end'), sequence: fc.integer({ min: 1, max: 25 })
})

test('an exchange runs at most once, and never after it was reported to the peer as not run', () => {
  fc.assert(fc.property(fc.array(exchangeStep, { maxLength: 200, size: 'max' }), (steps) => {
    const deduplicator = createExchangeDeduplicator(3000)
    const runs = new Map<number, 'running' | 'done'>()
    const reportedNotRun = new Set<number>()
    for (const { kind, sequence } of steps) {
      if (kind === 'end') {
        if (runs.get(sequence) !== 'running') continue
        runs.set(sequence, 'done')
        deduplicator.recordOutcome(sequence, createCompleted(sequence * 20))
        continue
      }
      const state = kind === 'arrive' ? deduplicator.addExchange(sequence) : deduplicator.resolveExchange(sequence)
      if (state.kind === 'fresh') {
        assert.ok(!runs.has(sequence) && !reportedNotRun.has(sequence))
        runs.set(sequence, 'running')
      }
      if (state.kind === 'running') assert.is(runs.get(sequence), 'running')
      if (state.kind !== 'done') continue
      assert.is.not(runs.get(sequence), 'running')
      if (state.outcome.kind === 'notRun') reportedNotRun.add(sequence)
      if (state.outcome.kind === 'notRun') assert.not(runs.has(sequence))
      if (state.outcome.kind === 'completed') assert.is(state.outcome.body.byteLength, sequence * 20)
    }
  }), resolveFuzzOptions(531, 1500))
})

test.run()
