/** Events of the process life cycle. */
import { defineEvent } from '@fuchsiatally/core'

export const processStarted = defineEvent('FT120', 'info', 'Entry started', 'The process listens and registers its session.')
export const processStopping = defineEvent('FT121', 'info', 'Graceful shutdown started', 'No new callers are accepted, requests in flight are answered, and workers and roles are handed over.')
export const processStopped = defineEvent('FT122', 'info', 'Graceful shutdown completed', 'Everything was handed over; the process exits with code 0.')
export const shutdownTimedOut = defineEvent('FT123', 'warn', 'Graceful shutdown timed out', 'Requests are still in flight after limits.shutdownMs; they are aborted now.')
export const startFailed = defineEvent('FT124', 'error', 'Entry could not start', '`option` names the setting at fault, `mend` the remedy.')
