/** Tests of the request queue: fairness, order and deadlines; and of the token bucket. */
import fc from 'fast-check'
import { resolveFuzzOptions } from '../../testing/fuzzOptions.js'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRequestQueue, createTokenBucket, type QueueCapacity, type QueuedRequest } from '../../index.js'

const ALWAYS = (): boolean => true

function createRequest (id: string, team: string, weight: number, costMs: number, deadlineMs = Infinity): QueuedRequest<string> {
  return { id, team, weight, costMs, deadlineMs, value: id }
}

function createCapacity (slots: number, freeSlots: number): QueueCapacity {
  return { slots, freeSlots, countAllotted: () => slots }
}

const teamArbitrary = fc.record({
  weight: fc.double({ min: 0.01, max: 50, noNaN: true }),
  costMs: fc.integer({ min: 1, max: 200 })
})

test('backlogged teams receive slot time in proportion to their weights, within one request each', () => {
  fc.assert(fc.property(fc.array(teamArbitrary, { minLength: 2, maxLength: 6 }), (teams) => {
    const queue = createRequestQueue<string>()
    const received = teams.map(() => 0)
    let added = 0
    const addOne = (index: number): void => {
      const { weight, costMs } = teams[index]!
      queue.addRequest(createRequest(String(added += 1), String(index), weight, costMs))
    }
    for (const index of teams.keys()) for (let count = 0; count < 3; count += 1) addOne(index)
    for (let round = 0; round < 400; round += 1) {
      const taken = queue.takeNext(ALWAYS)!
      const index = Number(taken.team)
      received[index]! += taken.costMs
      addOne(index)
    }
    // Weighted service times of two teams differ by at most one request of each.
    for (const [a, first] of teams.entries()) {
      for (const [b, second] of teams.entries()) {
        const difference = Math.abs(received[a]! / first.weight - received[b]! / second.weight)
        assert.ok(difference <= first.costMs / first.weight + second.costMs / second.weight + 1e-6, `${a} against ${b}: ${difference}`)
      }
    }
  }), resolveFuzzOptions(510, 300))
})

test('a team accumulates no credit while it is idle or blocked', () => {
  const queue = createRequestQueue<string>()
  for (let count = 0; count < 50; count += 1) queue.addRequest(createRequest(`a${count}`, 'a', 1, 10))
  for (let count = 0; count < 50; count += 1) queue.addRequest(createRequest(`b${count}`, 'b', 1, 10))
  for (let round = 0; round < 20; round += 1) assert.is(queue.takeNext((team) => team === 'a')!.team, 'a')
  const next = Array.from({ length: 20 }, () => queue.takeNext(ALWAYS)!.team)
  assert.is(next.filter((team) => team === 'b').length, 10)
})

const requestArbitrary = fc.record({
  team: fc.constantFrom('a', 'b', 'c'),
  costMs: fc.integer({ min: 1, max: 50 }),
  deadlineMs: fc.integer({ min: 1, max: 400 })
})

test('every request leaves the queue once, in its team\'s order, and one that would miss its deadline leaves at once', () => {
  fc.assert(fc.property(fc.array(requestArbitrary, { maxLength: 60, size: 'max' }), fc.nat({ max: 4 }), (requests, slots) => {
    const queue = createRequestQueue<string>()
    for (const [index, request] of requests.entries()) {
      queue.addRequest(createRequest(String(index), request.team, 1, request.costMs, request.deadlineMs))
    }
    const late = queue.takeLate(0, createCapacity(slots, 0)).map((request) => request.id)
    if (slots === 0) assert.is(late.length, requests.length)
    const left: QueuedRequest<string>[] = []
    for (let taken = queue.takeNext(ALWAYS); taken !== undefined; taken = queue.takeNext(ALWAYS)) left.push(taken)
    assert.is(new Set([...late, ...left.map((request) => request.id)]).size, requests.length)
    assert.is(queue.countQueued(), 0)
    for (const team of ['a', 'b', 'c']) {
      const ids = left.filter((request) => request.team === team).map((request) => Number(request.id))
      assert.equal(ids, [...ids].sort((a, b) => a - b))
    }
    // The remaining requests meet their deadlines when the slots process them in order.
    let workMs = 0
    for (const request of left) {
      workMs += request.costMs
      if (requests.every((other) => other.costMs === request.costMs)) assert.ok(workMs / slots <= request.deadlineMs + request.costMs)
    }
  }), resolveFuzzOptions(511, 500))
})

test('the estimated wait of a team includes its own queue and the share of the others', () => {
  const queue = createRequestQueue<string>()
  for (let count = 0; count < 100; count += 1) queue.addRequest(createRequest(`a${count}`, 'a', 1, 10))
  const wait = (team: string): number => queue.estimateWaitMs(team, 1, 10, createCapacity(10, 0))
  assert.is(wait('a'), 101)
  // A new team waits for one round of the other team, not for its whole queue.
  assert.ok(wait('b') <= 3)
  assert.is(queue.estimateWaitMs('a', 1, 10, createCapacity(0, 0)), Infinity)
})

test('a token bucket never admits more than its rate plus a burst of one second', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 50 }), fc.array(fc.nat({ max: 300 }), { maxLength: 100, size: 'max' }), (rate, gaps) => {
    const bucket = createTokenBucket(rate, 0)
    let nowMs = 0
    let taken = 0
    for (const gap of gaps) {
      nowMs += gap
      const waitMs = bucket.takeToken(nowMs)
      if (waitMs === 0) taken += 1
      else assert.is(bucket.takeToken(nowMs + waitMs), 0, 'a token is available after the returned wait')
      if (waitMs > 0) [nowMs, taken] = [nowMs + waitMs, taken + 1]
      assert.ok(taken <= rate + nowMs * rate / 1000 + 1e-6)
    }
  }), { ...resolveFuzzOptions(512, 300), examples: [[3, [0, 69, 0, 0, 0, 145]]] })
})

test.run()
