/** Time, timers and randomness, injected so that tests decide them. */

/** Something that is released once; releasing it again does nothing. */
export interface Disposable {
  dispose: () => void
}

/** Monotonic time of this process. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never goes back, also not while the wall clock does. */
  nowMs: () => number
  /** Milliseconds since 1970; for people and share windows, never for a safety argument. */
  wallMs: () => number
  /** Runs `action` once after `delayMs`, unless disposed before. */
  setTimer: (delayMs: number, action: () => void) => Disposable
}

/** Source of random numbers and identifiers. */
export interface Random {
  /** Uniform in [0, 1). */
  nextFloat: () => number
  /** Identifier of at least 96 random bits, in characters that need no escaping in URLs. */
  nextId: () => string
}

/**
 * Runs `action` every `intervalMs` until disposed; the first run is after one interval.
 *
 * @param jitter fraction of the interval by which each delay varies, from 0 to 1
 */
export function startInterval (
  clock: Clock, random: Random, intervalMs: number, jitter: number, action: () => void
): Disposable {
  let disposed = false
  let timer: Disposable
  const scheduleNext = (): void => {
    const factor = 1 + jitter * (random.nextFloat() * 2 - 1)
    timer = clock.setTimer(intervalMs * factor, runAction)
  }
  const runAction = (): void => {
    if (disposed) return
    scheduleNext()
    action()
  }
  scheduleNext()
  return {
    dispose: () => {
      disposed = true
      timer.dispose()
    }
  }
}
