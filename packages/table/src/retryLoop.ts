/** Bounded tries of one call with jittered exponential backoff. */
import type { Clock, Random } from '@fuchsiatally/core'
import { err, type Result } from 'neverthrow'
import { BACKOFF_JITTER, BACKOFF_MS } from './constants.js'
import type { PlatformFailure } from './platformClient.js'

/** A failed try; `retryAfterMs` is the platform's own word on when to come back. */
export type TryFailure = PlatformFailure & { readonly retryAfterMs?: number }

export interface RetryLoopOptions {
  readonly clock: Clock
  /** Longest time of all tries together. */
  readonly callTimeoutMs: number
  readonly maxTries: number
  /** Wait after the given number of tries. */
  readonly computeBackoffMs: (tries: number) => number
}

export type RetryLoop = <T>(
  runTry: (remainingMs: number) => Promise<Result<T, TryFailure>>
) => Promise<Result<T, PlatformFailure>>

/** Creates a loop that ends with the first good try, or with the last failure once tries or time are used up. */
export function createRetryLoop (options: RetryLoopOptions): RetryLoop {
  const { clock, callTimeoutMs, maxTries } = options
  const wait = (ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })

  return async (runTry) => {
    const deadlineMs = clock.nowMs() + callTimeoutMs
    for (let tries = 1; ; tries++) {
      const result = await runTry(deadlineMs - clock.nowMs())
      if (result.isOk()) return result
      const failure = { kind: result.error.kind, message: result.error.message }
      const waitMs = Math.max(options.computeBackoffMs(tries), result.error.retryAfterMs ?? 0)
      if (tries >= maxTries || clock.nowMs() + waitMs >= deadlineMs) return err(failure)
      await wait(waitMs)
    }
  }
}

/** Computes a wait that doubles with each try and varies by the jitter. */
export function computeBackoffMs (tries: number, random: Random): number {
  const factor = 1 + BACKOFF_JITTER * (random.nextFloat() * 2 - 1)
  return BACKOFF_MS * 2 ** (tries - 1) * factor
}
