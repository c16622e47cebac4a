/** Writes log lines without ever waiting for their reader. */
import type { Disposable } from '@fuchsiatally/core'
import sonic from 'sonic-boom'

/** Writer of lines. */
export interface LineWriter extends Disposable {
  writeLine: (line: string) => void
  /** Lines dropped since the last call, because the reader was slower than the log. */
  takeDropped: () => number
}

/** Options of the writer. */
export interface LineWriterOptions {
  /** File descriptor; default 1, standard output. */
  readonly fd?: number
  /** Bytes that wait for the reader before lines are dropped; default 256 KiB. */
  readonly maxBufferedBytes?: number
}

const STANDARD_OUTPUT = 1
const DEFAULT_BUFFERED_BYTES = 262_144

/** Creates the writer; lines that the buffer can't take are dropped and counted. */
export function createLineWriter (options: LineWriterOptions = {}): LineWriter {
  const output = new sonic.SonicBoom({ fd: options.fd ?? STANDARD_OUTPUT, sync: false, maxLength: options.maxBufferedBytes ?? DEFAULT_BUFFERED_BYTES })
  let dropped = 0
  let isBroken = false
  output.on('drop', () => { dropped++ })
  // A reader that went away must not end the process; what can't be written is counted like what was dropped.
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
