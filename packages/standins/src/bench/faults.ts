/** What fails during a run of the bench. */
import type { BenchCell } from './benchCell.js'
import type { JobArrival } from './arrivals.js'
import type { BenchRandom } from './random.js'

/** Something that is done to the cell at a time. */
export type FaultEvent =
  | { readonly kind: 'lose' | 'close' | 'reopen', readonly worker: string }
  | { readonly kind: 'cancel', readonly id: string }

/** All faults of a run. */
export interface FaultPlan {
  readonly events: readonly { readonly atMs: number, readonly event: FaultEvent }[]
  /** Workers that fail everything they start. */
  readonly badWorkers: ReadonlySet<string>
  /** The platform cannot be reached: nothing is committed, reports arrive afterwards. */
  readonly outageStartMs: number
  readonly outageEndMs: number
}

/** Time after its loss at which a worker's lease has lapsed for certain. */
const LEASE_MS = 12_000
const RACK_BACK_PART = 0.15
const OUTAGE_MS = 300_000
const CANCELLED_PART = 0.3

/** A run without faults. */
export const NO_FAULTS: FaultPlan = { events: [], badWorkers: new Set(), outageStartMs: Infinity, outageEndMs: Infinity }

/** A rack lost for a while, bad workers, a wave of cancellations and an outage of the platform. */
export function buildFaults (cell: BenchCell, arrivals: readonly JobArrival[], random: BenchRandom): FaultPlan {
  const { durationMs, workers } = cell
  const events: { atMs: number, event: FaultEvent }[] = []
  const { failureDomain, rack } = workers[0]!
  const lostAtMs = Math.floor(durationMs * 0.3)
  for (const worker of workers) {
    if (worker.failureDomain !== failureDomain || worker.rack !== rack) continue
    events.push({ atMs: lostAtMs, event: { kind: 'close', worker: worker.id } })
    events.push({ atMs: lostAtMs + LEASE_MS, event: { kind: 'lose', worker: worker.id } })
    events.push({ atMs: lostAtMs + Math.floor(durationMs * RACK_BACK_PART), event: { kind: 'reopen', worker: worker.id } })
  }
  const waveMs = Math.floor(durationMs * 0.5)
  for (const arrival of arrivals) {
    const eligible = arrival.atMs > durationMs * 0.3 && arrival.atMs < waveMs && arrival.row.spec.kind !== 'service'
    if (eligible && random.nextFloat() < CANCELLED_PART) events.push({ atMs: waveMs, event: { kind: 'cancel', id: arrival.id } })
  }
  const badWorkers = new Set([workers[1]!.id, workers[workers.length - 2]!.id])
  const outageStartMs = Math.floor(durationMs * 0.7)
  return { events, badWorkers, outageStartMs, outageEndMs: outageStartMs + Math.min(OUTAGE_MS, durationMs * 0.1) }
}
