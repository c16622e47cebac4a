/** Events of the event log. */
import { defineEvent } from '@fuchsiatally/core'

export const logLinesMissing = defineEvent('FT890', 'warn', 'Log lines missing', 'Lines dropped because the reader was too slow, and lines suppressed by the rate limit of their event, since the last such line.')
