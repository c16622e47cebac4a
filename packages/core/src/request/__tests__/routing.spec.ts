/** Tests of load balancing over owners and endpoints with stale reports and with unresponsive, slow and lost endpoints. */
import fc from 'fast-check'
import { resolveFuzzOptions } from '../../testing/fuzzOptions.js'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createEndpointBalancer, createOwnerBalancer, type EndpointBalancer, type EndpointView, type OwnerReport } from '../../index.js'
import { createSeededRandom } from '../../testing/seededRandom.js'

const NO_EXCLUSIONS = new Set<string>()

function createReport (incarnation: string, failureDomain: string, free: number, total: number, queued = 0): OwnerReport {
  return { incarnation, failureDomain, leaving: false, slots: [{ service: 's', free, total, queued }] }
}

function createViews (count: number, slots = 8): EndpointView[] {
  return Array.from({ length: count }, (_, index) => ({
    address: `e${index}`, worker: `w${index}`, rack: `r${index % 3}`, service: 's', slots, reportedBusy: 0
  }))
}

test('seven entries with the same stale report do not all choose the same owner', () => {
  const countChosen = (entries: number, free: readonly number[], requests: number): number[] => {
    const chosen = free.map(() => 0)
    for (let entry = 0; entry < entries; entry += 1) {
      const balancer = createOwnerBalancer('a', createSeededRandom(entry))
      for (const [owner, count] of free.entries()) balancer.updateOwner(createReport(String(owner), 'a', count, 32), 0)
      for (let request = 0; request < requests; request += 1) {
        chosen[Number(balancer.chooseOwner('s', 10, 100, NO_EXCLUSIONS)!.owner.incarnation)]! += 1
      }
    }
    return chosen
  }
  for (const count of countChosen(7, [28, 28, 28, 28], 16)) assert.ok(count >= 18 && count <= 38, String(count))
  // Seventy entries: the owner with the most free slots gets clearly less than all of their requests.
  const few = countChosen(70, [12, 10, 10, 10], 2)
  assert.ok(few[0]! <= 84 && few.every((count) => count >= 10), String(few))
})

test('another failure domain is used only if the local wait exceeds the cross-domain latency', () => {
  const balancer = createOwnerBalancer('a', createSeededRandom(1))
  const choose = (exchangeMs: number): string => balancer.chooseOwner('s', exchangeMs, 0, NO_EXCLUSIONS)!.owner.incarnation
  balancer.updateOwner(createReport('near', 'a', 1, 8), 0)
  balancer.updateOwner(createReport('far', 'b', 8, 8), 0)
  assert.is(choose(10), 'near')
  // The only free slot is taken now: a wait of 10 / 8 ms is below the cross-domain latency, one of 100 / 8 ms is not.
  assert.is(choose(10), 'near')
  assert.is(choose(100), 'far')
})

test('stale, leaving and excluded owners are never chosen', () => {
  fc.assert(fc.property(fc.array(fc.record({
    free: fc.integer({ min: -3, max: 8 }), leaving: fc.boolean(), ageMs: fc.nat({ max: 6000 }), excluded: fc.boolean(), near: fc.boolean()
  }), { maxLength: 8 }), (owners) => {
    const balancer = createOwnerBalancer('a', createSeededRandom(2))
    const usable = new Set<string>()
    const excluded = new Set<string>()
    for (const [index, owner] of owners.entries()) {
      const name = `o${index}`
      balancer.updateOwner({ ...createReport(name, owner.near ? 'a' : 'b', owner.free, 8), leaving: owner.leaving }, 10_000 - owner.ageMs)
      if (owner.excluded) excluded.add(name)
      else if (!owner.leaving && owner.ageMs <= 3000) usable.add(name)
    }
    const choice = balancer.chooseOwner('s', 10, 10_000, excluded)
    if (usable.size === 0) assert.is(choice, undefined)
    else assert.ok(usable.has(choice!.owner.incarnation))
  }), resolveFuzzOptions(520, 500))
})

function runExchanges (balancer: EndpointBalancer, count: number, isDead: (address: string) => boolean, durationMs = 10): Map<string, number> {
  const sent = new Map<string, number>()
  for (let nowMs = 0; nowMs < count; nowMs += 1) {
    const choice = balancer.chooseEndpoint('s', nowMs, NO_EXCLUSIONS, true)
    if (choice === undefined) continue
    const { address } = choice.endpoint
    sent.set(address, (sent.get(address) ?? 0) + 1)
    balancer.releaseEndpoint(address, { kind: isDead(address) ? 'broken' : 'answered', durationMs }, nowMs)
  }
  return sent
}

test('an unresponsive endpoint is avoided after a few exchanges and probed by one at a time', () => {
  const balancer = createEndpointBalancer(createSeededRandom(3))
  balancer.updateEndpoints(createViews(6))
  const sent = runExchanges(balancer, 900, (address) => address === 'e0')
  assert.ok((sent.get('e0') ?? 0) <= 3, String(sent.get('e0')))
  // A request that must not be sent twice is never used as a probe while other endpoints have free slots.
  for (let nowMs = 2000; nowMs < 2100; nowMs += 1) {
    const { address } = balancer.chooseEndpoint('s', nowMs, NO_EXCLUSIONS, false)!.endpoint
    assert.is.not(address, 'e0')
    balancer.releaseEndpoint(address, { kind: 'answered', durationMs: 10 }, nowMs)
  }
  assert.is(balancer.chooseEndpoint('s', 2100, NO_EXCLUSIONS, true)!.endpoint.address, 'e0')
})

/** Keeps `concurrency` exchanges in flight for `busyMs` milliseconds; returns the number of broken ones. */
function runBusy (balancer: EndpointBalancer, fromMs: number, busyMs: number, concurrency: number, isDead: (address: string) => boolean): number {
  let broken = 0
  for (let nowMs = fromMs; nowMs < fromMs + busyMs; nowMs += 1) {
    const choices = Array.from({ length: concurrency }, () => balancer.chooseEndpoint('s', nowMs, NO_EXCLUSIONS, true))
    for (const choice of choices) {
      if (choice === undefined) continue
      const { address } = choice.endpoint
      if (isDead(address)) broken += 1
      balancer.releaseEndpoint(address, { kind: isDead(address) ? 'broken' : 'answered', durationMs: 10 }, nowMs)
    }
  }
  return broken
}

test('an unresponsive endpoint gets very few exchanges even if the others are full', () => {
  const balancer = createEndpointBalancer(createSeededRandom(3))
  balancer.updateEndpoints(createViews(6))
  const broken = runBusy(balancer, 0, 900, 44, (address) => address === 'e0')
  assert.ok(broken <= 12, String(broken))
})

test('if most endpoints fail at once, half of them stay in use', () => {
  const balancer = createEndpointBalancer(createSeededRandom(4))
  balancer.updateEndpoints(createViews(6))
  runBusy(balancer, 0, 300, 20, (address) => address !== 'e5')
  // The healthy one with its 8 slots, and at least two others with one each.
  assert.ok(balancer.countSlots('s', 300).total >= 10, String(balancer.countSlots('s', 300).total))
  // All are restored once they respond again.
  runBusy(balancer, 40_000, 200, 20, () => false)
  assert.is(balancer.countSlots('s', 40_200).total, 48)
})

test('a slow endpoint loses concurrency and regains it', () => {
  const balancer = createEndpointBalancer(createSeededRandom(5))
  balancer.updateEndpoints(createViews(4))
  const run = (slowMs: number): void => {
    for (let nowMs = 0; nowMs < 60; nowMs += 1) {
      const choices = Array.from({ length: 12 }, () => balancer.chooseEndpoint('s', nowMs, NO_EXCLUSIONS, true)!)
      for (const { endpoint } of choices) {
        balancer.releaseEndpoint(endpoint.address, { kind: 'answered', durationMs: endpoint.address === 'e0' ? slowMs : 10 }, nowMs)
      }
    }
  }
  run(100)
  assert.ok(balancer.countSlots('s', 100).total <= 26, String(balancer.countSlots('s', 100).total))
  run(10)
  assert.is(balancer.countSlots('s', 100).total, 32)
})

type BalancerStep = { readonly kind: 'choose' | 'report' | 'drop' | 'answer' | 'break' | 'refuse', readonly index: number }

test('no endpoint gets more exchanges than it has slots, even if reports lag and endpoints come and go', () => {
  const step: fc.Arbitrary<BalancerStep> = fc.record({
    kind: fc.constantFrom('choose', 'choose', 'choose', 'report', 'drop', 'answer', 'break', 'refuse'), index: fc.nat({ max: 2 })
  })
  fc.assert(fc.property(fc.array(step, { maxLength: 120, size: 'max' }), (steps) => {
    const balancer = createEndpointBalancer(createSeededRandom(6))
    const inFlight = new Map<string, number>()
    let views = createViews(3, 4)
    balancer.updateEndpoints(views)
    for (const [nowMs, { kind, index }] of steps.entries()) {
      const address = `e${index}`
      const busy = inFlight.get(address) ?? 0
      if (kind === 'choose') {
        const choice = balancer.chooseEndpoint('s', nowMs, NO_EXCLUSIONS, true)
        if (choice === undefined) continue
        inFlight.set(choice.endpoint.address, (inFlight.get(choice.endpoint.address) ?? 0) + 1)
        assert.ok(views.some((view) => view.address === choice.endpoint.address))
        assert.ok(inFlight.get(choice.endpoint.address)! <= 4)
      } else if (kind === 'report' || kind === 'drop') {
        views = createViews(3, 4).filter((view) => kind === 'report' || view.address !== address)
          .map((view) => ({ ...view, reportedBusy: inFlight.get(view.address) ?? 0 }))
        balancer.updateEndpoints(views)
      } else if (busy > 0) {
        inFlight.set(address, busy - 1)
        const result = kind === 'answer' ? 'answered' : kind === 'break' ? 'broken' : 'refused'
        balancer.releaseEndpoint(address, { kind: result, durationMs: 5 }, nowMs)
      }
      const { free, total } = balancer.countSlots('s', nowMs)
      assert.ok(free <= total && total <= 12)
    }
  }), resolveFuzzOptions(521, 500))
})

test.run()
