/** Faults of the platform that a test switches while it runs. */

/** All switches; change the fields at any time. */
export interface PlatformFaults {
  /** Every call fails at once. */
  outage: boolean
  /** Every call goes unanswered until the client's timeout, and has no effect. */
  silent: boolean
  /** Every call is refused for its rate. */
  rateLimited: boolean
  /** Time from a call to its effect, and again from there to its answer. */
  delayMs: number
  /** Probability that a transaction takes effect and its answer is lost. */
  lostAnswerRate: number
  /** Probability that a transaction is given up by the client and takes effect only `lateEffectMs` after. */
  lateEffectRate: number
  lateEffectMs: number
  /** Probability that a read is answered from an old snapshot. */
  staleReadRate: number
}

/** Creates switches that are all off. */
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
