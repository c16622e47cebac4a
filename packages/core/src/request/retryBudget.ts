/** Bounds retries to a part of the requests, so that a fault is not answered by a flood. */
import { MAX_SAVED_RETRIES, RETRY_EARNED } from './constants.js'

/** Retries that may be spent. */
export interface RetryBudget {
  /** Notes one first try. */
  addRequest: () => void
  /** Spends one retry, or returns `false`. */
  takeRetry: () => boolean
  /** Returns a retry that was taken in advance and not needed. */
  addRetry: () => void
}

/** Creates a budget with half of the most that it saves. */
export function createRetryBudget (): RetryBudget {
  let saved = MAX_SAVED_RETRIES / 2
  return {
    addRequest: () => { saved = Math.min(MAX_SAVED_RETRIES, saved + RETRY_EARNED) },
    takeRetry: () => {
      if (saved < 1) return false
      saved -= 1
      return true
    },
    addRetry: () => { saved = Math.min(MAX_SAVED_RETRIES, saved + 1) }
  }
}
