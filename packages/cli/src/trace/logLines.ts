/** Reads the log lines of several processes. */

/** One line of a log. */
export interface LogLine {
  /** Wall clock of the process that wrote it, in milliseconds since 1970. */
  readonly timeMs: number
  /** Process that wrote it: text before the line's JSON, else the file. */
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
    const prefix = text.slice(0, start).trim().split(/\s+/).filter((word) => !/^-?[\d.]*$/.test(word)).join(' ')
    const fields = typeof record['fields'] === 'object' && record['fields'] !== null ? record['fields'] as Record<string, unknown> : {}
    return { timeMs, source: prefix === '' ? file : prefix, event: record['event'], title: String(record['title'] ?? ''), fields }
  } catch {
    // Logs are often cut or mixed with other output; the caller counts what could not be read.
    return null
  }
}

/** Lines of a log, and how many others it held. */
export interface ParsedLog {
  readonly lines: readonly LogLine[]
  readonly unread: number
}

/** Parses a log; a line may carry the name of its process before the JSON. */
export function parseLog (text: string, file: string): ParsedLog {
  const lines: LogLine[] = []
  let unread = 0
  for (const row of text.split('\n')) {
    if (row.trim() === '') continue
    const line = parseLine(row, file)
    if (line === null) unread++
    else lines.push(line)
  }
  return { lines, unread }
}
