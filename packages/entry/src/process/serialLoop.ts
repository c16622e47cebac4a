/** Runs one asynchronous step again and again, never two at a time. */
import type { Clock, Disposable } from '@fuchsiatally/core'
import { failProcess } from './failProcess.js'

/** Options of a serial loop. */
export interface SerialLoopOptions {
  readonly clock: Clock
  /** Pause between two steps, in milliseconds, read anew before each pause. */
  readonly readPauseMs: () => number
  readonly runStep: () => Promise<void>
}

/** A loop that can be hurried. */
export interface SerialLoop extends Disposable {
  /** Runs the next step at once, or right after the one that is running. */
  wake: () => void
}

/** Starts the loop; the first step runs at once. A step that throws stops the process, as a broken invariant. */
export function createSerialLoop (options: SerialLoopOptions): SerialLoop {
  let disposed = false
  let running = false
  let woken = false
  let timer: Disposable | null = null

  const schedulePause = (): void => {
    if (disposed) return
    timer = options.clock.setTimer(woken ? 0 : options.readPauseMs(), runNext)
  }
  const runNext = (): void => {
    if (disposed || running) return
    running = true
    woken = false
    options.runStep().then(() => {
      running = false
      schedulePause()
    }, failProcess)
  }
  runNext()
  return {
    wake: () => {
      if (woken || disposed) return
      woken = true
      if (running) return
      timer?.dispose()
      schedulePause()
    },
    dispose: () => {
      disposed = true
      timer?.dispose()
    }
  }
}
