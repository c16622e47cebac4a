/** Log of numbered events: to the console, to a bounded memory and to those who follow it. */
import type { Clock, Disposable, EventDefinition, EventFields, EventLevel, EventLog } from '@fuchsiatally/core'
import { createConsola, type ConsolaReporter } from 'consola'
import { logLinesMissing } from './events.js'
import { createLineBudget } from './lineBudget.js'
import { createLineWriter, type LineWriter } from './lineWriter.js'

/** One event as it is stored and shown. */
export interface EventRecord {
  /** Wall clock, ISO 8601. */
  readonly time: string
  readonly event: string
  readonly level: EventLevel
  readonly title: string
  readonly fields: EventFields
}

/** Options of the event log. */
export interface EventLogOptions {
  readonly clock: Clock
  /** Least severe level that is written to the console; all levels reach memory and followers. */
  readonly level: EventLevel
  /** `json` writes one JSON object a line, `text` is meant for a terminal, `none` writes nothing. */
  readonly format: 'json' | 'text' | 'none'
  /** Records kept in memory. Default 512. */
  readonly memorySize?: number
  /** Writer of lines of JSON. Default standard output. */
  readonly writer?: LineWriter
}

/** Event log that can be read back and followed. */
export interface FollowableEventLog extends EventLog {
  /** Records in memory, oldest first. */
  listRecords: () => readonly EventRecord[]
  /** Calls `receive` for each further record. */
  onRecord: (receive: (record: EventRecord) => void) => Disposable
}

const DEFAULT_MEMORY_SIZE = 512
const LEVEL_RANK: Readonly<Record<EventLevel, number>> = { debug: 0, info: 1, warn: 2, error: 3 }
/** Interval of the lines that sum up what is missing, in milliseconds. */
const SUMMARY_MS = 1000
const CONSOLA_EVERYTHING = 5

/** Consola's reporters write synchronously to a pipe; lines of JSON go through a writer that drops rather than waits. */
function createJsonReporter (writer: LineWriter): ConsolaReporter {
  return { log: (entry) => { writer.writeLine(JSON.stringify(entry.args[0])) } }
}

/** Formats a record for a terminal. */
export function formatRecord (record: EventRecord): string {
  const fields = Object.entries(record.fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`)
  return [record.event, record.title, ...fields].join(' ')
}

/** Creates the log of one process. */
export function createEventLog (options: EventLogOptions): FollowableEventLog {
  const memorySize = options.memorySize ?? DEFAULT_MEMORY_SIZE
  const records: EventRecord[] = []
  const followers = new Set<(record: EventRecord) => void>()
  const writer = options.writer ?? createLineWriter()
  const budget = createLineBudget(options.clock)
  const reporters = options.format === 'json' ? { reporters: [createJsonReporter(writer)] } : {}
  let summarizedAtMs = options.clock.nowMs()
  const output = createConsola({ level: CONSOLA_EVERYTHING, ...reporters })

  const createRecord = (event: EventDefinition, fields: EventFields): EventRecord => ({
    time: new Date(options.clock.wallMs()).toISOString(), event: event.id, level: event.level, title: event.title, fields
  })

  /** Tells once a second how many lines are missing. */
  const summarizeMissing = (): void => {
    if (options.clock.nowMs() - summarizedAtMs < SUMMARY_MS) return
    summarizedAtMs = options.clock.nowMs()
    const dropped = writer.takeDropped()
    const withheld = Object.fromEntries(budget.takeWithheld())
    if (dropped === 0 && Object.keys(withheld).length === 0) return
    const record = createRecord(logLinesMissing, { dropped, withheld })
    output[record.level](options.format === 'json' ? record : formatRecord(record))
  }

  const writeToConsole = (record: EventRecord): void => {
    if (options.format === 'none') return
    if (LEVEL_RANK[record.level] < LEVEL_RANK[options.level]) return
    summarizeMissing()
    // Warnings and errors are what explains a failed request: they are not withheld.
    if (record.level === 'info' && !budget.trySpend(record.event)) return
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
