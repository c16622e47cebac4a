/** Events of the HTTP interface. */
import { defineEvent } from '@fuchsiatally/core'

export const routeFailed = defineEvent('FT110', 'error', 'Route failed unexpectedly',
  'A broken invariant in the named route; the caller got status 500. Report it with the fields.')
export const listening = defineEvent('FT111', 'info', 'HTTP interface listens', 'The address in the fields takes callers.')
