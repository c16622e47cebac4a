/** Figures of the cell planner. */

/** Cores that an accelerator counts as; from the users' price of work. */
export const ACCELERATOR_CORES = 8
/** Waiting work of one priority that never counts as overload, in milliseconds of the whole cell; about half of the shortest task. */
export const MIN_OVERLOAD_MS = 300
/** Latest multiple of a job's objective at which its end still earns something; from the users' rule of credit. */
export const LATE_FACTOR = 3
/** Milliseconds taken off an advice ticket's validity: one commit and one order must fit before it ends. */
export const TICKET_MARGIN_MS = 150
/** Workers whose advice the users count into a job's objective, for each step. */
export const OBJECTIVE_ADVICE_WORKERS = 30
/** Workers named in one call for advice; the advice service takes 100 at most, and each one named costs time. */
export const ADVICE_WORKERS = 40
/** Milliseconds during which a worker that refused a start gets no other one; about two polls of it. */
export const REFUSAL_PAUSE_MS = 400
/** Pauses double up to this many milliseconds while a worker goes on failing what it starts. */
export const MAX_REFUSAL_PAUSE_MS = 4000
/** Consecutive failed ends of different tasks after which a worker counts as failing all that it starts. */
export const FAILING_WORKER_ENDS = 3
/** Gangs that may hold back workers at the same time; more would empty the cell. */
export const MAX_HELD_GANGS = 2
/** Shortest pause before the same advice is asked again after a refusal or silence, in milliseconds. */
export const ADVICE_RETRY_MS = 250
/** A run without progress for this long stands still, in milliseconds: lists come once a second, and one of them may be late. */
export const STALL_MS = 1700
/** Part of its declared run time for which a run may show no progress: workers tell it in whole percent, and estimates may be half of the time. */
export const STALL_SHARE = 0.05
/** A gang that has waited this long gets room held back for it, in milliseconds; a fifth of the shortest gang objective. */
export const HOLD_AFTER_MS = 400
/** A long-running task that has waited this long goes first and gets room held back; half of the 6 s that the users grant, less advice. */
export const LASTING_HOLD_AFTER_MS = 1500
/** A step that has waited this long may stop less urgent work, in milliseconds: a share of tasks ends by itself within that time. */
export const PREEMPT_AFTER_MS = 100
/** Stops of one task for the sake of others; each costs it the time to resume. */
export const MAX_PREEMPTIONS = 2
