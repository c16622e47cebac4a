/** Events of sessions. */
import { defineEvent } from '@fuchsiatally/core'

export const sessionRegistered = defineEvent('FT250', 'info', 'Session registered',
  'The session row of this entry is in the table.')
export const sessionReplaced = defineEvent('FT251', 'warn', 'Session of an earlier process replaced',
  'A row of the same entry name belonged to another incarnation, which stops. Two VMs must not share an entry name.')
export const sessionRenewalFailed = defineEvent('FT252', 'warn', 'Session renewal failed',
  'The platform did not confirm the renewal; it is sent again until its fate is known.')
export const sessionLost = defineEvent('FT253', 'error', 'Session lost',
  'The row belongs to another incarnation or was removed after it expired. The process must start anew.')
export const sessionReleased = defineEvent('FT254', 'info', 'Session released',
  'The session row was deleted in a planned stop.')
export const sessionReleaseFailed = defineEvent('FT255', 'warn', 'Session not released',
  'The row could not be deleted; the others wait for its expiry.')
export const tablePollFailed = defineEvent('FT256', 'warn', 'Reading the table failed',
  'Sessions, owners and configuration are not up to date until a read succeeds.')
export const tableRowMalformed = defineEvent('FT257', 'error', 'Row of the table is malformed',
  'The row is left out. Something else than this software wrote it.')
export const sessionRenewalRecovered = defineEvent('FT259', 'info', 'Session renewal works again',
  'The platform confirms renewals; `failures` counts what failed meanwhile.')
export const tablePollRecovered = defineEvent('FT260', 'info', 'Reading the table works again',
  'Sessions, owners and configuration are up to date.')
export const sessionRemoved = defineEvent('FT258', 'info', 'Expired session removed',
  'All workers of the incarnation are owned and fenced by others; it can never become valid again.')
