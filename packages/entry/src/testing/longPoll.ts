/** Long polling for fakes. */
import type { Clock } from '@fuchsiatally/core'

/** Pending long-poll calls. */
export interface LongPoll {
  /** Makes every pending call re-evaluate its condition. */
  notify: () => void
  /** Resolves as soon as `isReady` returns true, or after `waitMs`; evaluates it at the start and at each `notify`. */
  waitUntil: (isReady: () => boolean, waitMs: number) => Promise<void>
}

/** Creates a poll without pending calls. */
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
    notify: () => { for (const finish of [...waiting]) finish() },
    waitUntil: async (isReady, waitMs) => {
      const endMs = clock.nowMs() + waitMs
      while (!isReady() && clock.nowMs() < endMs) await waitOnce(endMs - clock.nowMs())
    }
  }
}
