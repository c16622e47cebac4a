/** Graceful shutdown: refuses new work, answers requests in flight and hands over everything that the entry holds. */
import type { HttpServer } from '../http/httpServer.js'
import type { EventLog } from '@fuchsiatally/core'
import type { Entry } from './entry.js'
import { processStopped, processStopping, shutdownTimedOut } from './events.js'

const POLL_INTERVAL_MS = 20

/** Cause of a shutdown: a signal, or the loss of the entry's name to another process. */
export type ShutdownCause = 'signal' | 'lost'

export interface GracefulShutdownOptions {
  readonly entry: Entry
  readonly server: HttpServer
  readonly events: EventLog
  readonly name: string
  /** Longest wait for requests in flight, in milliseconds. */
  readonly shutdownMs: number
}

/** Waits for the cause of a shutdown. */
export interface ShutdownWaiter {
  readonly cause: Promise<ShutdownCause>
  /** Reports that another process has taken over this entry's name. */
  readonly notifyNameLost: () => void
}

/** Listens for SIGTERM and SIGINT; a second signal exits the process at once with code 1. */
export function createShutdownWaiter (): ShutdownWaiter {
  let stop: (cause: ShutdownCause) => void = () => {}
  const cause = new Promise<ShutdownCause>((resolve) => { stop = resolve })
  let signalled = false
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      if (signalled) process.exit(1)
      signalled = true
      stop('signal')
    })
  }
  return { cause, notifyNameLost: () => { stop('lost') } }
}

/** Resolves to `true` when the HTTP server has answered all requests, or to `false` at the deadline. */
async function waitForResponses (server: HttpServer, deadlineMs: number): Promise<boolean> {
  while (server.countInFlight() > 0) {
    if (performance.now() > deadlineMs) return false
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
  return true
}

/** Resolves to `true` if `work` completes before the deadline, otherwise to `false`. */
async function waitUntilDone (work: Promise<unknown>, deadlineMs: number): Promise<boolean> {
  const timedOut = new Promise<false>((resolve) => {
    setTimeout(() => { resolve(false) }, Math.max(0, deadlineMs - performance.now())).unref()
  })
  return await Promise.race([work.then(() => true as const), timedOut])
}

/** Runs the shutdown; the sockets are still open when it returns. */
export async function runGracefulShutdown (options: GracefulShutdownOptions): Promise<void> {
  const { entry, server, events } = options
  events.record(processStopping, { entry: options.name, inFlight: server.countInFlight() })
  const deadlineMs = performance.now() + options.shutdownMs
  server.beginClosing()
  const drained = await waitUntilDone(entry.drain(), deadlineMs)
  const answered = await waitForResponses(server, deadlineMs)
  if (!drained || !answered) events.record(shutdownTimedOut, { inFlight: server.countInFlight() })
  await entry.release()
  events.record(processStopped, { entry: options.name })
}
