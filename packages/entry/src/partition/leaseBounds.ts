/** Length of leases, and bounds of those that another holder granted. */
import { CLOCK_SLOWNESS, EXTENSION_OUTAGE_MS, GRANTED_LEASE_MS, LEASE_MARGIN_MS } from './constants.js'

/** Length of the leases that holders grant, in milliseconds; workers shorten what exceeds their own limit. */
export function computeLeaseMs (maxLeaseMs: number): number {
  return Math.min(maxLeaseMs, GRANTED_LEASE_MS)
}

/** Time from the begin of a term after which no lease of an earlier holder can last, in milliseconds. */
export function computeUnknownLeaseMs (maxLeaseMs: number): number {
  return EXTENSION_OUTAGE_MS + computeLeaseMs(maxLeaseMs) * (1 + CLOCK_SLOWNESS) + LEASE_MARGIN_MS
}
