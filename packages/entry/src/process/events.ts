/** Events of the process. */
import { defineEvent } from '@fuchsiatally/core'

export const processStarted = defineEvent('FT120', 'info', 'Entry started', 'The process listens and seeks its session.')
export const processStopping = defineEvent('FT121', 'info', 'Planned stop began', 'No new callers; what is in flight is answered, workers and roles are handed over.')
export const processStopped = defineEvent('FT122', 'info', 'Planned stop done', 'Everything was handed over; the process ends with exit code 0.')
export const stopOverdue = defineEvent('FT123', 'warn', 'Planned stop took too long', 'Requests are still in flight after limits.shutdownMs; they are cut off now.')
export const startFailed = defineEvent('FT124', 'error', 'Entry could not start', 'The reason names the option and the mend.')
