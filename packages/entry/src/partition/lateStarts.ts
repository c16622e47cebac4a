/** Start orders without a response, which the worker may execute late: also in its next life, which knows of no stop that the former one has answered. */
import type { Clock, RunName } from '@fuchsiatally/core'
import { MAX_LATE_ORDER_MS } from './constants.js'
import { formatRun } from './formatRun.js'

/** Late starts at one worker. */
export interface LateStarts {
  /** Adds an attempt without a response. */
  add: (run: RunName, sentAtMs: number) => void
  /** Whether an attempt may still be executed. */
  has: (run: RunName) => boolean
  list: () => RunName[]
}

/** Creates a list without orders. */
export function createLateStarts (clock: Clock): LateStarts {
  /** Last attempt of each run, oldest first. */
  const attempts = new Map<string, { readonly run: RunName, readonly sentAtMs: number }>()

  const dropOld = (): void => {
    for (const [name, { sentAtMs }] of attempts) {
      if (clock.nowMs() - sentAtMs <= MAX_LATE_ORDER_MS) return
      attempts.delete(name)
    }
  }

  return {
    add: (run, sentAtMs) => {
      const name = formatRun(run)
      attempts.delete(name)
      attempts.set(name, { run, sentAtMs })
      dropOld()
    },
    has: (run) => {
      dropOld()
      return attempts.has(formatRun(run))
    },
    list: () => {
      dropOld()
      return [...attempts.values()].map(({ run }) => run)
    }
  }
}
