/** Token bucket that limits calls per second; its burst is one second's worth of calls. */
import type { Clock } from '@fuchsiatally/core'

/** Creates a full bucket; the returned function takes a token and returns whether the call is admitted. */
export function createRateLimit (clock: Clock, ratePerS: number): () => boolean {
  let tokens = ratePerS
  let refilledAtMs = clock.nowMs()
  return () => {
    const nowMs = clock.nowMs()
    tokens = Math.min(ratePerS, tokens + (nowMs - refilledAtMs) * ratePerS / 1000)
    refilledAtMs = nowMs
    if (tokens < 1) return false
    tokens -= 1
    return true
  }
}
