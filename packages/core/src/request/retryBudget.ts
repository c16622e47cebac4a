/** Limits retries to a fraction of the requests, so that a failure does not cause a retry storm. */
import { MAX_RETRY_BUDGET, RETRIES_PER_REQUEST } from './constants.js'

/** Budget of retries. */
export interface RetryBudget {
  /** Records a first attempt. */
  addRequest: () => void
  /** Takes one retry from the budget, or returns `false` if there is none. */
  takeRetry: () => boolean
  /** Returns a retry that was taken but not used. */
  addRetry: () => void
}

/** Creates a budget filled to half of its maximum. */
export function createRetryBudget (): RetryBudget {
  let balance = MAX_RETRY_BUDGET / 2
  return {
    addRequest: () => { balance = Math.min(MAX_RETRY_BUDGET, balance + RETRIES_PER_REQUEST) },
    takeRetry: () => {
      if (balance < 1) return false
      balance -= 1
      return true
    },
    addRetry: () => { balance = Math.min(MAX_RETRY_BUDGET, balance + 1) }
  }
}
