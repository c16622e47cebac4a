/** Parses the JSON log lines of entries. */

/** A parsed log line. */
export interface LogLine {
  /** Wall clock time at the process that wrote the line, in milliseconds since 1970. */
  readonly timeMs: number
  /** Process that wrote the line: the text before its JSON, or the name of the file if there is none. */
  readonly source: string
  readonly event: string
  readonly title: string
  readonly fields: Readonly<Record<string, unknown>>
}

function parseLine (text: string, file: string): LogLine | null {
  const start = text.indexOf('{')
  if (start < 0) return null
  try {
    const record = JSON.parse(text.slice(start)) as Record<string, unknown>
    const timeMs = Date.parse(String(record['time']))
    if (Number.isNaN(timeMs) || typeof record['event'] !== 'string') return null
    // Numbers before the JSON, such as elapsed times, are not part of the process name.
    const prefix = text.slice(0, start).trim().split(/\s+/).filter((word) => !/^-?[\d.]*$/.test(word)).join(' ')
    const fields = typeof record['fields'] === 'object' && record['fields'] !== null ? record['fields'] as Record<string, unknown> : {}
    return { timeMs, source: prefix === '' ? file : prefix, event: record['event'], title: String(record['title'] ?? ''), fields }
  } catch {
    // Logs may be truncated or mixed with other output; the caller counts the skipped lines.
    return null
  }
}

/** Parsed lines of a log and the number of skipped lines. */
export interface ParsedLog {
  readonly lines: readonly LogLine[]
  readonly skippedLines: number
}

/** Parses a log; the JSON of a line may follow the name of its process. */
export function parseLog (text: string, file: string): ParsedLog {
  const lines: LogLine[] = []
  let skippedLines = 0
  for (const row of text.split('\n')) {
    if (row.trim() === '') continue
    const line = parseLine(row, file)
    if (line === null) skippedLines++
    else lines.push(line)
  }
  return { lines, skippedLines }
}
