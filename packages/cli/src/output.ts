/** Output of commands: text by default, JSON with `--json`. */
import type { CliFailure } from './entryClient.js'

/** Output streams of an invocation. */
export interface CliStreams {
  readonly writeOut: (text: string | Uint8Array) => void
  readonly writeErr: (text: string) => void
  /** Whether standard output is a terminal. */
  readonly isTerminal: boolean
}

/** Writes the results of a command. */
export interface Output {
  /** Writes `value` as JSON with `--json`, otherwise `text`. */
  writeResult: (value: unknown, text: string) => void
  /** Writes bytes unchanged; appends a newline on a terminal only. */
  writeBytes: (bytes: Uint8Array) => void
  /** Writes a line to standard error, unless `--json` is set. */
  writeNote: (text: string) => void
  writeFailure: (failure: CliFailure) => void
}

/** Creates the output of an invocation. */
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

/** Formats rows as aligned columns with a header. */
export function formatTable (header: readonly string[], rows: readonly (readonly string[])[]): string {
  const allRows = [header, ...rows]
  const widths = header.map((_, column) => Math.max(...allRows.map((row) => (row[column] ?? '').length)))
  return allRows.map((row) => row.map((value, column) => value.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n')
}
