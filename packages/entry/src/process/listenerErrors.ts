/** Keeps a process running when one of its listeners fails to accept a connection, such as at the limit of file descriptors. */
import type { EventEmitter } from 'node:events'
import type { EventLog } from '@fuchsiatally/core'
import { listenerFailed } from '../http/events.js'

/** Logs the errors of a listener from now on; without a receiver, an error of a listener ends the process. */
export function handleListenerErrors (listener: EventEmitter, log: EventLog, address: string): void {
  listener.on('error', (error: Error) => { log.record(listenerFailed, { address, message: error.message }) })
}
