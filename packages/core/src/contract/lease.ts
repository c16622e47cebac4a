/** Task leases: an owner extends the lease of each worker's tasks and determines when it has certainly expired. */

/** Duration of a task lease, counted from its last extension, in milliseconds. */
export const TASK_LEASE_MS = 10_000
/** Safety margin that an owner waits beyond the end of a lease before it considers it expired, in milliseconds. */
export const LEASE_EXPIRY_MARGIN_MS = 1_000
/** Maximum relative drift between two monotonic clocks over long periods. */
export const MAX_CLOCK_DRIFT = 0.001
/** Interval between two lease calls to a worker, in milliseconds. */
export const LEASE_RENEWAL_MS = 1_000
/** Time for which an accepted lease call permits exchanges with the worker, counted from before it was sent, in milliseconds. */
export const CONTACT_VALIDITY_MS = 2_000
/** Default time for which an owner extends leases after its ownership was last confirmed, in milliseconds. */
export const OUTAGE_TOLERANCE_MS = 3_600_000

/** Lease state as reported by a worker. */
export interface LeaseReading {
  readonly workerIncarnation: string
  readonly clockMs: number
  readonly leaseNotAfterMs: number
}

/** Owner-side state of one worker's lease under one epoch. All times except those of `LeaseReading` are on the owner's clock. */
export interface LeaseTracker {
  /** Records a lease call of this epoch that the worker accepted. */
  recordReport: (reading: LeaseReading, sentMs: number, receivedMs: number) => void
  /** Records that an extension is about to be sent; it may be delivered at any later time. */
  recordExtension: (nowMs: number) => void
  /** Computes the end of the extended lease on the worker's clock; 0 without a recent lease call, because that clock is then not known accurately enough. */
  computeNotAfter: (nowMs: number) => number
  /** Whether a recent lease call permits exchanges with the worker. */
  hasContact: (nowMs: number) => boolean
  /** Whether the worker ever accepted a lease call of this epoch, which fences off all lower epochs. */
  hasEverContacted: () => boolean
  /** Time on the owner's clock from which the lease has certainly expired. */
  readExpiryBoundMs: () => number
  readWorkerIncarnation: () => string | null
  /** Whether the worker's last report shows that a lease extended under this epoch has expired. */
  isExpired: () => boolean
}

/**
 * Creates the tracker of one epoch.
 *
 * @param inheritedBoundMs time on the owner's clock from which all leases of earlier epochs have expired
 */
export function createLeaseTracker (inheritedBoundMs: number): LeaseTracker {
  let lastReport: { reading: LeaseReading, receivedMs: number } | null = null
  let contactSentMs = -Infinity
  let extendedMs = -Infinity
  let isExtensionReported = false
  const isExpiredIn = (reading: LeaseReading): boolean => reading.leaseNotAfterMs <= reading.clockMs
  return {
    recordReport: (reading, sentMs, receivedMs) => {
      lastReport = { reading, receivedMs }
      contactSentMs = Math.max(contactSentMs, sentMs)
      if (!isExpiredIn(reading) && extendedMs > -Infinity) isExtensionReported = true
    },
    recordExtension: (nowMs) => {
      extendedMs = Math.max(extendedMs, nowMs)
    },
    computeNotAfter: (nowMs) => {
      // Without a recent lease call, the clock drift since the last report may exceed the safety margin.
      if (lastReport === null || nowMs - contactSentMs >= CONTACT_VALIDITY_MS) return 0
      // Counted from the receipt of the report, not from its sending: the worker's clock has advanced at least this far.
      return lastReport.reading.clockMs + (nowMs - lastReport.receivedMs) + TASK_LEASE_MS
    },
    hasContact: (nowMs) => nowMs - contactSentMs < CONTACT_VALIDITY_MS,
    hasEverContacted: () => lastReport !== null,
    readExpiryBoundMs: () => {
      if (lastReport === null) return inheritedBoundMs
      const reportedExpiryMs = lastReport.receivedMs + lastReport.reading.leaseNotAfterMs - lastReport.reading.clockMs
      return Math.max(reportedExpiryMs, extendedMs + TASK_LEASE_MS) + LEASE_EXPIRY_MARGIN_MS
    },
    readWorkerIncarnation: () => lastReport?.reading.workerIncarnation ?? null,
    isExpired: () => lastReport !== null && isExtensionReported && isExpiredIn(lastReport.reading)
  }
}

/**
 * Computes the time from which a worker that a new owner never reached certainly runs no task of earlier owners:
 * these extend leases for at most the outage tolerance after they last confirmed their own row.
 */
export function computeTakeoverBoundMs (takeoverMs: number, outageToleranceMs: number): number {
  return takeoverMs + outageToleranceMs * (1 + MAX_CLOCK_DRIFT) + TASK_LEASE_MS + LEASE_EXPIRY_MARGIN_MS
}

/**
 * Whether an owner may still extend leases.
 *
 * @param confirmedMs a time at which the row is known to have named the owner
 */
export function mayExtendLeases (nowMs: number, confirmedMs: number, outageToleranceMs: number): boolean {
  return nowMs - confirmedMs < outageToleranceMs
}

/**
 * Whether a worker certainly runs no task of this owner's epoch or a lower one.
 *
 * @param expiryBoundMs time from which all leases known to this owner have expired
 * @param confirmedMs a time at which the row is known to have named the owner: no other owner extended a lease before then
 */
export function isExpiryCertain (nowMs: number, expiryBoundMs: number, confirmedMs: number): boolean {
  return nowMs >= expiryBoundMs && confirmedMs >= expiryBoundMs
}
