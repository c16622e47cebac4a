/** Bounded retries with jittered exponential backoff. */
import type { Clock, Random } from '@fuchsiatally/core'
import { err, type Result } from 'neverthrow'
import { BACKOFF_JITTER, INITIAL_BACKOFF_MS } from './constants.js'
import type { PlatformFailure } from './platformClient.js'

/** A failed attempt; `retryAfterMs` is the delay that the platform requested by `Retry-After`. */
export type AttemptFailure = PlatformFailure & { readonly retryAfterMs?: number }

export interface RetryLoopOptions {
  readonly clock: Clock
  /** Timeout of all attempts together. */
  readonly callTimeoutMs: number
  readonly maxAttempts: number
  /** Backoff after the given number of attempts. */
  readonly computeBackoffMs: (attempts: number) => number
}

export type RetryLoop = <T>(
  runAttempt: (remainingMs: number) => Promise<Result<T, AttemptFailure>>
) => Promise<Result<T, PlatformFailure>>

/** Creates a loop that returns the first success, or the last failure once attempts or time are exhausted. */
export function createRetryLoop (options: RetryLoopOptions): RetryLoop {
  const { clock, callTimeoutMs, maxAttempts } = options
  const wait = (ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })

  return async (runAttempt) => {
    const deadlineMs = clock.nowMs() + callTimeoutMs
    for (let attempts = 1; ; attempts++) {
      const result = await runAttempt(deadlineMs - clock.nowMs())
      if (result.isOk()) return result
      const failure = { kind: result.error.kind, message: result.error.message }
      const waitMs = Math.max(options.computeBackoffMs(attempts), result.error.retryAfterMs ?? 0)
      if (attempts >= maxAttempts || clock.nowMs() + waitMs >= deadlineMs) return err(failure)
      await wait(waitMs)
    }
  }
}

/** Computes a backoff that doubles with each attempt and varies by the jitter. */
export function computeBackoffMs (attempts: number, random: Random): number {
  const factor = 1 + BACKOFF_JITTER * (random.nextFloat() * 2 - 1)
  return INITIAL_BACKOFF_MS * 2 ** (attempts - 1) * factor
}
