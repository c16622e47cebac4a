/** Deduplication of the exchanges that one peer forwards to an owner, so that each runs at most once. */
import type { RequestOutcome } from '../schema/request.js'

/** State of an exchange when it arrives or is queried. */
export type ExchangeState =
  /** Not seen before; now recorded as running. */
  | { readonly kind: 'fresh' }
  | { readonly kind: 'running' }
  | { readonly kind: 'done', readonly outcome: RequestOutcome }

/** Exchanges of one peer incarnation, which numbers them in increasing order. */
export interface ExchangeDeduplicator {
  /** Records the arrival of an exchange; it may run only if its state is `fresh`. */
  addExchange: (sequence: number) => ExchangeState
  /** Answers a peer's query; an exchange that has not arrived is marked as `notRun` and can no longer run. */
  resolveExchange: (sequence: number) => Exclude<ExchangeState, { kind: 'fresh' }>
  /** Stores the outcome of a running exchange for later queries. */
  recordOutcome: (sequence: number, outcome: RequestOutcome) => void
  /** The lowest sequence number above all that were seen. */
  readNextSequence: () => number
}

const OUTCOME_DISCARDED: RequestOutcome = { kind: 'unknown', reason: 'the owner no longer stores the outcome' }
const NEVER_ARRIVED: RequestOutcome = { kind: 'notRun', reason: 'the request never reached the owner', retryAfterMs: 0 }

function estimateBytes (outcome: RequestOutcome): number {
  return 256 + (outcome.kind === 'completed' ? outcome.body.byteLength : 0)
}

/**
 * Creates a deduplicator without exchanges. Discarding an outcome raises a low watermark, below which no unknown
 * sequence number may run, so that no exchange runs a second time.
 *
 * @param maxBytes maximum total size of the stored outcomes
 * @param firstSequence initial low watermark, for a peer whose earlier deduplicator was discarded
 */
export function createExchangeDeduplicator (maxBytes: number, firstSequence = 0): ExchangeDeduplicator {
  const running = new Set<number>()
  const done = new Map<number, RequestOutcome>()
  let lowWatermark = firstSequence
  let nextSequence = firstSequence
  let bytes = 0

  const findState = (sequence: number): Exclude<ExchangeState, { kind: 'fresh' }> | undefined => {
    if (running.has(sequence)) return { kind: 'running' }
    const outcome = done.get(sequence)
    if (outcome !== undefined) return { kind: 'done', outcome }
    return sequence < lowWatermark ? { kind: 'done', outcome: OUTCOME_DISCARDED } : undefined
  }

  const storeOutcome = (sequence: number, outcome: RequestOutcome): void => {
    done.set(sequence, outcome)
    bytes += estimateBytes(outcome)
    for (const [oldest, dropped] of done) {
      if (bytes <= maxBytes) break
      done.delete(oldest)
      bytes -= estimateBytes(dropped)
      lowWatermark = Math.max(lowWatermark, oldest + 1)
    }
  }

  return {
    addExchange: (sequence) => {
      nextSequence = Math.max(nextSequence, sequence + 1)
      const state = findState(sequence)
      if (state !== undefined) return state
      running.add(sequence)
      return { kind: 'fresh' }
    },
    resolveExchange: (sequence) => {
      nextSequence = Math.max(nextSequence, sequence + 1)
      const state = findState(sequence)
      if (state !== undefined) return state
      storeOutcome(sequence, NEVER_ARRIVED)
      return { kind: 'done', outcome: NEVER_ARRIVED }
    },
    recordOutcome: (sequence, outcome) => {
      running.delete(sequence)
      storeOutcome(sequence, outcome)
    },
    readNextSequence: () => nextSequence
  }
}
