/** Cost of one routing decision: owner, queue and endpoint, by number of endpoints at one owner. */
import { createEndpointBalancer, createOwnerBalancer, createRequestQueue } from '@fuchsiatally/core'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'

const RUNS = 20_000
const WARM_UP_RUNS = 5000
const OWNERS = 8
const NOBODY = new Set<string>()

/** Time of one decision in microseconds. */
export interface RequestDecisionCost {
  readonly endpoints: number
  readonly teams: number
  readonly meanUs: number
  readonly p99Us: number
}

/** Measures whole decisions with a busy book: owner, turn in the queue, endpoint and release. */
export function measureRequestDecision (endpoints: number, teams: number): RequestDecisionCost {
  const seeded = createSeededRandom(1)
  const floats = Array.from({ length: 4096 }, () => seeded.nextFloat())
  let drawn = 0
  const random = { nextFloat: () => floats[drawn++ % floats.length]!, nextId: seeded.nextId }
  const chooser = createOwnerBalancer('d0', random)
  const book = createEndpointBalancer(random)
  const queue = createRequestQueue<number>()
  book.updateEndpoints(Array.from({ length: endpoints }, (_, index) => ({
    address: `e${index}`, worker: `w${index}`, rack: 'r', service: 's', slots: 8, reportedBusy: 0
  })))
  for (let team = 0; team < teams; team += 1) {
    queue.addRequest({ id: `first${team}`, team: `t${team}`, weight: 1, deadlineMs: Infinity, costMs: 10, value: 0 })
  }
  const costs: number[] = []
  for (let run = 0; run < RUNS + WARM_UP_RUNS; run += 1) {
    if (run % 100 === 0) {
      for (let owner = 0; owner < OWNERS; owner += 1) {
        const slots = [{ service: 's', free: 100, total: endpoints * 8, queued: 0 }]
        chooser.updateOwner({ incarnation: `o${owner}`, failureDomain: `d${owner % 4}`, leaving: false, slots }, run)
      }
    }
    const startedNs = process.hrtime.bigint()
    chooser.chooseOwner('s', 10, run, NOBODY)
    queue.addRequest({ id: String(run), team: `t${run % teams}`, weight: 1, deadlineMs: Infinity, costMs: 10, value: run })
    queue.takeNext(() => true)
    const choice = book.chooseEndpoint('s', run, NOBODY, true)!
    book.releaseEndpoint(choice.endpoint.address, { kind: 'answered', durationMs: 10 }, run)
    if (run >= WARM_UP_RUNS) costs.push(Number(process.hrtime.bigint() - startedNs) / 1000)
  }
  costs.sort((a, b) => a - b)
  const meanUs = costs.reduce((sum, cost) => sum + cost, 0) / costs.length
  return { endpoints, teams, meanUs, p99Us: costs[Math.floor(costs.length * 0.99)]! }
}
