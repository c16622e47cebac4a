/** Faults of the platform that a test injects at run time. */

/** Fault settings; the fields may change at any time. */
export interface PlatformFaults {
  /** Every call fails immediately. */
  outage: boolean
  /** Every call times out and has no effect. */
  silent: boolean
  /** Every call is rejected by rate limiting. */
  rateLimited: boolean
  /** One-way delay: from the call to its effect, and again from the effect to the response. */
  delayMs: number
  /** Probability that a transaction is applied but its response is lost. */
  lostAnswerRate: number
  /** Probability that a transaction times out at the client and is applied only `lateEffectMs` after the call. */
  lateEffectRate: number
  lateEffectMs: number
  /** Probability that a read is served from an old snapshot. */
  staleReadRate: number
}

/** Creates settings without any fault. */
export function createPlatformFaults (): PlatformFaults {
  return {
    outage: false,
    silent: false,
    rateLimited: false,
    delayMs: 0,
    lostAnswerRate: 0,
    lateEffectRate: 0,
    lateEffectMs: 3000,
    staleReadRate: 0
  }
}
