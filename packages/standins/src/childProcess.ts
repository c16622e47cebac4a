/** Child processes of a cluster: each is ended by its own id, and none outlives its parent. */
import { type ChildProcess, spawn } from 'node:child_process'
import { appendFileSync } from 'node:fs'
import { join } from 'node:path'
import { createInterface } from 'node:readline'

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** One process with its lines of output. */
export interface Child {
  readonly pid: number
  readonly ended: Promise<ProcessEnd>
  readonly hasEnded: () => boolean
  readonly sendSignal: (signal: NodeJS.Signals) => void
  /** Resolves with the first line that `pick` turns into a value; fails if the process ends before. */
  readonly waitForLine: <T>(pick: (line: string) => T | undefined) => Promise<T>
  /** Last lines of both outputs. */
  readonly listTail: () => readonly string[]
  /** Ends it by a signal and by SIGKILL if it has not ended within the time. */
  readonly stop: (signal: NodeJS.Signals, withinMs: number) => Promise<ProcessEnd>
}

export interface ChildOptions {
  readonly name: string
  /** Script and its arguments. */
  readonly args: readonly string[]
  /** Written to standard input, which stays open as long as the parent lives. */
  readonly input?: string
  readonly onLine?: (line: string) => void
  /** Variables beside the parent's own. */
  readonly env?: Readonly<Record<string, string>>
}

const TAIL_LINES = 40
const living = new Set<ChildProcess>()
process.on('exit', () => { for (const child of living) child.kill('SIGKILL') })

/** Starts a Node.js script as a process of its own; the variable `STANDINS_LOG_DIR` names a folder that keeps its whole output. */
export function startChild (options: ChildOptions): Child {
  // A process group of its own keeps the terminal's Ctrl-C for the parent, which then stops the children in order.
  const child = spawn(process.execPath, [...options.args], { stdio: ['pipe', 'pipe', 'pipe'], detached: true, env: { ...process.env, ...options.env } })
  const tail: string[] = []
  const listeners = new Set<(line: string) => void>()
  let end: ProcessEnd | undefined
  living.add(child)
  child.stdin.on('error', () => {})
  if (options.input !== undefined) child.stdin.write(options.input)

  const logDirectory = process.env['STANDINS_LOG_DIR'] || undefined
  const takeLine = (line: string): void => {
    if (logDirectory !== undefined) appendFileSync(join(logDirectory, `${options.name}-${child.pid}.log`), line + '\n')
    tail.push(line)
    if (tail.length > TAIL_LINES) tail.shift()
    options.onLine?.(line)
    for (const listener of listeners) listener(line)
  }
  createInterface({ input: child.stdout }).on('line', takeLine)
  createInterface({ input: child.stderr }).on('line', takeLine)

  const ended = new Promise<ProcessEnd>((resolve) => {
    child.on('exit', (code, signal) => {
      living.delete(child)
      end = { code, signal }
      resolve(end)
    })
  })

  const waitForLine = <T>(pick: (line: string) => T | undefined): Promise<T> => new Promise((resolve, reject) => {
    const listener = (line: string): void => {
      const picked = pick(line)
      if (picked === undefined) return
      listeners.delete(listener)
      resolve(picked)
    }
    listeners.add(listener)
    for (const line of tail) listener(line)
    ended.then(() => reject(new Error(`${options.name} ended before it was ready:\n${tail.join('\n')}`)), () => {})
  })

  const stop = async (signal: NodeJS.Signals, withinMs: number): Promise<ProcessEnd> => {
    if (end !== undefined) return end
    child.kill(signal)
    const timer = setTimeout(() => child.kill('SIGKILL'), withinMs)
    const result = await ended
    clearTimeout(timer)
    return result
  }

  return {
    pid: child.pid ?? 0,
    ended,
    hasEnded: () => end !== undefined,
    sendSignal: (signal) => { if (end === undefined) child.kill(signal) },
    waitForLine,
    listTail: () => tail,
    stop
  }
}
