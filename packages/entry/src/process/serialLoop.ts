/** Runs an asynchronous step repeatedly, never concurrently with itself. */
import type { Clock, Disposable } from '@fuchsiatally/core'
import { failProcess } from './failProcess.js'

export interface SerialLoopOptions {
  readonly clock: Clock
  /** Pause between two steps, in milliseconds; evaluated before each pause. */
  readonly readPauseMs: () => number
  readonly runStep: () => Promise<void>
}

/** A running loop. */
export interface SerialLoop extends Disposable {
  /** Ends the current pause, or skips the pause after the step in progress. */
  wake: () => void
}

/** Starts the loop; the first step runs at once. A step that rejects violates an invariant and crashes the process. */
export function createSerialLoop (options: SerialLoopOptions): SerialLoop {
  let disposed = false
  let running = false
  let isWakePending = false
  let timer: Disposable | null = null

  const schedulePause = (): void => {
    if (disposed) return
    timer = options.clock.setTimer(isWakePending ? 0 : options.readPauseMs(), runNext)
  }
  const runNext = (): void => {
    if (disposed || running) return
    running = true
    isWakePending = false
    options.runStep().then(() => {
      running = false
      schedulePause()
    }, failProcess)
  }
  runNext()
  return {
    wake: () => {
      if (isWakePending || disposed) return
      isWakePending = true
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
