/** Events of the HTTP server. */
import { defineEvent } from '@fuchsiatally/core'

export const routeFailed = defineEvent('FT110', 'error', 'Route failed unexpectedly',
  'The named route violated an invariant and the caller got status 500. Report it together with the fields of the event.')
export const serverListening = defineEvent('FT111', 'info', 'HTTP server listening', 'The server accepts connections at the address in the fields.')
export const listenerFailed = defineEvent('FT112', 'error', 'Listener failed to accept a connection',
  'Connections that are open go on, and the listener tries the next one; `message` names the limit, such as file descriptors.')
