/** Events of the ownership of workers and of the contact with them. */
import { defineEvent } from '@fuchsiatally/core'

export const workersTaken = defineEvent('FT301', 'info', 'Workers taken over',
  'This entry owns these workers from now on; `reason` names why.')
export const workersGiven = defineEvent('FT302', 'info', 'Workers handed over',
  'The rows name other entries now: one that is better placed, or all in a planned stop.')
export const ownershipConflict = defineEvent('FT303', 'debug', 'Ownership rows changed meanwhile',
  'Nothing was written; the rows are decided on again from what the table says.')
export const ownershipUnsettled = defineEvent('FT304', 'warn', 'Ownership change of unknown fate',
  'The platform gave no answer; the same transaction is sent again until it is settled.')
export const workerDisowned = defineEvent('FT305', 'info', 'Worker lost to another owner',
  'The table names another incarnation; this entry sends the worker no further command.')
export const vmListFailed = defineEvent('FT306', 'warn', 'Reading the VM list failed',
  'The last list stays in use.')
export const ownershipSettled = defineEvent('FT308', 'info', 'Ownership changes are settled again',
  'The platform answers; `failures` counts the tries without an answer.')
export const vmListRecovered = defineEvent('FT309', 'info', 'Reading the VM list works again',
  'The list is up to date.')
export const ownerRowMalformed = defineEvent('FT307', 'error', 'Owner row is malformed',
  'The row is left out. Something else than this software wrote it.')
export const workerContacted = defineEvent('FT320', 'info', 'Worker accepted its owner',
  'The worker refuses all lower epochs from now on.')
export const workerUnreachable = defineEvent('FT321', 'warn', 'Worker unreachable',
  'No contact was accepted within the bound; nothing new is sent there and its lease is running out.')
export const workerLost = defineEvent('FT322', 'warn', 'Worker lost',
  'Its task lease has lapsed for certain or its VM is gone; its tasks are placed anew.')
export const workerLapsed = defineEvent('FT323', 'warn', 'Task lease lapsed at a worker',
  'The worker has stopped its tasks; the owner raises the epoch to go on.')
export const workerRestarted = defineEvent('FT324', 'warn', 'Worker restarted',
  'Nothing that it ran before runs any longer; the owner raises the epoch to shut out late commands.')
export const workerFenced = defineEvent('FT325', 'warn', 'Worker refused this owner',
  'The worker has seen a higher epoch; this entry stops commanding it until the table decides.')
export const extensionEnded = defineEvent('FT326', 'error', 'Task leases no longer extended',
  'Ownership was not confirmed by the table for the whole outage tolerance; the tasks stop when their lease ends.')
export const taskStartSent = defineEvent('FT330', 'debug', 'Task start sent', 'The worker was told to run the attempt.')
export const taskStartRefused = defineEvent('FT331', 'warn', 'Task start refused', '`result` names the worker\'s reason.')
export const taskStopSent = defineEvent('FT332', 'debug', 'Task stop sent', 'The worker was told to end the attempt.')
export const workerCallFailed = defineEvent('FT333', 'debug', 'Call to a worker failed',
  'It may or may not have taken effect; it is repeated by the next round.')
export const desiredIgnored = defineEvent('FT334', 'debug', 'Desired set ignored',
  'It was computed for another epoch of the worker, by a deposed scheduler, or arrived late.')
export const workerClientReplaced = defineEvent('FT335', 'info', 'Connections to a worker replaced',
  'A call gave no answer, so all connections to the worker were given up; recorded once until it answers again.')
