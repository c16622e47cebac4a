/**
 * Bounds the start orders in flight, and the starts that wait for their turn. Pattern: adaptive concurrency limit with back-pressure.
 *
 * In a slow process, the responses to a large window of orders are read so late that each looks overdue, and the orders are repeated; and starts
 * that wait behind others outlast their tickets.
 */
import type { Clock } from '@fuchsiatally/core'

/** Window of one term. */
export interface StartWindow {
  /**
   * Waits until fewer orders than the limit are in flight; `releaseSlot` must be called once afterwards.
   *
   * @param decidedAtMs monotonic time of the decision, in milliseconds
   */
  waitForSlot: (decidedAtMs: number) => Promise<void>
  /** @param responseMs time until the response was read, in milliseconds; `null` if the order was not sent or its worker did not respond */
  releaseSlot: (responseMs: number | null) => void
  /** Counts the starts that may be decided now, so that none waits for long. */
  countRoom: () => number
}

export interface StartWindowOptions {
  /** Most orders in flight. */
  readonly limit: number
  /** Response time from which fewer orders are in flight, in milliseconds. */
  readonly slowResponseMs: number
  /** Wait of a start from which fewer are decided at a time, in milliseconds; below half of it more are. */
  readonly maxWaitMs: number
  readonly clock: Clock
  /** Called when the last order that waited has got its slot. */
  readonly onQueueEmpty: () => void
}

/** Orders in flight that are always allowed. */
const MIN_LIMIT = 4
/** Least and greatest number of starts that may wait or be in flight. */
const MIN_OPEN_STARTS = 32
const MAX_OPEN_STARTS = 1024
/** Factor by which that number shrinks, and the shortest time between two such steps, in milliseconds. */
const SHRINK_FACTOR = 0.7
const SHRINK_INTERVAL_MS = 250

export function createStartWindow ({ limit: maxLimit, slowResponseMs, maxWaitMs, clock, onQueueEmpty }: StartWindowOptions): StartWindow {
  const minLimit = Math.min(MIN_LIMIT, maxLimit)
  const queue: Array<() => void> = []
  let limit = maxLimit
  let inFlight = 0
  let maxOpen = MAX_OPEN_STARTS
  let shrunkAtMs = -Infinity

  const updateLimit = (responseMs: number): void => {
    limit = Math.max(minLimit, Math.min(maxLimit, limit + (responseMs < slowResponseMs ? 1 : -1)))
  }

  const updateMaxOpen = (waitMs: number): void => {
    if (waitMs < maxWaitMs / 2) {
      maxOpen = Math.min(MAX_OPEN_STARTS, maxOpen + 1)
      return
    }
    if (waitMs < maxWaitMs || clock.nowMs() - shrunkAtMs < SHRINK_INTERVAL_MS) return
    shrunkAtMs = clock.nowMs()
    maxOpen = Math.max(MIN_OPEN_STARTS, Math.floor(maxOpen * SHRINK_FACTOR))
  }

  return {
    waitForSlot: async (decidedAtMs) => {
      if (inFlight >= limit) await new Promise<void>((resolve) => { queue.push(resolve) })
      else inFlight++
      updateMaxOpen(clock.nowMs() - decidedAtMs)
    },
    releaseSlot: (responseMs) => {
      if (responseMs !== null) updateLimit(responseMs)
      inFlight--
      if (queue.length === 0) return
      while (inFlight < limit) {
        const next = queue.shift()
        if (next === undefined) break
        inFlight++
        next()
      }
      if (queue.length === 0) onQueueEmpty()
    },
    countRoom: () => Math.max(0, maxOpen - queue.length - inFlight)
  }
}
