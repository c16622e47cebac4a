/** Clock and randomness of the operating system. */
import { randomBytes } from 'node:crypto'
import type { Clock, Random } from '@fuchsiatally/core'

const ID_BYTES = 12
const FLOAT_BYTES = 4
const POOL_BYTES = 1024

/** Creates the clock of this process. */
export function createSystemClock (): Clock {
  return {
    nowMs: () => performance.now(),
    wallMs: () => Date.now(),
    setTimer: (delayMs, action) => {
      const timer = setTimeout(action, delayMs)
      return { dispose: () => { clearTimeout(timer) } }
    }
  }
}

/** Creates a source of random numbers that cannot be guessed. */
export function createSystemRandom (): Random {
  // One call to the operating system for many numbers: timers draw several a second.
  let pool = randomBytes(POOL_BYTES)
  let offset = 0
  const readPool = (): number => {
    if (offset === POOL_BYTES) {
      pool = randomBytes(POOL_BYTES)
      offset = 0
    }
    offset += FLOAT_BYTES
    return pool.readUInt32LE(offset - FLOAT_BYTES)
  }
  return {
    nextFloat: () => readPool() / 2 ** 32,
    nextId: () => randomBytes(ID_BYTES).toString('base64url')
  }
}
