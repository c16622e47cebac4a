/** Paces the planning rounds of a holder: the pause after a round grows with its duration, so that planning takes a bounded share of the event loop. */
import type { Clock } from '@fuchsiatally/core'
import { MAX_PACING_PAUSE_MS, MAX_PLAN_SHARE } from './constants.js'

/** Pacer of one term. */
export interface PlanPacer {
  /** Time until the next round may start, in milliseconds; 0 if it may start now. */
  readDelayMs: () => number
  /** Duration of the last round, in milliseconds. */
  readLastRoundMs: () => number
  /** Runs a round and starts the pause after it. */
  runRound: <T>(run: () => T) => T
}

export function createPlanPacer (clock: Clock): PlanPacer {
  let lastRoundMs = 0
  let nextRoundAtMs = -Infinity
  return {
    readDelayMs: () => Math.max(0, nextRoundAtMs - clock.nowMs()),
    readLastRoundMs: () => lastRoundMs,
    runRound: (run) => {
      const startedAtMs = clock.nowMs()
      const result = run()
      const endedAtMs = clock.nowMs()
      lastRoundMs = endedAtMs - startedAtMs
      nextRoundAtMs = endedAtMs + Math.min(MAX_PACING_PAUSE_MS, lastRoundMs * (1 / MAX_PLAN_SHARE - 1))
      return result
    }
  }
}
