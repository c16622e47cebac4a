/** Ends of runs that a worker has reported: passed on once each, and acknowledged once they are committed. */
import type { Clock } from '@fuchsiatally/core'
import type { LeaseResponse } from './ports.js'

type ListedEnd = LeaseResponse['ended'][number]

export interface ReportedEndsOptions {
  readonly clock: Clock
  /** Whether a job has changes that the commit that begins now does not cover. */
  readonly isChanged: (job: string) => boolean
}

/** Reported ends of one life of a worker. */
export interface ReportedEnds {
  /**
   * Highest number up to which all ends are committed; 0 once a call that carried it was answered. A call without a response may be executed late
   * by the worker's next life, which would forget the ends of its own that have these numbers.
   */
  readAcknowledged: () => number
  /** Records that a call which acknowledged the ends up to a number was answered. */
  recordAnswered: (acknowledgedEnd: number) => void
  /** Whether any end waits for its commit. */
  hasPending: () => boolean
  /** Returns the ends that were not reported before; they wait for their commit from now on. */
  takeNew: (ended: readonly ListedEnd[]) => ListedEnd[]
  /** Marks the ends that are covered by the commit that begins now. */
  beginCommit: () => void
  /** Acknowledges the marked ends: the commit was applied, or there was nothing to commit. */
  finishCommit: () => void
  /** Waits until no end is pending, for `delayMs` at most. */
  waitForCommit: (delayMs: number) => Promise<void>
  /** Ends the wait in progress. */
  cancelWait: () => void
  /** Forgets all ends: the worker has restarted, and its numbers begin anew. */
  forgetAll: () => void
}

/** Creates a list without ends. */
export function createReportedEnds ({ clock, isChanged }: ReportedEndsOptions): ReportedEnds {
  let lastReported = 0
  let acknowledged = 0
  /** Highest number that an answered call has carried. */
  let answered = 0
  /** Highest number up to which all ends are covered by the commit in progress. */
  let committing = 0
  let pending: ListedEnd[] = []
  let resolveWait: (() => void) | null = null

  return {
    readAcknowledged: () => acknowledged > answered ? acknowledged : 0,
    recordAnswered: (acknowledgedEnd) => { answered = Math.max(answered, acknowledgedEnd) },
    hasPending: () => pending.length > 0,
    takeNew: (ended) => {
      const reported = ended.filter((end) => end.number > lastReported)
      for (const end of reported) lastReported = Math.max(lastReported, end.number)
      pending.push(...reported)
      return reported
    },
    beginCommit: () => {
      committing = acknowledged
      for (const end of pending) {
        if (isChanged(end.job)) break
        committing = end.number
      }
    },
    finishCommit: () => {
      if (committing <= acknowledged) return
      acknowledged = committing
      pending = pending.filter((end) => end.number > acknowledged)
      if (pending.length === 0) resolveWait?.()
    },
    waitForCommit: (delayMs) => new Promise((resolve) => {
      const timer = clock.setTimer(delayMs, resolve)
      resolveWait = () => {
        timer.dispose()
        resolve()
      }
    }),
    cancelWait: () => resolveWait?.(),
    forgetAll: () => {
      lastReported = acknowledged = answered = committing = 0
      pending = []
    }
  }
}
