/** FIFO queue of this entry's calls to the advice service, which serves one call at a time. */
import type { Clock, EventLog } from '@fuchsiatally/core'
import { ADVICE_TIMEOUT_MARGIN_MS } from './constants.js'
import { adviceMissing } from './events.js'
import type { AdviceClient } from './ports.js'

export interface AdviceQueueOptions {
  readonly client: AdviceClient
  readonly clock: Clock
  readonly events: EventLog
}

/** A queued advice request. */
export interface QueuedRequest {
  /** `job.occurrence.step` */
  readonly step: string
  readonly workers: readonly string[]
  /** Expected service time, in milliseconds. */
  readonly costMs: number
  /** Queued work above which the request is declined, in milliseconds. */
  readonly maxQueuedMs: number
  /** Time after which the requester no longer waits for the response, in milliseconds. */
  readonly timeoutMs: number
}

/** Outcome of a request. */
export type AdviceOutcome =
  | { readonly kind: 'advice', readonly tickets: ReadonlyMap<string, string> }
  /** The service was not called because of the work queued ahead. */
  | { readonly kind: 'declined', readonly queuedMs: number }
  /** `isOwnDelay`: the delay of this entry explains it, so that it says nothing about the server. */
  | { readonly kind: 'failed', readonly isOwnDelay?: boolean }

/** Queue of calls to the advice service. */
export interface AdviceQueue {
  submit: (request: QueuedRequest) => Promise<AdviceOutcome>
}

export function createAdviceQueue (options: AdviceQueueOptions): AdviceQueue {
  const { client, clock, events } = options
  let tail: Promise<unknown> = Promise.resolve()
  let pendingCount = 0
  /** Time at which all accepted calls are expected to be served. */
  let idleAtMs = -Infinity

  const callService = async (request: QueuedRequest, acceptedAtMs: number): Promise<AdviceOutcome> => {
    if (clock.nowMs() + request.costMs > acceptedAtMs + request.timeoutMs) return { kind: 'failed', isOwnDelay: true }
    const result = await client.requestAdvice(request.step, request.workers, request.costMs + ADVICE_TIMEOUT_MARGIN_MS)
    if (result.isOk()) return { kind: 'advice', tickets: result.value }
    events.record(adviceMissing, { step: request.step, reason: result.error.message })
    return { kind: 'failed' }
  }

  return {
    submit: async (request) => {
      const nowMs = clock.nowMs()
      if (pendingCount === 0) idleAtMs = nowMs
      // A call that is overdue by some time is expected to take that much time again.
      const queuedMs = pendingCount > 0 ? Math.max(1, Math.abs(idleAtMs - nowMs)) : 0
      if (queuedMs > request.maxQueuedMs) return { kind: 'declined', queuedMs }
      idleAtMs = Math.max(idleAtMs, nowMs) + request.costMs
      pendingCount++
      const call = tail.then(() => callService(request, nowMs))
      tail = call
      try {
        return await call
      } finally {
        pendingCount--
      }
    }
  }
}
