/** Planned stop of an entry of the cells: its cells are handed over, callers are served until none comes any more. */
import type { Clock, EventLog } from '@fuchsiatally/core'
import type { HttpServer } from '../http/httpServer.js'
import type { PartitionEntry } from './partitionEntry.js'
import { entryStopped } from './events.js'

/** Options of the stop. */
export interface PartitionStopOptions {
  readonly entry: Pick<PartitionEntry, 'release'>
  readonly callers: Pick<HttpServer, 'stop'>
  readonly name: string
  /** Time in which callers still arrive, in milliseconds. */
  readonly lingerMs: number
  readonly clock: Clock
  readonly events: EventLog
}

/** Runs the stop; every open request has its answer when it returns. */
export async function runPartitionStop (options: PartitionStopOptions): Promise<void> {
  const lingered = new Promise<void>((resolve) => { options.clock.setTimer(options.lingerMs, resolve) })
  await options.entry.release()
  await lingered
  await options.callers.stop()
  options.events.record(entryStopped, { entry: options.name })
}
