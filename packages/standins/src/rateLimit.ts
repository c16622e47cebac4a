/** Limit on calls a second, with a burst of one second. */
import type { Clock } from '@fuchsiatally/core'

/** Creates a limit; the returned function takes one call and tells whether it is within the limit. */
export function createRateLimit (clock: Clock, perS: number): () => boolean {
  let tokens = perS
  let atMs = clock.nowMs()
  return () => {
    const nowMs = clock.nowMs()
    tokens = Math.min(perS, tokens + (nowMs - atMs) * perS / 1000)
    atMs = nowMs
    if (tokens < 1) return false
    tokens -= 1
    return true
  }
}
