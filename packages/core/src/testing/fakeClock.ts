/** Clock that only moves when a test advances it. */
import { setImmediate } from 'node:timers/promises'
import type { Clock, Disposable } from '../clock.js'

/** Manually advanced clock. */
export interface FakeClock extends Clock {
  /** Moves time forward and runs the timers that become due, in order of time and then of creation. */
  advance: (ms: number) => void
  /** Like `advance`, but runs pending promise callbacks before, between and after the timers. */
  runFor: (ms: number) => Promise<void>
  /** Runs pending promise callbacks without moving time. */
  settle: () => Promise<void>
  /** Moves time forward without running timers, as a callback that blocks the event loop does; the timers that became due run late. */
  block: (ms: number) => void
  /** Number of pending timers. */
  countTimers: () => number
}

export interface FakeClockOptions {
  /** Monotonic start in milliseconds; default 1000. */
  readonly startMs?: number
  /** Wall clock at the start, in milliseconds since 1970; default 2026-01-05T22:00:00Z. */
  readonly startWallMs?: number
}

interface Timer {
  readonly dueMs: number
  readonly action: () => void
}

const DEFAULT_WALL_MS = Date.UTC(2026, 0, 5, 22)

/** Creates a clock at its start time, without timers. */
export function createFakeClock (options: FakeClockOptions = {}): FakeClock {
  const startMs = options.startMs ?? 1000
  const startWallMs = options.startWallMs ?? DEFAULT_WALL_MS
  const timers: Timer[] = []
  let nowMs = startMs

  const setTimer = (delayMs: number, action: () => void): Disposable => {
    const timer = { dueMs: nowMs + Math.max(0, delayMs), action }
    timers.splice(findInsertionIndex(timers, timer.dueMs), 0, timer)
    return {
      dispose: () => {
        const index = timers.indexOf(timer)
        if (index >= 0) timers.splice(index, 1)
      }
    }
  }

  /** Runs the earliest timer that is due by `endMs`; returns `false` if there is none. */
  const runNext = (endMs: number): boolean => {
    const next = timers[0]
    if (next === undefined || next.dueMs > endMs) return false
    timers.shift()
    nowMs = Math.max(nowMs, next.dueMs)
    next.action()
    return true
  }

  const settle = async (): Promise<void> => { await setImmediate() }

  return {
    nowMs: () => nowMs,
    wallMs: () => startWallMs + nowMs - startMs,
    setTimer,
    runAfterPoll: (action) => setTimer(0, action),
    settle,
    block: (ms) => { nowMs += ms },
    countTimers: () => timers.length,
    advance: (ms) => {
      const endMs = nowMs + ms
      while (runNext(endMs));
      nowMs = Math.max(nowMs, endMs)
    },
    runFor: async (ms) => {
      const endMs = nowMs + ms
      await settle()
      while (runNext(endMs)) await settle()
      nowMs = Math.max(nowMs, endMs)
      await settle()
    }
  }
}

/** Finds the index after all timers that are due at `dueMs` or earlier. */
function findInsertionIndex (timers: readonly Timer[], dueMs: number): number {
  let low = 0
  let high = timers.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (timers[middle]!.dueMs <= dueMs) low = middle + 1
    else high = middle
  }
  return low
}
