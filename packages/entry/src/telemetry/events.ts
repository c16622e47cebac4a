/** Events of the log itself. */
import { defineEvent } from '@fuchsiatally/core'

export const logLinesMissing = defineEvent('FT890', 'warn', 'Log lines missing', 'Lines that the reader was too slow for, and lines beyond the limit of their event, since the last such line.')
