/** Rate limit of one team at one entry. */

/** Parts of a token that the bucket counts in: at whole rates and milliseconds the sums stay exact. */
const PARTS_PER_TOKEN = 1000
/** What sums over fractions of a millisecond may be off by, in parts. */
const ROUNDING_PARTS = 1e-6

/** Allows a steady rate with a bounded burst. */
export interface TokenBucket {
  /** Takes one token; returns 0, or the milliseconds until one is there (then none was taken). */
  takeToken: (nowMs: number) => number
  /** Changes the rate; tokens beyond the new burst are dropped. */
  setRate: (ratePerS: number, nowMs: number) => void
}

/**
 * Creates a full bucket that holds the tokens of one second.
 *
 * @param ratePerS tokens added a second, at least 1
 */
export function createTokenBucket (ratePerS: number, nowMs: number): TokenBucket {
  let rate = ratePerS
  let parts = ratePerS * PARTS_PER_TOKEN
  let updatedMs = nowMs
  const addTokens = (now: number): void => {
    const elapsedMs = Math.max(0, now - updatedMs)
    // A rate a second of tokens is the same rate a millisecond of parts.
    parts = Math.min(rate * PARTS_PER_TOKEN, parts + elapsedMs * rate)
    updatedMs = Math.max(updatedMs, now)
  }
  return {
    takeToken: (now) => {
      addTokens(now)
      const missing = PARTS_PER_TOKEN - parts
      if (missing > ROUNDING_PARTS) return Math.max(1, Math.ceil(missing / rate))
      parts = Math.max(0, parts - PARTS_PER_TOKEN)
      return 0
    },
    setRate: (newRate, now) => {
      addTokens(now)
      rate = newRate
      parts = Math.min(parts, rate * PARTS_PER_TOKEN)
    }
  }
}
