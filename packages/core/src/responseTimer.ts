/** Timeout of a response that doesn't count the delay of the process's own event loop as silence of the other side. */
import type { Clock, Disposable } from './clock.js'

/** Delay of a timer from which the event loop counts as late, in milliseconds; shorter delays are ordinary jitter. */
const LATE_TIMER_MS = 20
/** Additional time for a response after a late check, in milliseconds: enough for a request that was itself sent late. */
const EXTENSION_MS = 50
/** Maximum extensions of one timeout. */
const MAX_EXTENSIONS = 3

export interface ResponseTimerOptions {
  readonly clock: Clock
  readonly timeoutMs: number
  /**
   * Called once if no response has arrived, after arrived input was read.
   *
   * @param isOwnDelay whether the event loop was late at every check, so that the silence says nothing about the other side
   */
  readonly onTimeout: (isOwnDelay: boolean) => void
}

/** Timer of one response; dispose it when the response is complete. */
export interface ResponseTimer extends Disposable {
  /** Notes that part of the response was read. */
  recordProgress: () => void
}

/**
 * Starts the timer. When it expires, arrived input is read before the timeout is declared: the event loop runs due timers before it reads
 * sockets, so after a blocking callback a response can be waiting unread. A check that is late, or during which part of the response is
 * read, extends the timeout, up to `MAX_EXTENSIONS` times.
 */
export function createResponseTimer (options: ResponseTimerOptions): ResponseTimer {
  const { clock } = options
  let extensions = 0
  let hasProgress = false
  let pending: Disposable

  const finishCheck = (isLate: boolean): void => {
    if (!(isLate || hasProgress) || extensions === MAX_EXTENSIONS) {
      options.onTimeout(isLate)
      return
    }
    extensions++
    startCheck(EXTENSION_MS)
  }
  const startCheck = (delayMs: number): void => {
    const dueAtMs = clock.nowMs() + delayMs
    pending = clock.setTimer(delayMs, () => {
      const isLate = clock.nowMs() - dueAtMs >= LATE_TIMER_MS
      hasProgress = false
      pending = clock.runAfterPoll(() => finishCheck(isLate))
    })
  }
  startCheck(options.timeoutMs)

  return {
    recordProgress: () => { hasProgress = true },
    dispose: () => pending.dispose()
  }
}
