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
   * Waits until fewer orders than the limit are in flight; `releaseSlot` must be called once afterwards. Starts with and without tickets take turns.
   *
   * @param sinceMs monotonic time since which the start has waited for others, in milliseconds
   * @param hasTicket whether the start must be ordered before a ticket expires
   */
  waitForSlot: (sinceMs: number, hasTicket: boolean) => Promise<void>
  /** @param responseMs time until the response was read, in milliseconds; `null` if the order was not sent or its worker did not respond */
  releaseSlot: (responseMs: number | null) => void
  /** Counts the starts with tickets that may be decided now, so that none of them waits for long. */
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
  /** Called when the last order with a ticket that waited has got its slot. */
  readonly onQueueEmpty: () => void
}

/** Orders in flight that are always allowed. */
const MIN_LIMIT = 4
/** Least and greatest number of starts with tickets that may wait. */
const MIN_WAITING_STARTS = 32
const MAX_WAITING_STARTS = 1024
/** Factor by which that number shrinks, and the shortest time between two such steps, in milliseconds. */
const SHRINK_FACTOR = 0.7
const SHRINK_INTERVAL_MS = 250

export function createStartWindow ({ limit: maxLimit, slowResponseMs, maxWaitMs, clock, onQueueEmpty }: StartWindowOptions): StartWindow {
  const minLimit = Math.min(MIN_LIMIT, maxLimit)
  const ticketed: Array<() => void> = []
  const unticketed: Array<() => void> = []
  let isTicketedNext = true
  let limit = maxLimit
  let inFlight = 0
  let maxWaiting = MAX_WAITING_STARTS
  let shrunkAtMs = -Infinity

  const updateLimit = (responseMs: number): void => {
    limit = Math.max(minLimit, Math.min(maxLimit, limit + (responseMs < slowResponseMs ? 1 : -1)))
  }

  const updateMaxWaiting = (waitMs: number): void => {
    if (waitMs < maxWaitMs / 2) {
      maxWaiting = Math.min(MAX_WAITING_STARTS, maxWaiting + 1)
      return
    }
    if (waitMs < maxWaitMs || clock.nowMs() - shrunkAtMs < SHRINK_INTERVAL_MS) return
    shrunkAtMs = clock.nowMs()
    maxWaiting = Math.max(MIN_WAITING_STARTS, Math.floor(maxWaiting * SHRINK_FACTOR))
  }

  const takeNext = (): (() => void) | undefined => {
    const [first, second] = isTicketedNext ? [ticketed, unticketed] : [unticketed, ticketed]
    isTicketedNext = !isTicketedNext
    return first.shift() ?? second.shift()
  }

  return {
    waitForSlot: async (sinceMs, hasTicket) => {
      if (inFlight >= limit) await new Promise<void>((resolve) => { (hasTicket ? ticketed : unticketed).push(resolve) })
      else inFlight++
      if (hasTicket) updateMaxWaiting(clock.nowMs() - sinceMs)
    },
    releaseSlot: (responseMs) => {
      if (responseMs !== null) updateLimit(responseMs)
      inFlight--
      if (ticketed.length + unticketed.length === 0) return
      const hadTicketed = ticketed.length > 0
      while (inFlight < limit) {
        const next = takeNext()
        if (next === undefined) break
        inFlight++
        next()
      }
      if (hadTicketed && ticketed.length === 0) onQueueEmpty()
    },
    countRoom: () => Math.max(0, maxWaiting - ticketed.length)
  }
}
