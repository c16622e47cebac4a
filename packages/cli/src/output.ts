/** What commands print: text for people, JSON for pipelines. */
import type { CliFailure } from './entryClient.js'

/** Streams of one run. */
export interface CliStreams {
  readonly writeOut: (text: string | Uint8Array) => void
  readonly writeErr: (text: string) => void
  /** Whether people read the output. */
  readonly isTerminal: boolean
}

/** Prints results of one command. */
export interface Output {
  /** The result: `value` with `--json`, else `text`. */
  writeResult: (value: unknown, text: string) => void
  /** Bytes as they came; a line end is added on a terminal alone. */
  writeBytes: (bytes: Uint8Array) => void
  /** A line for people alone. */
  writeNote: (text: string) => void
  writeFailure: (failure: CliFailure) => void
}

/** Creates the output of one run. */
export function createOutput (streams: CliStreams, json: boolean): Output {
  return {
    writeResult: (value, text) => { streams.writeOut(`${json ? JSON.stringify(value) : text}\n`) },
    writeBytes: (bytes) => {
      streams.writeOut(bytes)
      if (streams.isTerminal && bytes.length > 0) streams.writeOut('\n')
    },
    writeNote: (text) => { if (!json) streams.writeErr(`${text}\n`) },
    writeFailure: (failure) => {
      if (json) streams.writeOut(`${JSON.stringify({ error: { exitCode: failure.exitCode, message: failure.message, ...(failure.problem === undefined ? {} : { problem: failure.problem }) } })}\n`)
      streams.writeErr(`fuchsiatally: ${failure.message}\n`)
    }
  }
}

/** Formats rows as aligned columns under a header. */
export function formatTable (header: readonly string[], rows: readonly (readonly string[])[]): string {
  const all = [header, ...rows]
  const widths = header.map((_, column) => Math.max(...all.map((row) => (row[column] ?? '').length)))
  return all.map((row) => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n')
}
