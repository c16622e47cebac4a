/** Log events of the platform client. */
import { defineEvent } from '@fuchsiatally/core'

export const platformUnavailable = defineEvent('FT701', 'warn', 'Platform gives no usable answer',
  'Calls to the platform fail. Running work and requests go on; starts, takeovers and changes of configuration wait. Check the platform and the network to it.')

export const platformAvailable = defineEvent('FT702', 'info', 'Platform answers again',
  'The first usable answer after a failure; the entry catches up by itself.')

export const platformTryFailed = defineEvent('FT703', 'debug', 'Try of a platform call failed',
  'One try failed and may be repeated; FT701 follows if the call as a whole fails.')

export const lostAnswerSettled = defineEvent('FT704', 'info', 'Fate of an unanswered transaction settled',
  'An earlier try of the transaction took effect though its answer was lost; the rows carry its write id.')

export const transactionOverwritten = defineEvent('FT705', 'warn', 'Fate of an unanswered transaction not known',
  'Every row of the transaction was written again before it could be settled; the writer reads the rows anew.')

export const silentConnectionReplaced = defineEvent('FT706', 'info', 'Silent connection to the platform replaced',
  'A connection gave no answer in time; it and the idle ones beside it were closed and a new one is tried.')
