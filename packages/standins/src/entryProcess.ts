/** Runs an entry (`fuchsiatallyd`) as a child process. */
import { createRequire } from 'node:module'
import { writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { stringify } from 'smol-toml'
import { type Child, startChild } from './childProcess.js'

export interface EntryProcessOptions {
  readonly name: string
  readonly failureDomain: string
  readonly cell: string
  readonly platformAddress: string
  readonly operatorKeySha256: string
  /** Directory in which the settings file is written. */
  readonly directory: string
  readonly logLevel: 'debug' | 'info'
}

export interface EntryProcess {
  readonly name: string
  readonly failureDomain: string
  readonly child: Child
  readonly httpAddress: string
  readonly linkAddress: string
  readonly incarnation: string
  /** Number of log lines per event id. */
  readonly eventCounts: ReadonlyMap<string, number>
}

interface LogLine {
  readonly event: string
  readonly fields: Readonly<Record<string, unknown>>
}

const STARTED_EVENT = 'FT120'
/** Same flags as in the shebang of the binary: a small young generation limits the memory of the process. */
const NODE_FLAGS = ['--max-semi-space-size=2']
const mainPath = join(dirname(createRequire(import.meta.url).resolve('@fuchsiatally/entry')), 'main.js')

/** Starts an entry and waits until it has logged its listen addresses. */
export async function startEntryProcess (options: EntryProcessOptions): Promise<EntryProcess> {
  const eventCounts = new Map<string, number>()
  const child = startChild({
    name: options.name,
    args: [...NODE_FLAGS, mainPath, '--config', writeSettings(options)],
    onLine: (line) => {
      const event = parseLogLine(line)?.event
      if (event !== undefined) eventCounts.set(event, (eventCounts.get(event) ?? 0) + 1)
    }
  })
  const started = await child.waitForLine((line) => {
    const parsed = parseLogLine(line)
    return parsed?.event === STARTED_EVENT ? parsed.fields : undefined
  })
  return {
    name: options.name,
    failureDomain: options.failureDomain,
    child,
    httpAddress: String(started['httpAddress']),
    linkAddress: String(started['linkAddress']),
    incarnation: String(started['incarnation']),
    eventCounts
  }
}

function writeSettings (options: EntryProcessOptions): string {
  const path = join(options.directory, `${options.name}.toml`)
  writeFileSync(path, stringify({
    entry: options.name,
    failureDomain: options.failureDomain,
    cell: options.cell,
    httpAddress: '127.0.0.1:0',
    linkAddress: '127.0.0.1:0',
    platformAddress: options.platformAddress,
    operatorKeySha256: options.operatorKeySha256,
    log: { level: options.logLevel, format: 'json' }
  }))
  return path
}

function parseLogLine (line: string): LogLine | undefined {
  if (!line.startsWith('{')) return undefined
  try {
    return JSON.parse(line) as LogLine
  } catch {
    return undefined
  }
}
