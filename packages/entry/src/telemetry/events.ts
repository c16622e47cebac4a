/** Events of the event log. */
import { defineEvent } from '@fuchsiatally/core'

export const logLinesMissing = defineEvent('FT890', 'warn', 'Log lines missing', '`dropped` counts lines that the reader was too slow for, `withheld` those suppressed by the rate limit of their event, since the last such line.')
