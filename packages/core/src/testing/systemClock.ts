/** System clock and random source, for tests and stand-ins that use real sockets. */
import { randomBytes } from 'node:crypto'
import { performance } from 'node:perf_hooks'
import type { Clock, Random } from '../clock.js'

const ID_BYTES = 12
const TWO_TO_32 = 2 ** 32

/** Creates a clock based on the process's monotonic time. */
export function createSystemClock (): Clock {
  return {
    nowMs: () => performance.now(),
    wallMs: () => Date.now(),
    setTimer: (delayMs, action) => {
      const timer = setTimeout(action, Math.max(0, delayMs))
      return { dispose: () => clearTimeout(timer) }
    },
    runAfterPoll: (action) => {
      const immediate = setImmediate(action)
      return { dispose: () => { clearImmediate(immediate) } }
    }
  }
}

/** Creates a random source based on the system's random bytes. */
export function createSystemRandom (): Random {
  return {
    nextFloat: () => randomBytes(4).readUInt32BE(0) / TWO_TO_32,
    nextId: () => randomBytes(ID_BYTES).toString('hex')
  }
}
