/** Rate limit of one team at one entry. */

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
  let tokens = ratePerS
  let updatedMs = nowMs
  const addTokens = (now: number): void => {
    const elapsedMs = Math.max(0, now - updatedMs)
    tokens = Math.min(rate, tokens + elapsedMs * rate / 1000)
    updatedMs = Math.max(updatedMs, now)
  }
  return {
    takeToken: (now) => {
      addTokens(now)
      if (tokens < 1) return Math.max(1, Math.ceil((1 - tokens) * 1000 / rate))
      tokens -= 1
      return 0
    },
    setRate: (newRate, now) => {
      addTokens(now)
      rate = newRate
      tokens = Math.min(tokens, rate)
    }
  }
}
