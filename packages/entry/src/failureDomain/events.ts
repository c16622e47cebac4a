/** Events of sessions and of the table poll. */
import { defineEvent } from '@fuchsiatally/core'

export const sessionRegistered = defineEvent('FT250', 'info', 'Session registered',
  'The session row of this entry is in the table.')
export const sessionReplaced = defineEvent('FT251', 'warn', 'Session of an earlier process replaced',
  'The row of this entry name belonged to another incarnation, which stops. Two VMs must not share an entry name.')
export const sessionRenewalFailed = defineEvent('FT252', 'warn', 'Session renewal failed',
  'The platform did not confirm the renewal; it is retried until its outcome is known.')
export const sessionLost = defineEvent('FT253', 'error', 'Session lost',
  'The row belongs to another incarnation or was removed after it expired. The process must restart.')
export const sessionReleased = defineEvent('FT254', 'info', 'Session released',
  'The session row was deleted in a graceful shutdown.')
export const sessionReleaseFailed = defineEvent('FT255', 'warn', 'Session not released',
  'The row could not be deleted; other entries wait for it to expire.')
export const tablePollFailed = defineEvent('FT256', 'warn', 'Table read failed',
  'Sessions, owners and configuration may be stale until a read succeeds.')
export const tableRowMalformed = defineEvent('FT257', 'error', 'Row of the table is malformed',
  'The row is ignored. It was written by other software.')
export const sessionRenewalRecovered = defineEvent('FT259', 'info', 'Session renewal recovered',
  'The platform confirms renewals again; `failures` counts the failed attempts.')
export const tablePollRecovered = defineEvent('FT260', 'info', 'Table reads recovered',
  'Sessions, owners and configuration are up to date again.')
export const sessionRemoved = defineEvent('FT258', 'info', 'Expired session removed',
  'All workers of the incarnation are owned and fenced by other entries; the session can never become valid again.')
