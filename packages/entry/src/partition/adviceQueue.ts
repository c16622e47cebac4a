/** Calls of this entry to the advice service, which serves one of them at a time. */
import type { Clock, EventLog } from '@fuchsiatally/core'
import { ADVICE_SLACK_MS } from './constants.js'
import { adviceMissing } from './events.js'
import type { AdviceClient } from './ports.js'

/** Options of the queue. */
export interface AdviceQueueOptions {
  readonly client: AdviceClient
  readonly clock: Clock
  readonly events: EventLog
}

/** One question. */
export interface QueuedQuestion {
  /** `job.occurrence.step` */
  readonly step: string
  readonly workers: readonly string[]
  /** Time that the service needs for the answer, in milliseconds. */
  readonly costMs: number
  /** Work in front of it beyond which it is declined, in milliseconds. */
  readonly mostQueuedMs: number
  /** Time after which the asker has given up, in milliseconds. */
  readonly patienceMs: number
}

/** What became of a question. */
export type AdviceOutcome =
  | { readonly kind: 'advice', readonly good: ReadonlyMap<string, string> }
  /** Nothing was asked: so much work stands in front. */
  | { readonly kind: 'declined', readonly queuedMs: number }
  | { readonly kind: 'failed' }

/** Calls that wait for their turn. */
export interface AdviceQueue {
  ask: (question: QueuedQuestion) => Promise<AdviceOutcome>
}

/** Creates an empty queue. */
export function createAdviceQueue (options: AdviceQueueOptions): AdviceQueue {
  const { client, clock, events } = options
  let tail: Promise<unknown> = Promise.resolve()
  let waiting = 0
  /** Time at which all calls taken so far are expected to be served. */
  let freeAtMs = -Infinity

  const callService = async (question: QueuedQuestion, takenAtMs: number): Promise<AdviceOutcome> => {
    if (clock.nowMs() + question.costMs > takenAtMs + question.patienceMs) return { kind: 'failed' }
    const result = await client.askAdvice(question.step, question.workers, question.costMs + ADVICE_SLACK_MS)
    if (result.isOk()) return { kind: 'advice', good: result.value }
    events.record(adviceMissing, { step: question.step, reason: result.error.message })
    return { kind: 'failed' }
  }

  return {
    ask: async (question) => {
      const nowMs = clock.nowMs()
      if (waiting === 0) freeAtMs = nowMs
      // A call that is overdue is expected to take as long again.
      const queuedMs = waiting > 0 ? Math.max(1, Math.abs(freeAtMs - nowMs)) : 0
      if (queuedMs > question.mostQueuedMs) return { kind: 'declined', queuedMs }
      freeAtMs = Math.max(freeAtMs, nowMs) + question.costMs
      waiting++
      const call = tail.then(() => callService(question, nowMs))
      tail = call
      try {
        return await call
      } finally {
        waiting--
      }
    }
  }
}
