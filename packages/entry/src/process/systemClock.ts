/** Clock and randomness of the operating system. */
import { randomBytes } from 'node:crypto'
import type { Clock, Random } from '@fuchsiatally/core'

const ID_BYTES = 12

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
  return {
    nextFloat: () => randomBytes(4).readUInt32LE() / 2 ** 32,
    nextId: () => randomBytes(ID_BYTES).toString('base64url')
  }
}
