/** Plan of the faults that the benchmark injects into a simulation. */
import type { BenchCell } from './benchCell.js'
import type { JobArrival } from './arrivals.js'
import type { BenchRandom } from './random.js'

/** A fault or recovery that the simulation applies to the cell. */
export type FaultEvent =
  | { readonly kind: 'workerLost' | 'cordon' | 'uncordon', readonly worker: string }
  | { readonly kind: 'cancel', readonly id: string }

/** All faults of one simulation. */
export interface FaultPlan {
  readonly events: readonly { readonly atMs: number, readonly event: FaultEvent }[]
  /** Workers on which every task fails. */
  readonly faultyWorkers: ReadonlySet<string>
  /** Platform outage: no decision is committed, and reports of ended tasks are delivered after it. */
  readonly outageStartMs: number
  readonly outageEndMs: number
}

/** Upper bound on the time from the loss of a worker to the expiry of its lease. */
const LEASE_EXPIRY_MS = 12_000
const RACK_OUTAGE_FRACTION = 0.15
const MAX_PLATFORM_OUTAGE_MS = 300_000
const CANCELLED_FRACTION = 0.3

export const NO_FAULTS: FaultPlan = { events: [], faultyWorkers: new Set(), outageStartMs: Infinity, outageEndMs: Infinity }

/** Builds a temporary rack failure, faulty workers, a burst of cancellations and a platform outage. */
export function buildFaultPlan (cell: BenchCell, arrivals: readonly JobArrival[], random: BenchRandom): FaultPlan {
  const { durationMs, workers } = cell
  const events: { atMs: number, event: FaultEvent }[] = []
  const { failureDomain, rack } = workers[0]!
  const rackLostAtMs = Math.floor(durationMs * 0.3)
  for (const worker of workers) {
    if (worker.failureDomain !== failureDomain || worker.rack !== rack) continue
    events.push({ atMs: rackLostAtMs, event: { kind: 'cordon', worker: worker.id } })
    events.push({ atMs: rackLostAtMs + LEASE_EXPIRY_MS, event: { kind: 'workerLost', worker: worker.id } })
    events.push({ atMs: rackLostAtMs + Math.floor(durationMs * RACK_OUTAGE_FRACTION), event: { kind: 'uncordon', worker: worker.id } })
  }
  const cancelAtMs = Math.floor(durationMs * 0.5)
  for (const arrival of arrivals) {
    const eligible = arrival.atMs > durationMs * 0.3 && arrival.atMs < cancelAtMs && arrival.row.spec.kind !== 'service'
    if (eligible && random.nextFloat() < CANCELLED_FRACTION) events.push({ atMs: cancelAtMs, event: { kind: 'cancel', id: arrival.id } })
  }
  const faultyWorkers = new Set([workers[1]!.id, workers[workers.length - 2]!.id])
  const outageStartMs = Math.floor(durationMs * 0.7)
  return { events, faultyWorkers, outageStartMs, outageEndMs: outageStartMs + Math.min(MAX_PLATFORM_OUTAGE_MS, durationMs * 0.1) }
}
