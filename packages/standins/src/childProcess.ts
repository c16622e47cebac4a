/** Child processes of a cluster; each one is signalled individually, by its pid, and killed when the parent exits. */
import { type ChildProcess, spawn } from 'node:child_process'
import { appendFileSync } from 'node:fs'
import { join } from 'node:path'
import { createInterface } from 'node:readline'

/** Exit status of a process. */
export interface ProcessExit {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** A running process and its output. */
export interface Child {
  readonly pid: number
  readonly ended: Promise<ProcessExit>
  readonly hasEnded: () => boolean
  readonly sendSignal: (signal: NodeJS.Signals) => void
  /** Resolves with the first value that `parseLine` returns for a line of output; rejects if the process exits first. */
  readonly waitForLine: <T>(parseLine: (line: string) => T | undefined) => Promise<T>
  /** Most recent lines of standard output and standard error. */
  readonly listRecentOutput: () => readonly string[]
  /** Sends a signal, and SIGKILL if the process has not exited within the timeout. */
  readonly stop: (signal: NodeJS.Signals, timeoutMs: number) => Promise<ProcessExit>
}

export interface ChildOptions {
  readonly name: string
  /** Script path followed by its arguments. */
  readonly args: readonly string[]
  /** Written to standard input, which stays open for the lifetime of the parent. */
  readonly input?: string
  readonly onLine?: (line: string) => void
  /** Environment variables in addition to the parent's. */
  readonly env?: Readonly<Record<string, string>>
  /** Folder for a log of the full output; default the one named by `STANDINS_LOG_DIR`, if set. */
  readonly logFolder?: string
}

const MAX_RECENT_LINES = 40
const runningChildren = new Set<ChildProcess>()
process.on('exit', () => { for (const child of runningChildren) child.kill('SIGKILL') })

/** Starts a Node.js script as a child process. */
export function startChild (options: ChildOptions): Child {
  // In a separate process group the child does not receive the terminal's Ctrl-C; the parent stops its children in order.
  const child = spawn(process.execPath, [...options.args], { stdio: ['pipe', 'pipe', 'pipe'], detached: true, env: { ...process.env, ...options.env } })
  const recentLines: string[] = []
  const listeners = new Set<(line: string) => void>()
  let exit: ProcessExit | undefined
  runningChildren.add(child)
  child.stdin.on('error', () => {})
  if (options.input !== undefined) child.stdin.write(options.input)

  const logDirectory = options.logFolder ?? (process.env['STANDINS_LOG_DIR'] || undefined)
  const handleLine = (line: string): void => {
    if (logDirectory !== undefined) appendFileSync(join(logDirectory, `${options.name}-${child.pid}.log`), line + '\n')
    recentLines.push(line)
    if (recentLines.length > MAX_RECENT_LINES) recentLines.shift()
    options.onLine?.(line)
    for (const listener of listeners) listener(line)
  }
  createInterface({ input: child.stdout }).on('line', handleLine)
  createInterface({ input: child.stderr }).on('line', handleLine)

  const ended = new Promise<ProcessExit>((resolve) => {
    child.on('exit', (code, signal) => {
      runningChildren.delete(child)
      exit = { code, signal }
      resolve(exit)
    })
  })

  const waitForLine = <T>(parseLine: (line: string) => T | undefined): Promise<T> => new Promise((resolve, reject) => {
    const listener = (line: string): void => {
      const value = parseLine(line)
      if (value === undefined) return
      listeners.delete(listener)
      resolve(value)
    }
    listeners.add(listener)
    for (const line of recentLines) listener(line)
    ended.then(() => reject(new Error(`${options.name} exited before it was ready:\n${recentLines.join('\n')}`)), () => {})
  })

  const stop = async (signal: NodeJS.Signals, timeoutMs: number): Promise<ProcessExit> => {
    if (exit !== undefined) return exit
    child.kill(signal)
    const timer = setTimeout(() => child.kill('SIGKILL'), timeoutMs)
    const result = await ended
    clearTimeout(timer)
    return result
  }

  return {
    pid: child.pid ?? 0,
    ended,
    hasEnded: () => exit !== undefined,
    sendSignal: (signal) => { if (exit === undefined) child.kill(signal) },
    waitForLine,
    listRecentOutput: () => recentLines,
    stop
  }
}
