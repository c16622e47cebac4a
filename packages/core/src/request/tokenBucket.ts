/** Token bucket, for rate limits. */

/** Parts per token: counting in thousandths keeps sums exact for integral rates and milliseconds. */
const PARTS_PER_TOKEN = 1000
/** Tolerance for rounding errors of sums over fractions of a millisecond, in parts. */
const ROUNDING_PARTS = 1e-6

/** Allows a steady rate with a bounded burst. */
export interface TokenBucket {
  /** Takes one token and returns 0; if there is none, returns the milliseconds until one is available. */
  takeToken: (nowMs: number) => number
  /** Changes the rate; tokens beyond the new burst size are discarded. */
  setRate: (ratePerS: number, nowMs: number) => void
}

/**
 * Creates a full bucket with a burst size of one second's tokens.
 *
 * @param ratePerS tokens added per second, at least 1
 */
export function createTokenBucket (ratePerS: number, nowMs: number): TokenBucket {
  let rate = ratePerS
  let parts = ratePerS * PARTS_PER_TOKEN
  let updatedMs = nowMs
  const addTokens = (now: number): void => {
    const elapsedMs = Math.max(0, now - updatedMs)
    // With 1000 parts per token, tokens per second equal parts per millisecond.
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
