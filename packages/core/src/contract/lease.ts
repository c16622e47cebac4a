/** The lease that an owner extends to the tasks of one worker, and what follows when it cannot. */

/** How long an extension lets the worker's tasks run, in milliseconds. */
export const TASK_LEASE_MS = 10_000
/** What an owner waits beyond a lease before it holds it for lapsed, in milliseconds. */
export const LEASE_ALLOWANCE_MS = 1_000
/** Part by which two monotonic clocks may differ over a long time. */
export const CLOCK_RATE_ALLOWANCE = 0.001
/** Interval between two contacts with a worker, in milliseconds. */
export const LEASE_RENEWAL_MS = 1_000
/** How long an accepted contact, counted from before it was sent, allows exchanges, in milliseconds. */
export const CONTACT_MS = 2_000
/** How long an owner extends leases after its ownership was last confirmed, in milliseconds; default. */
export const OUTAGE_TOLERANCE_MS = 3_600_000

/** What a worker says of its lease. */
export interface LeaseReading {
  readonly workerIncarnation: string
  readonly clockMs: number
  readonly leaseNotAfterMs: number
}

/** What an owner knows of one worker's lease under one epoch. All times but `LeaseReading` are its own. */
export interface LeaseTracker {
  /** The worker accepted a contact of this epoch. */
  recordReport: (reading: LeaseReading, sentMs: number, receivedMs: number) => void
  /** An extension is about to be sent; it may arrive at any time. */
  recordExtension: (nowMs: number) => void
  /** Time on the worker's clock to extend its lease to; 0 without contact, when that clock is not known well enough. */
  computeNotAfter: (nowMs: number) => number
  hasContact: (nowMs: number) => boolean
  /** Whether the worker ever accepted this epoch, which fences all lower ones. */
  isContacted: () => boolean
  /** Own time from which the lease has lapsed for certain. */
  readLapseBoundMs: () => number
  readWorkerIncarnation: () => string | null
  /** Whether the worker's last report shows that a lease which this epoch extended has run out. */
  isLapsed: () => boolean
}

/**
 * Creates the tracker of one epoch.
 *
 * @param inheritedBoundMs own time from which everything that earlier epochs allowed has lapsed
 */
export function createLeaseTracker (inheritedBoundMs: number): LeaseTracker {
  let last: { reading: LeaseReading, receivedMs: number } | null = null
  let contactSentMs = -Infinity
  let extendedMs = -Infinity
  let extensionSeen = false
  const isPast = (reading: LeaseReading): boolean => reading.leaseNotAfterMs <= reading.clockMs
  return {
    recordReport: (reading, sentMs, receivedMs) => {
      last = { reading, receivedMs }
      contactSentMs = Math.max(contactSentMs, sentMs)
      if (!isPast(reading) && extendedMs > -Infinity) extensionSeen = true
    },
    recordExtension: (nowMs) => {
      extendedMs = Math.max(extendedMs, nowMs)
    },
    computeNotAfter: (nowMs) => {
      // Without fresh contact the drift since the last report adds up beyond the allowance.
      if (last === null || nowMs - contactSentMs >= CONTACT_MS) return 0
      // From the receipt, not from the sending: the worker's clock then is at least this far.
      return last.reading.clockMs + (nowMs - last.receivedMs) + TASK_LEASE_MS
    },
    hasContact: (nowMs) => nowMs - contactSentMs < CONTACT_MS,
    isContacted: () => last !== null,
    readLapseBoundMs: () => {
      if (last === null) return inheritedBoundMs
      const seenEndMs = last.receivedMs + last.reading.leaseNotAfterMs - last.reading.clockMs
      return Math.max(seenEndMs, extendedMs + TASK_LEASE_MS) + LEASE_ALLOWANCE_MS
    },
    readWorkerIncarnation: () => last?.reading.workerIncarnation ?? null,
    isLapsed: () => last !== null && extensionSeen && isPast(last.reading)
  }
}

/**
 * Computes from when a worker that a new owner never reached runs nothing that earlier owners allowed:
 * they extend leases for at most the tolerance after they last saw their own row.
 */
export function computeTakeoverBoundMs (takenMs: number, outageToleranceMs: number): number {
  return takenMs + outageToleranceMs * (1 + CLOCK_RATE_ALLOWANCE) + TASK_LEASE_MS + LEASE_ALLOWANCE_MS
}

/**
 * Whether an owner may still extend leases.
 *
 * @param confirmedMs a time at which the row named the owner for certain
 */
export function hasRightToExtend (nowMs: number, confirmedMs: number, outageToleranceMs: number): boolean {
  return nowMs - confirmedMs < outageToleranceMs
}

/**
 * Whether a worker runs nothing of this owner's epochs or lower ones for certain.
 *
 * @param lapseBoundMs time from which the leases that this owner knows of have lapsed
 * @param confirmedMs a time at which the row named the owner for certain: until then no other owner extended a lease
 */
export function isLapsedForCertain (nowMs: number, lapseBoundMs: number, confirmedMs: number): boolean {
  return nowMs >= lapseBoundMs && confirmedMs >= lapseBoundMs
}
