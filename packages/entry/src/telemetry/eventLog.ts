/** Log of numbered events, written to the console, a bounded in-memory buffer and followers. */
import type { Clock, Disposable, EventDefinition, EventFields, EventLevel, EventLog } from '@fuchsiatally/core'
import { createConsola, type ConsolaReporter } from 'consola'
import { holderLoadMeasured } from '../partition/events.js'
import { logLinesMissing } from './events.js'
import { createLogRateLimiter } from './logRateLimiter.js'
import { createLineWriter, type LineWriter } from './lineWriter.js'

/** A recorded event. */
export interface EventRecord {
  /** Wall clock, ISO 8601. */
  readonly time: string
  readonly event: string
  readonly level: EventLevel
  readonly title: string
  readonly fields: EventFields
}

export interface EventLogOptions {
  readonly clock: Clock
  /** Lowest level that is written to the console; the buffer and followers receive all levels. */
  readonly level: EventLevel
  /** `json` writes one JSON object per line, `text` is meant for a terminal, `none` writes nothing. */
  readonly format: 'json' | 'text' | 'none'
  /** Number of records held in memory. Default: 512. */
  readonly memorySize?: number
  /** Writer of JSON lines. Default: standard output. */
  readonly writer?: LineWriter
}

/** Event log that can be read and followed. */
export interface FollowableEventLog extends EventLog {
  /** Records in memory, oldest first. */
  listRecords: () => readonly EventRecord[]
  /** Calls `receive` for each subsequent record. */
  onRecord: (receive: (record: EventRecord) => void) => Disposable
}

const DEFAULT_MEMORY_SIZE = 512
const LEVEL_SEVERITY: Readonly<Record<EventLevel, number>> = { debug: 0, info: 1, warn: 2, error: 3 }
/** Interval of the summaries of missing lines, in milliseconds. */
const SUMMARY_INTERVAL_MS = 1000
const CONSOLA_LEVEL_ALL = 5
/** Consola withholds repeated lines without counting them; the rate limiter counts what it withholds. */
const NO_THROTTLE = 0

/** Whether the line explains an overload, or a failure that it causes. */
function isHighPriority (record: EventRecord): boolean {
  return LEVEL_SEVERITY[record.level] >= LEVEL_SEVERITY.warn || record.event === holderLoadMeasured.id
}

/** Creates a reporter that drops lines rather than block: Consola's own reporters write synchronously to a pipe. */
function createJsonReporter (writer: LineWriter): ConsolaReporter {
  return {
    log: (entry) => {
      const record: EventRecord = entry.args[0]
      writer.writeLine(JSON.stringify(record), isHighPriority(record) ? 'high' : 'normal')
    }
  }
}

/** Formats a record for a terminal. */
export function formatRecord (record: EventRecord): string {
  const fields = Object.entries(record.fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`)
  return [record.event, record.title, ...fields].join(' ')
}

export function createEventLog (options: EventLogOptions): FollowableEventLog {
  const memorySize = options.memorySize ?? DEFAULT_MEMORY_SIZE
  const records: EventRecord[] = []
  const followers = new Set<(record: EventRecord) => void>()
  const writer = options.writer ?? createLineWriter()
  const rateLimiter = createLogRateLimiter(options.clock)
  const reporters = options.format === 'json' ? { reporters: [createJsonReporter(writer)] } : {}
  let summarizedAtMs = options.clock.nowMs()
  const output = createConsola({ level: CONSOLA_LEVEL_ALL, throttle: NO_THROTTLE, ...reporters })

  const createRecord = (event: EventDefinition, fields: EventFields): EventRecord => ({
    time: new Date(options.clock.wallMs()).toISOString(), event: event.id, level: event.level, title: event.title, fields
  })

  /** Logs at most once a second how many lines were dropped or suppressed. */
  const summarizeMissingLines = (): void => {
    if (options.clock.nowMs() - summarizedAtMs < SUMMARY_INTERVAL_MS) return
    summarizedAtMs = options.clock.nowMs()
    const dropped = writer.takeDropped()
    const suppressed = Object.fromEntries(rateLimiter.takeSuppressed())
    if (dropped === 0 && Object.keys(suppressed).length === 0) return
    const record = createRecord(logLinesMissing, { dropped, withheld: suppressed })
    output[record.level](options.format === 'json' ? record : formatRecord(record))
  }

  const writeToConsole = (record: EventRecord): void => {
    if (options.format === 'none') return
    if (LEVEL_SEVERITY[record.level] < LEVEL_SEVERITY[options.level]) return
    summarizeMissingLines()
    // Warnings and errors are never suppressed, because they explain failed requests.
    if (record.level === 'info' && !rateLimiter.tryAcquire(record.event)) return
    output[record.level](options.format === 'json' ? record : formatRecord(record))
  }

  return {
    record: (event: EventDefinition, fields: EventFields) => {
      const record = createRecord(event, fields)
      records.push(record)
      if (records.length > memorySize) records.shift()
      writeToConsole(record)
      for (const follow of followers) follow(record)
    },
    listRecords: () => records,
    onRecord: (receive) => {
      followers.add(receive)
      return { dispose: () => { followers.delete(receive) } }
    }
  }
}
