/** Writes log lines without blocking on a slow reader. */
import type { Disposable } from '@fuchsiatally/core'
import sonic from 'sonic-boom'

/** `high`: lines that explain an overload; they have reserved room in the buffer. */
export type LinePriority = 'normal' | 'high'

/** Non-blocking writer of lines. */
export interface LineWriter extends Disposable {
  writeLine: (line: string, priority: LinePriority) => void
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
/** Share of the buffer that lines of normal priority may fill. */
const NORMAL_PRIORITY_SHARE = 0.75

/** Creates the writer; lines that exceed the buffer, or the share of their priority, are dropped and counted. */
export function createLineWriter (options: LineWriterOptions = {}): LineWriter {
  const output = new sonic.SonicBoom({ fd: options.fd ?? STDOUT_FD, sync: false })
  const maxBytes = options.maxBufferedBytes ?? DEFAULT_MAX_BUFFERED_BYTES
  let bufferedBytes = 0
  let dropped = 0
  let isBroken = false
  let queued: string[] = []
  let isWriting = false

  /** Writes all queued lines at once: a write ends only at the next turn of the event loop, and a late loop has few turns. */
  const writeQueued = (): void => {
    isWriting = queued.length > 0
    if (!isWriting) return
    const text = queued.join('')
    queued = []
    output.write(text)
  }
  output.on('write', (writtenBytes: number) => { bufferedBytes -= writtenBytes })
  output.on('drain', writeQueued)
  // A reader that closes the pipe must not crash the process; lines that cannot be written count as dropped.
  output.on('error', () => { isBroken = true })
  return {
    writeLine: (line, priority) => {
      const text = `${line}\n`
      const bytes = Buffer.byteLength(text)
      if (isBroken || bufferedBytes + bytes > (priority === 'high' ? maxBytes : NORMAL_PRIORITY_SHARE * maxBytes)) {
        dropped++
        return
      }
      bufferedBytes += bytes
      queued.push(text)
      if (!isWriting) writeQueued()
    },
    takeDropped: () => {
      const taken = dropped
      dropped = 0
      return taken
    },
    dispose: () => {
      if (isBroken) return
      writeQueued()
      output.flushSync()
      bufferedBytes = 0
    }
  }
}
