/** Answers of fakes that wait for something to happen. */
import type { Clock } from '@fuchsiatally/core'

/** Calls that wait. */
export interface LongPoll {
  /** Lets every waiting call look again. */
  wake: () => void
  /** Resolves as soon as `isReady` holds, or after `waitMs`. */
  waitUntil: (isReady: () => boolean, waitMs: number) => Promise<void>
}

/** Creates a poll that nobody waits at. */
export function createLongPoll (clock: Pick<Clock, 'nowMs' | 'setTimer'>): LongPoll {
  const waiting = new Set<() => void>()
  const waitOnce = (delayMs: number): Promise<void> => new Promise((resolve) => {
    const finish = (): void => {
      waiting.delete(finish)
      timer.dispose()
      resolve()
    }
    const timer = clock.setTimer(delayMs, finish)
    waiting.add(finish)
  })
  return {
    wake: () => { for (const finish of [...waiting]) finish() },
    waitUntil: async (isReady, waitMs) => {
      const endMs = clock.nowMs() + waitMs
      while (!isReady() && clock.nowMs() < endMs) await waitOnce(endMs - clock.nowMs())
    }
  }
}
