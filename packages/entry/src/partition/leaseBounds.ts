/** Duration of leases, and an upper bound on leases granted by earlier holders. */
import { MAX_CLOCK_DRIFT, MAX_LATE_LEASE_MS, MAX_UNCONFIRMED_EXTENSION_MS, MAX_GRANTED_LEASE_MS, LEASE_MARGIN_MS } from './constants.js'

/** Duration of the leases that holders grant, in milliseconds; workers cap it at their own limit. */
export function computeLeaseMs (maxLeaseMs: number): number {
  return Math.min(maxLeaseMs, MAX_GRANTED_LEASE_MS)
}

/**
 * Duration of the leases that a late holder grants, in milliseconds: longer, but expired by the time that successors assume for the
 * leases of a holder that was last confirmed `confirmedAgeMs` ago.
 */
export function computeLateLeaseMs (maxLeaseMs: number, confirmedAgeMs: number): number {
  const shortestMs = computeLeaseMs(maxLeaseMs)
  const boundMs = shortestMs + (MAX_UNCONFIRMED_EXTENSION_MS - confirmedAgeMs) / (1 + MAX_CLOCK_DRIFT)
  return Math.max(shortestMs, Math.min(maxLeaseMs, MAX_LATE_LEASE_MS, boundMs))
}

/** Longest time until a lease expires by a worker's clock that may be slow, in milliseconds; `workerNowMs` is a reading of that clock. */
export function computeLongestRemainderMs (leaseUntilMs: number, workerNowMs: number): number {
  return (leaseUntilMs + LEASE_MARGIN_MS - workerNowMs) / (1 - MAX_CLOCK_DRIFT)
}

/** Epoch of the holder that has no predecessor. */
const FIRST_EPOCH = 1

/**
 * Age of a worker's life up to which its holder may not have noticed that it began, and may have granted leases by the clock of the life
 * before, in milliseconds: a holder that isn't confirmed for so long extends no lease.
 */
const UNNOTICED_LIFE_MS = MAX_UNCONFIRMED_EXTENSION_MS

/** Whether leases of earlier holders may have been granted by the clock of the worker's life before, and still be in force. */
function mayHoldLongLease (lifeAgeMs: number, maxLeaseMs: number): boolean {
  return lifeAgeMs < UNNOTICED_LIFE_MS + maxLeaseMs
}

/**
 * Time from the start of a term after which every lease of an earlier holder has expired, in milliseconds.
 *
 * @param lifeAgeMs age of the worker's life at the start of the term, in milliseconds; infinite if it is not known to be young
 */
export function computePriorLeaseBoundMs (maxLeaseMs: number, lifeAgeMs = Infinity): number {
  const leaseMs = mayHoldLongLease(lifeAgeMs, maxLeaseMs) ? maxLeaseMs : computeLeaseMs(maxLeaseMs)
  return MAX_UNCONFIRMED_EXTENSION_MS + leaseMs * (1 + MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS
}

/** A worker's first response in a term. */
export interface InheritedLease {
  readonly epoch: number
  readonly maxLeaseMs: number
  /** Age of the term, in milliseconds. */
  readonly termAgeMs: number
  /** Age of the life that responded, in milliseconds. */
  readonly lifeAgeMs: number
}

/**
 * Longest time for which a lease of an earlier holder may last after the worker's first response in a term, in milliseconds; from then on the
 * worker refuses that holder. `-Infinity` in the first epoch, which inherits no lease.
 */
export function computeInheritedLeaseMs ({ epoch, maxLeaseMs, termAgeMs, lifeAgeMs }: InheritedLease): number {
  if (epoch === FIRST_EPOCH) return -Infinity
  const longestMs = mayHoldLongLease(lifeAgeMs, maxLeaseMs) ? maxLeaseMs : Math.min(maxLeaseMs, MAX_LATE_LEASE_MS)
  return Math.min(longestMs, computePriorLeaseBoundMs(maxLeaseMs, lifeAgeMs) - termAgeMs)
}
