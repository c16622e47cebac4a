/** Events of the scheduler role and of jobs. */
import { defineEvent } from '@fuchsiatally/core'

export const roleTaken = defineEvent('FT401', 'info', 'Scheduler role taken', 'This entry now decides which task runs where in the cell.')
export const roleLost = defineEvent('FT402', 'warn', 'Scheduler role lost', 'Another entry holds the role; this one forgets its decisions. Tasks are not affected.')
export const roleReleased = defineEvent('FT403', 'info', 'Scheduler role released', 'A planned stop: another entry takes the role at once.')
export const jobAccepted = defineEvent('FT410', 'info', 'Job accepted', 'The job is durable in the table and waits to be placed.')
export const jobRefused = defineEvent('FT411', 'info', 'Job refused', 'The reason names what the caller must change or when to come back.')
export const jobCancelled = defineEvent('FT412', 'info', 'Cancellation accepted', 'The cancellation is durable; running tasks are being stopped.')
export const taskPlaced = defineEvent('FT420', 'info', 'Task placed', 'Where the attempt runs, why, and which candidates lost.')
export const taskStopping = defineEvent('FT421', 'info', 'Task is being stopped', 'Why: preempted by urgent work, cancelled, or its VM is drained.')
export const jobEnded = defineEvent('FT422', 'info', 'Job ended', 'The phase and the reason.')
export const commitDelayed = defineEvent('FT430', 'warn', 'Commit of task states delayed', 'The table gives no answer: no new task starts until it does. Running tasks go on under their leases.')
export const rowMalformed = defineEvent('FT431', 'error', 'Row of a job is malformed', 'Something else wrote the named row. The job is left alone.')
export const workerTasksLost = defineEvent('FT432', 'warn', 'Worker lost with its tasks', 'Its task lease has lapsed for certain or its VM is gone; its tasks are queued again.')
