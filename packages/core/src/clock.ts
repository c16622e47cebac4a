/** Abstractions of time, timers and randomness, injected so that tests can control them. */

/** A resource that can be released; releasing it again has no effect. */
export interface Disposable {
  dispose: () => void
}

/** Source of time and timers. */
export interface Clock {
  /** Monotonic time in milliseconds since an arbitrary start; unaffected by changes of the wall clock. */
  nowMs: () => number
  /** Wall-clock time in milliseconds since 1970, for display, share windows, job schedules and suspension checks; correctness must not depend on it alone. */
  wallMs: () => number
  /** Runs `action` once after `delayMs`, unless disposed first. */
  setTimer: (delayMs: number, action: () => void) => Disposable
  /** Runs `action` once after the event loop has read input that has already arrived, unless disposed first; timers run before that. */
  runAfterPoll: (action: () => void) => Disposable
}

/** Source of random numbers and identifiers. */
export interface Random {
  /** Uniform in [0, 1). */
  nextFloat: () => number
  /** Identifier of at least 96 random bits, in URL-safe characters. */
  nextId: () => string
}

/**
 * Runs `action` every `intervalMs` until disposed, starting after one interval.
 *
 * @param jitter maximum random variation of each delay as a fraction of the interval, from 0 to 1
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
