/** Log events of the platform client. */
import { defineEvent } from '@fuchsiatally/core'

export const platformUnavailable = defineEvent('FT701', 'warn', 'Platform unavailable',
  'Calls to the platform fail. Running tasks and requests continue; task starts, takeovers and configuration changes are delayed. Check the platform and the network path to it.')

export const platformAvailable = defineEvent('FT702', 'info', 'Platform available again',
  'First valid response after a failure; the entry recovers on its own.')

export const platformAttemptFailed = defineEvent('FT703', 'debug', 'Attempt of a platform call failed',
  'One attempt failed and may be retried; FT701 follows if the whole call fails.')

export const inDoubtTransactionApplied = defineEvent('FT704', 'info', 'In-doubt transaction was applied',
  'An earlier attempt of the transaction was applied although its response was lost; the rows carry its write id.')

export const inDoubtTransactionOverwritten = defineEvent('FT705', 'warn', 'Outcome of an in-doubt transaction unknown',
  'Every row of the transaction was overwritten before its outcome could be determined; the writer re-reads the rows.')

export const unresponsiveConnectionReplaced = defineEvent('FT706', 'info', 'Unresponsive connection to the platform replaced',
  'A request on the connection timed out; it and all idle connections were closed, and a new connection is opened.')
