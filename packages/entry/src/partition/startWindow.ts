/**
 * Bounds the start orders in flight; the others wait in order. Pattern: adaptive concurrency limit. The responses to a window of orders are read
 * one after the other, so that in a slow process a large window makes each of them look overdue, and the orders are repeated.
 */

import type { Clock } from '@fuchsiatally/core'

/** Window of one term. */
export interface StartWindow {
  /** Waits until fewer orders than the limit are in flight; `releaseSlot` must be called once afterwards. */
  waitForSlot: () => Promise<void>
  /** @param responseMs time until the response was read, in milliseconds; `null` if the order was not sent or its worker did not respond */
  releaseSlot: (responseMs: number | null) => void
  /** Counts the starts that may be added now, so that none waits for long. */
  countRoom: () => number
}

export interface StartWindowOptions {
  /** Most orders in flight. */
  readonly limit: number
  /** Response time from which the limit shrinks, in milliseconds. */
  readonly slowResponseMs: number
  readonly clock: Clock
  /** Longest time for which a start should wait for its slot, in milliseconds. */
  readonly maxWaitMs: number
  /** Called when the last order that waited has got its slot. */
  readonly onQueueEmpty: () => void
}

/** Orders in flight that are always allowed. */
const MIN_LIMIT = 4
/** Time over which the rate of orders is measured, in milliseconds. */
const RATE_PERIOD_MS = 200
/** Time from one order to the next until it has been measured, in milliseconds. */
const INITIAL_INTERVAL_MS = 1

/** Shortest such time, in milliseconds: measured times may be 0. */
const MIN_INTERVAL_MS = 0.1

export function createStartWindow ({ limit: maxLimit, slowResponseMs, clock, maxWaitMs, onQueueEmpty }: StartWindowOptions): StartWindow {
  const minLimit = Math.min(MIN_LIMIT, maxLimit)
  const queue: Array<() => void> = []
  let limit = maxLimit
  let inFlight = 0
  /** Time from one order to the next while others wait. */
  let intervalMs = INITIAL_INTERVAL_MS
  /** Start of the current measurement; `null` if no order waits. */
  let measuredFromMs: number | null = null
  let measuredCount = 0

  const measureRate = (): void => {
    const nowMs = clock.nowMs()
    if (measuredFromMs === null) measuredFromMs = nowMs
    else measuredCount++
    const elapsedMs = nowMs - measuredFromMs
    if (elapsedMs < RATE_PERIOD_MS && queue.length > 0) return
    if (measuredCount >= maxLimit) intervalMs = elapsedMs / measuredCount
    measuredFromMs = queue.length > 0 ? nowMs : null
    measuredCount = 0
  }

  const adjustLimit = (responseMs: number): void => {
    limit = Math.max(minLimit, Math.min(maxLimit, limit + (responseMs < slowResponseMs ? 1 : -1)))
  }

  return {
    waitForSlot: async () => {
      if (inFlight >= limit) await new Promise<void>((resolve) => { queue.push(resolve) })
      else inFlight++
    },
    releaseSlot: (responseMs) => {
      if (responseMs !== null) adjustLimit(responseMs)
      inFlight--
      if (queue.length === 0) return
      measureRate()
      while (inFlight < limit) {
        const next = queue.shift()
        if (next === undefined) break
        inFlight++
        next()
      }
      if (queue.length === 0) onQueueEmpty()
    },
    countRoom: () => Math.max(0, Math.floor(maxWaitMs / Math.max(intervalMs, MIN_INTERVAL_MS)) - queue.length - inFlight)
  }
}
