/** Events of worker ownership and of the calls to workers. */
import { defineEvent } from '@fuchsiatally/core'

export const workersAcquired = defineEvent('FT301', 'info', 'Workers acquired',
  'This entry owns these workers under a new epoch. `reason` is `claim` if a worker had no valid owner row, `take` if the session of its owner had ended, and `raise` if this entry owned it already.')
export const workersHandedOver = defineEvent('FT302', 'info', 'Workers handed over',
  '`reason` is `give` if another entry now owns the workers, because of a better placement or a graceful shutdown, and `remove` if the rows of VMs that no longer exist were removed.')
export const ownershipConflict = defineEvent('FT303', 'debug', 'Ownership change conflicted',
  'Another writer changed a row first, so nothing was written. The change is planned again after the next read of the table.')
export const ownershipWriteInDoubt = defineEvent('FT304', 'warn', 'Ownership change of unknown outcome',
  'The platform did not respond; the same transaction is retried until its outcome is known.')
export const workerOwnershipLost = defineEvent('FT305', 'info', 'Ownership of a worker ended',
  'The table names another owner or none, or this entry is shutting down; it sends the worker no further commands.')
export const vmListFailed = defineEvent('FT306', 'warn', 'Reading the VM list failed',
  'The last list remains in use; reading is retried.')
export const ownershipWriteResolved = defineEvent('FT308', 'info', 'Ownership writes recovered',
  'The platform responds again; `failures` counts the attempts without a response.')
export const vmListRecovered = defineEvent('FT309', 'info', 'Reading the VM list recovered',
  'The list is up to date again.')
export const ownerRowMalformed = defineEvent('FT307', 'error', 'Owner row is malformed',
  'The row does not match its schema and was written by other software. It is ignored.')
export const workerContacted = defineEvent('FT320', 'info', 'Worker accepted its owner',
  'The worker now refuses all lower epochs.')
export const workerUnreachable = defineEvent('FT321', 'warn', 'Worker unreachable',
  'No renewal succeeded within the contact timeout; no new work is sent to the worker and its lease is running out.')
export const workerLost = defineEvent('FT322', 'warn', 'Worker lost',
  'Its task lease has certainly expired or its VM is gone; its tasks are rescheduled.')
export const workerLeaseExpired = defineEvent('FT323', 'warn', 'Task lease expired at a worker',
  'The worker has stopped its tasks; the owner raises the epoch before it starts new ones.')
export const workerRestarted = defineEvent('FT324', 'warn', 'Worker restarted',
  'Its previous tasks no longer run; the owner raises the epoch to fence off delayed commands.')
export const workerFenced = defineEvent('FT325', 'warn', 'Worker refused a stale epoch',
  'The worker has accepted a higher epoch; this entry sends no commands until the table shows who owns the worker.')
export const leaseExtensionStopped = defineEvent('FT326', 'error', 'Task leases no longer extended',
  'The table has not confirmed ownership for the whole outage tolerance; the tasks stop when their lease expires.')
export const taskStartSent = defineEvent('FT330', 'debug', 'Task start sent', 'The worker was commanded to run the attempt.')
export const taskCommandRefused = defineEvent('FT331', 'warn', 'Task command refused', 'The worker refused to start or stop the attempt; `result` names the reason.')
export const taskStopSent = defineEvent('FT332', 'debug', 'Task stop sent', 'The worker was commanded to end the attempt.')
export const workerCallFailed = defineEvent('FT333', 'debug', 'Call to a worker failed',
  'The call may or may not have taken effect; it is retried.')
export const desiredIgnored = defineEvent('FT334', 'debug', 'Desired set ignored',
  'The worker is not owned here, or the set was computed for another worker epoch, by a deposed scheduler, or arrived late; `fault` names which.')
export const workerClientReplaced = defineEvent('FT335', 'info', 'Connections to a worker replaced',
  'A call timed out, so its connection and all idle ones to the worker were closed. Recorded once until the worker responds again.')
