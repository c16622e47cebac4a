/** Bounds of leases that another holder granted. */
import { CLOCK_SLOWNESS, EXTENSION_OUTAGE_MS, LEASE_MARGIN_MS } from './constants.js'

/** Time from the begin of a term after which no lease of an earlier holder can last, in milliseconds. */
export function computeUnknownLeaseMs (maxLeaseMs: number): number {
  return EXTENSION_OUTAGE_MS + maxLeaseMs * (1 + CLOCK_SLOWNESS) + LEASE_MARGIN_MS
}
