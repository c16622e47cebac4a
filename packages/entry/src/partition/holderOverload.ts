/** Detects, with hysteresis, that a holder cannot keep up with its work, and lists the queues whose new jobs entries should refuse. */
import type { Clock, Disposable, EventLog } from '@fuchsiatally/core'
import {
  OVERLOAD_END_AFTER_MS, OVERLOAD_END_SHARE, OVERLOAD_LOOP_DELAY_MS, OVERLOAD_REVIEW_INTERVAL_MS, OVERLOAD_ROUND_AGE_MS, OVERLOAD_ROUND_MS
} from './constants.js'
import { holderOverloaded, holderRecovered } from './events.js'
import type { OverloadedQueue } from './partitionRows.js'
import type { QueueWait } from './queueWaits.js'

/** Load of the holder at one time. */
export interface OverloadInputs {
  /** Longest delay of the event loop since the last review, in milliseconds. */
  readonly loopDelayMs: number
  /** Duration of the last planning round, in milliseconds. */
  readonly roundMs: number
  /** Time since the last complete planning round while steps wait, in milliseconds; otherwise 0. */
  readonly roundAgeMs: number
}

export interface HolderOverloadOptions {
  readonly partition: string
  readonly epoch: number
  readonly clock: Clock
  readonly events: EventLog
  readonly readInputs: () => OverloadInputs
  readonly listQueueWaits: () => readonly QueueWait[]
  /** The state, or the list of queues, has changed. */
  readonly onChange: () => void
}

/** Overload state of one term. */
export interface HolderOverload extends Disposable {
  /** `null` while the holder is not overloaded. */
  readQueues: () => readonly OverloadedQueue[] | null
}

/** Largest input as a share of the value from which the holder is overloaded. */
function computeLoadShare ({ loopDelayMs, roundMs, roundAgeMs }: OverloadInputs): number {
  return Math.max(loopDelayMs / OVERLOAD_LOOP_DELAY_MS, roundMs / OVERLOAD_ROUND_MS, roundAgeMs / OVERLOAD_ROUND_AGE_MS)
}

/** Lists the queues with a backlog; a queue of lower priority that causes most of it yields if a more urgent one is late. */
export function listOverloadedQueues (waits: readonly QueueWait[]): OverloadedQueue[] {
  const total = waits.reduce((sum, { waiting }) => sum + waiting, 0)
  const lateClasses = waits.filter(({ waitMs, slackMs }) => waitMs > slackMs).map(({ priority }) => priority)
  const yielding = waits.find(({ priority, waiting }) => 2 * waiting > total && lateClasses.some((late) => late < priority))
  return waits.map(({ queue, waitMs }): OverloadedQueue => ({ queue, waitMs: Math.round(waitMs), yields: queue === yielding?.queue }))
    // Once the cause of the backlog yields, the others are served.
    .filter(({ yields }) => yielding === undefined || yields)
}

export function createHolderOverload (options: HolderOverloadOptions): HolderOverload {
  const { clock, events } = options
  let queues: readonly OverloadedQueue[] | null = null
  let startedAtMs = 0
  let loadedAtMs = -Infinity
  let timer: Disposable

  const setQueues = (next: readonly OverloadedQueue[] | null): void => {
    const formatNames = (list: readonly OverloadedQueue[] | null): string => list === null ? '' : `!${list.map(({ queue }) => queue).join()}`
    const isChanged = formatNames(next) !== formatNames(queues)
    queues = next
    if (isChanged) options.onChange()
  }

  const updateState = (): void => {
    const nowMs = clock.nowMs()
    const waits = options.listQueueWaits()
    const inputs = options.readInputs()
    const share = computeLoadShare(inputs)
    const isOverloaded = queues !== null
    if (share >= (isOverloaded ? OVERLOAD_END_SHARE : 1)) loadedAtMs = nowMs
    const fields = {
      cell: options.partition,
      epoch: options.epoch,
      loopDelayMs: Math.round(inputs.loopDelayMs),
      roundMs: Math.round(inputs.roundMs),
      roundAgeMs: Math.round(inputs.roundAgeMs),
      waitingJobs: waits.reduce((sum, { waiting }) => sum + waiting, 0),
      oldestUrgentMs: Math.round(Math.max(0, ...waits.filter(({ priority }) => priority === 0).map(({ oldestMs }) => oldestMs)))
    }
    if (!isOverloaded && share >= 1) {
      startedAtMs = nowMs
      events.record(holderOverloaded, fields)
    }
    if (isOverloaded && nowMs - loadedAtMs >= OVERLOAD_END_AFTER_MS) {
      events.record(holderRecovered, { ...fields, overloadedMs: Math.round(nowMs - startedAtMs) })
      setQueues(null)
    } else if (isOverloaded || share >= 1) setQueues(listOverloadedQueues(waits))
  }

  const scheduleReview = (): void => {
    timer = clock.setTimer(OVERLOAD_REVIEW_INTERVAL_MS, () => {
      updateState()
      scheduleReview()
    })
  }
  scheduleReview()

  return { readQueues: () => queues, dispose: () => timer.dispose() }
}
