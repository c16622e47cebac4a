/** Benchmark of one routing decision (owner, queue and endpoint), by number of endpoints per owner. */
import { createEndpointBalancer, createOwnerBalancer, createRequestQueue } from '@fuchsiatally/core'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'

const MEASURED_ITERATIONS = 20_000
const WARM_UP_ITERATIONS = 5000
const OWNER_COUNT = 8
const NO_EXCLUSIONS = new Set<string>()

/** Time per routing decision, in microseconds. */
export interface RoutingDecisionCost {
  readonly endpoints: number
  readonly teams: number
  readonly meanUs: number
  readonly p99Us: number
}

/** Measures complete decisions with a backlog in the queue: choice of the owner, queueing, choice of the endpoint and its release. */
export function measureRoutingDecision (endpoints: number, teams: number): RoutingDecisionCost {
  const seeded = createSeededRandom(1)
  const floats = Array.from({ length: 4096 }, () => seeded.nextFloat())
  let drawnCount = 0
  const random = { nextFloat: () => floats[drawnCount++ % floats.length]!, nextId: seeded.nextId }
  const ownerBalancer = createOwnerBalancer('d0', random)
  const endpointBalancer = createEndpointBalancer(random)
  const queue = createRequestQueue<number>()
  endpointBalancer.updateEndpoints(Array.from({ length: endpoints }, (_, index) => ({
    address: `e${index}`, worker: `w${index}`, rack: 'r', service: 's', slots: 8, reportedBusy: 0
  })))
  for (let team = 0; team < teams; team += 1) {
    queue.addRequest({ id: `first${team}`, team: `t${team}`, weight: 1, deadlineMs: Infinity, costMs: 10, value: 0 })
  }
  const costsUs: number[] = []
  for (let iteration = 0; iteration < MEASURED_ITERATIONS + WARM_UP_ITERATIONS; iteration += 1) {
    if (iteration % 100 === 0) {
      for (let owner = 0; owner < OWNER_COUNT; owner += 1) {
        const slots = [{ service: 's', free: 100, total: endpoints * 8, queued: 0 }]
        ownerBalancer.updateOwner({ incarnation: `o${owner}`, failureDomain: `d${owner % 4}`, leaving: false, slots }, iteration)
      }
    }
    const startedNs = process.hrtime.bigint()
    ownerBalancer.chooseOwner('s', 10, iteration, NO_EXCLUSIONS)
    queue.addRequest({ id: String(iteration), team: `t${iteration % teams}`, weight: 1, deadlineMs: Infinity, costMs: 10, value: iteration })
    queue.takeNext(() => true)
    const choice = endpointBalancer.chooseEndpoint('s', iteration, NO_EXCLUSIONS, true)!
    endpointBalancer.releaseEndpoint(choice.endpoint.address, { kind: 'answered', durationMs: 10 }, iteration)
    if (iteration >= WARM_UP_ITERATIONS) costsUs.push(Number(process.hrtime.bigint() - startedNs) / 1000)
  }
  costsUs.sort((a, b) => a - b)
  const meanUs = costsUs.reduce((sum, costUs) => sum + costUs, 0) / costsUs.length
  return { endpoints, teams, meanUs, p99Us: costsUs[Math.floor(costsUs.length * 0.99)]! }
}
