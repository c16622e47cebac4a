/** Clock and cryptographic random numbers of the operating system. */
import { randomBytes } from 'node:crypto'
import type { Clock, Random } from '@fuchsiatally/core'

const ID_BYTES = 12
const FLOAT_BYTES = 4
const RANDOM_POOL_BYTES = 1024
/** Longest delay of a timer, in milliseconds, some 25 days; the runtime runs timers with a longer one at once. */
const MAX_TIMER_DELAY_MS = 2 ** 31 - 1

/** Creates the clock of the process: monotonic time, wall time and timers. */
export function createSystemClock (): Clock {
  return {
    nowMs: () => performance.now(),
    wallMs: () => Date.now(),
    setTimer: (delayMs, action) => {
      const timer = setTimeout(action, Math.min(delayMs, MAX_TIMER_DELAY_MS))
      return { dispose: () => { clearTimeout(timer) } }
    },
    runAfterPoll: (action) => {
      const immediate = setImmediate(action)
      return { dispose: () => { clearImmediate(immediate) } }
    }
  }
}

/** Creates a cryptographically secure source of random numbers. */
export function createSystemRandom (): Random {
  // Buffers random bytes to save calls to the operating system: timers draw several numbers a second.
  let pool = randomBytes(RANDOM_POOL_BYTES)
  let offset = 0
  const readUint32 = (): number => {
    if (offset === RANDOM_POOL_BYTES) {
      pool = randomBytes(RANDOM_POOL_BYTES)
      offset = 0
    }
    offset += FLOAT_BYTES
    return pool.readUInt32LE(offset - FLOAT_BYTES)
  }
  return {
    nextFloat: () => readUint32() / 2 ** 32,
    nextId: () => randomBytes(ID_BYTES).toString('base64url')
  }
}
