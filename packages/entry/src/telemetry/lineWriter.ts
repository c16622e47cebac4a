/** Writes log lines without blocking on a slow reader. */
import type { Disposable } from '@fuchsiatally/core'
import sonic from 'sonic-boom'

/** Non-blocking writer of lines. */
export interface LineWriter extends Disposable {
  writeLine: (line: string) => void
  /** Returns the number of lines dropped since the last call because the reader was too slow, and resets it. */
  takeDropped: () => number
}

export interface LineWriterOptions {
  /** File descriptor. Default: 1, standard output. */
  readonly fd?: number
  /** Bytes buffered for the reader before lines are dropped. Default: 256 KiB. */
  readonly maxBufferedBytes?: number
}

const STDOUT_FD = 1
const DEFAULT_MAX_BUFFERED_BYTES = 262_144

/** Creates the writer; lines that exceed the buffer are dropped and counted. */
export function createLineWriter (options: LineWriterOptions = {}): LineWriter {
  const output = new sonic.SonicBoom({ fd: options.fd ?? STDOUT_FD, sync: false, maxLength: options.maxBufferedBytes ?? DEFAULT_MAX_BUFFERED_BYTES })
  let dropped = 0
  let isBroken = false
  output.on('drop', () => { dropped++ })
  // A reader that closes the pipe must not crash the process; lines that cannot be written count as dropped.
  output.on('error', () => { isBroken = true })
  return {
    writeLine: (line) => {
      if (isBroken) dropped++
      else output.write(`${line}\n`)
    },
    takeDropped: () => {
      const taken = dropped
      dropped = 0
      return taken
    },
    dispose: () => {
      if (!isBroken) output.flushSync()
    }
  }
}
