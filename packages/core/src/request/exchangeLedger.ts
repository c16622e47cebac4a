/** Memory of one owner for the exchanges that one peer forwarded: each runs at most once. */
import type { RequestOutcome } from '../schema/request.js'

/** What an exchange asked for again is known to be. */
export type ExchangeState =
  /** Not seen before; it is recorded as running now. */
  | { readonly kind: 'fresh' }
  | { readonly kind: 'running' }
  | { readonly kind: 'done', readonly outcome: RequestOutcome }

/** Exchanges of one peer incarnation, numbered by it in rising order. */
export interface ExchangeLedger {
  /** Notes that an exchange arrived; only `fresh` may run. */
  addExchange: (sequence: number) => ExchangeState
  /** Answers the peer's question; an exchange that never arrived is barred from running. */
  resolveExchange: (sequence: number) => Exclude<ExchangeState, { kind: 'fresh' }>
  /** Keeps the outcome of a running exchange for a peer that asks again. */
  recordOutcome: (sequence: number, outcome: RequestOutcome) => void
  /** The number above all that were seen. */
  readNextSequence: () => number
}

const FORGOTTEN: RequestOutcome = { kind: 'unknown', reason: 'the owner keeps the outcome no longer' }
const NEVER_ARRIVED: RequestOutcome = { kind: 'notRun', reason: 'the request never reached the owner', retryAfterMs: 0 }

function countBytes (outcome: RequestOutcome): number {
  return 256 + (outcome.kind === 'completed' ? outcome.body.byteLength : 0)
}

/**
 * Creates an empty ledger. What is dropped raises a floor below which nothing unknown runs, so that
 * forgetting never leads to a second run.
 *
 * @param maxBytes bound of the outcomes kept
 * @param firstSequence number below which nothing runs, for a peer whose earlier ledger was dropped
 */
export function createExchangeLedger (maxBytes: number, firstSequence = 0): ExchangeLedger {
  const running = new Set<number>()
  const done = new Map<number, RequestOutcome>()
  let floor = firstSequence
  let nextSequence = firstSequence
  let bytes = 0

  const findState = (sequence: number): Exclude<ExchangeState, { kind: 'fresh' }> | undefined => {
    if (running.has(sequence)) return { kind: 'running' }
    const outcome = done.get(sequence)
    if (outcome !== undefined) return { kind: 'done', outcome }
    return sequence < floor ? { kind: 'done', outcome: FORGOTTEN } : undefined
  }

  const keepOutcome = (sequence: number, outcome: RequestOutcome): void => {
    done.set(sequence, outcome)
    bytes += countBytes(outcome)
    for (const [oldest, dropped] of done) {
      if (bytes <= maxBytes) break
      done.delete(oldest)
      bytes -= countBytes(dropped)
      floor = Math.max(floor, oldest + 1)
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
      keepOutcome(sequence, NEVER_ARRIVED)
      return { kind: 'done', outcome: NEVER_ARRIVED }
    },
    recordOutcome: (sequence, outcome) => {
      running.delete(sequence)
      keepOutcome(sequence, outcome)
    },
    readNextSequence: () => nextSequence
  }
}
