/** Events of the scheduler role and of jobs. */
import { defineEvent } from '@fuchsiatally/core'

export const roleAcquired = defineEvent('FT401', 'info', 'Scheduler role acquired', 'This entry now places the tasks of the cell.')
export const roleLost = defineEvent('FT402', 'warn', 'Scheduler role lost', 'Another entry holds the role or this one has released it; this one discards its scheduling state. Running tasks are not affected.')
export const roleReleased = defineEvent('FT403', 'info', 'Scheduler role released', 'This entry is shutting down gracefully; another entry can acquire the role at once.')
export const jobAccepted = defineEvent('FT410', 'info', 'Job accepted', 'The job is stored durably and waits for placement.')
export const jobRefused = defineEvent('FT411', 'info', 'Job refused', 'Admission control rejected the job; `reason` names why.')
export const jobCancelled = defineEvent('FT412', 'info', 'Cancellation accepted', 'The cancellation is stored durably; running tasks are being stopped.')
export const taskPlaced = defineEvent('FT420', 'info', 'Task placed', 'Names the worker of the attempt, why it was chosen, and the candidates that were rejected.')
export const taskStopping = defineEvent('FT421', 'info', 'Task is being stopped', '`reason` names why: preemption by urgent work, cancellation, or the drain of its VM.')
export const jobEnded = defineEvent('FT422', 'info', 'Job ended', 'Names the final phase and the reason.')
export const commitDelayed = defineEvent('FT430', 'warn', 'Commit of task states delayed', 'The table does not respond. No new task starts until it does; running tasks continue under their leases.')
export const rowMalformed = defineEvent('FT431', 'error', 'Row of a job is malformed', 'The named row does not match its schema and was written by other software. The job is ignored.')
export const workerTasksLost = defineEvent('FT432', 'warn', 'Worker lost with its tasks', 'Its task lease has certainly expired or its VM is gone; its tasks are queued again.')
