/** System clock that stands still until a test lets it go, so that a slow machine can't fire a timer before its scenario begins. */
import { performance } from 'node:perf_hooks'
import type { Clock } from '../clock.js'
import { createSystemClock } from './systemClock.js'

/** A clock that stands still until it is released. */
export interface HeldClock extends Clock {
  /** Lets the clock go on from where it stood, and starts the timers that wait for it. */
  release: () => void
}

interface WaitingTimer {
  readonly delayMs: number
  readonly action: () => void
  isDisposed: boolean
  dispose: () => void
}

/** Creates a clock that stands still. */
export function createHeldClock (): HeldClock {
  const system = createSystemClock()
  const waiting = new Set<WaitingTimer>()
  let heldSinceMs: number | null = performance.now()
  let heldMs = 0

  return {
    ...system,
    nowMs: () => (heldSinceMs ?? performance.now()) - heldMs,
    setTimer: (delayMs, action) => {
      if (heldSinceMs === null) return system.setTimer(delayMs, action)
      const timer: WaitingTimer = { delayMs, action, isDisposed: false, dispose: () => { timer.isDisposed = true } }
      waiting.add(timer)
      return { dispose: () => timer.dispose() }
    },
    release: () => {
      if (heldSinceMs === null) return
      heldMs += performance.now() - heldSinceMs
      heldSinceMs = null
      for (const timer of waiting) if (!timer.isDisposed) timer.dispose = system.setTimer(timer.delayMs, timer.action).dispose
      waiting.clear()
    }
  }
}
