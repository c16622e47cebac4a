/** Graceful shutdown of an entry: hands over its partitions, while callers that still arrive are served. */
import type { Clock, EventLog } from '@fuchsiatally/core'
import type { HttpServer } from '../http/httpServer.js'
import type { PartitionEntry } from './partitionEntry.js'
import { entryStopped } from './events.js'

export interface PartitionShutdownOptions {
  readonly entry: Pick<PartitionEntry, 'release'>
  readonly callers: Pick<HttpServer, 'beginClosing' | 'stop'>
  readonly name: string
  /** Shortest time for which callers are served after the start of the shutdown, in milliseconds. */
  readonly lingerMs: number
  readonly clock: Clock
  readonly events: EventLog
}

/** Runs the shutdown; all open requests have been answered when it returns. */
export async function runPartitionShutdown (options: PartitionShutdownOptions): Promise<void> {
  const lingered = new Promise<void>((resolve) => { options.clock.setTimer(options.lingerMs, resolve) })
  options.callers.beginClosing()
  await options.entry.release()
  await lingered
  await options.callers.stop()
  options.events.record(entryStopped, { entry: options.name })
}
