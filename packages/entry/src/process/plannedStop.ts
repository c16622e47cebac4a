/** Planned stop: nothing new, everything in flight answered, everything held handed over. */
import type { HttpServer } from '../http/httpServer.js'
import type { EventLog } from '@fuchsiatally/core'
import type { Entry } from './entry.js'
import { processStopped, processStopping, stopOverdue } from './events.js'

const POLL_MS = 20

/** Why the process shall end: a signal, or another process that took its name. */
export type StopCause = 'signal' | 'lost'

/** Options of a planned stop. */
export interface PlannedStopOptions {
  readonly entry: Entry
  readonly server: HttpServer
  readonly events: EventLog
  readonly name: string
  /** Longest wait for requests in flight, in milliseconds. */
  readonly shutdownMs: number
}

/** Waits for the cause of a stop. */
export interface StopWaiter {
  readonly cause: Promise<StopCause>
  /** Another process took this entry's name. */
  readonly stopLost: () => void
}

/** Listens for SIGTERM and SIGINT; a second signal ends the process at once with code 1. */
export function createStopWaiter (): StopWaiter {
  let stop: (cause: StopCause) => void = () => {}
  const cause = new Promise<StopCause>((resolve) => { stop = resolve })
  let signalled = false
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      if (signalled) process.exit(1)
      signalled = true
      stop('signal')
    })
  }
  return { cause, stopLost: () => { stop('lost') } }
}

/** Resolves with `true` when the HTTP interface has answered everything, with `false` at the deadline. */
async function waitForCallers (server: HttpServer, deadlineMs: number): Promise<boolean> {
  while (server.countInFlight() > 0) {
    if (performance.now() > deadlineMs) return false
    await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  }
  return true
}

/** Resolves with `true` if `work` ends before the deadline. */
async function isDoneBefore (work: Promise<unknown>, deadlineMs: number): Promise<boolean> {
  const overdue = new Promise<false>((resolve) => {
    setTimeout(() => { resolve(false) }, Math.max(0, deadlineMs - performance.now())).unref()
  })
  return await Promise.race([work.then(() => true as const), overdue])
}

/** Runs the stop; the sockets are still open when it returns. */
export async function runPlannedStop (options: PlannedStopOptions): Promise<void> {
  const { entry, server, events } = options
  events.record(processStopping, { entry: options.name, inFlight: server.countInFlight() })
  const deadlineMs = performance.now() + options.shutdownMs
  const drained = await isDoneBefore(entry.drain(), deadlineMs)
  const answered = await waitForCallers(server, deadlineMs)
  if (!drained || !answered) events.record(stopOverdue, { inFlight: server.countInFlight() })
  await entry.release()
  events.record(processStopped, { entry: options.name })
}
