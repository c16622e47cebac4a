/** Tuning constants of the partition planner. */

/** Cores that one accelerator counts as, in the ratio of their prices. */
export const ACCELERATOR_CORES = 8
/** A backlog of one priority that occupies the whole partition for at most this time is no overload, in milliseconds; about half of the shortest task. */
export const MIN_OVERLOAD_BACKLOG_MS = 300
/** Multiple of a job's objective up to which a late completion still earns partial credit, as the users define it. */
export const LATE_DEADLINE_FACTOR = 3
/** Safety margin subtracted from an advice ticket's validity, in milliseconds: one commit and one start order must fit into it. */
export const TICKET_MARGIN_MS = 150
/** Number of workers per step whose advice time counts towards a job's objective, as the users define it. */
export const OBJECTIVE_ADVICE_WORKERS = 30
/** Maximum number of workers in one advice query; the advice service accepts 100, and each worker adds to its response time. */
export const MAX_ADVICE_WORKERS = 40
/** Initial backoff from a worker that refused a start, in milliseconds; about two poll intervals. */
export const MIN_WORKER_BACKOFF_MS = 400
/** Upper bound of the exponential backoff from a worker that keeps refusing or failing tasks, in milliseconds. */
export const MAX_WORKER_BACKOFF_MS = 4000
/** Consecutive failed runs after which a worker is considered faulty and backed off. */
export const FAILING_WORKER_THRESHOLD = 3
/** Maximum number of steps with capacity reservations in one planning round; more would leave too much of the partition idle. */
export const MAX_RESERVING_STEPS = 2
/** Tasks whose advice is requested in a round that may decide no more starts: about as many as the next round may start. */
export const MAX_TASKS_AHEAD = 96
/** Minimum delay before an advice query is repeated after a refusal or a timeout, in milliseconds. */
export const ADVICE_RETRY_MS = 250
/** Minimum time without progress before a run counts as stalled, in milliseconds; reports arrive once a second and one may be late. */
export const STALL_TIMEOUT_MS = 1700
/** Fraction of the estimated run time without progress before a run counts as stalled: progress is in whole percent, estimates may be half the actual time. */
export const STALL_FRACTION = 0.05
/** Time after its confirmed start within which a task is the likely cause of a crash of its worker, in milliseconds. */
export const RECENT_START_MS = 150
/** Suspicion that a crash casts on a task that had just started, and on one that had run for longer. */
export const RECENT_START_SUSPICION = 2
export const LONG_RUN_SUSPICION = 1
/** Suspicion from which a task runs apart from the tasks of other steps. */
export const SUSPICION_LIMIT = 2
/** Crashes of a task that ran apart from others after which it is given up. */
export const CRASH_PROOFS_TO_GIVE_UP = 2
/** Starts of a task that crashes each of its workers that the users allow. */
export const MAX_CRASHING_STARTS = 5
/** Crashes of a task that prove nothing, because its worker was shared or others failed at the time, after which each further one is proof. */
export const MAX_UNPROVEN_CRASHES = MAX_CRASHING_STARTS - CRASH_PROOFS_TO_GIVE_UP
/** Time for which a task that would be given up waits until the crash of its worker is proven, in milliseconds; workers are back after some three seconds, leases expire about then. */
export const VERDICT_WAIT_MS = 1500
/** Time for which a lost worker may still turn out to have crashed or to have been cut off only, in milliseconds. */
export const MAX_LOSS_AGE_MS = 30_000
/** Time within which failures of a common cause are noticed, in milliseconds: connections break at once, silence is noticed by timeouts. */
export const ABRUPT_FAILURE_WINDOW_MS = 150
export const SILENT_FAILURE_WINDOW_MS = 1500
/** Share of the workers that may be set apart for suspected tasks at a time; free room that is left to the other tasks if there is more, as a share; and the least number of such workers. */
export const MAX_ISOLATED_SHARE = 1 / 6
export const SPARED_FREE_SHARE = 1 / 4
export const MIN_ISOLATED_WORKERS = 1
/**
 * Time for which a suspected task waits for a worker set apart, in milliseconds, and one that may well be the cause of a crash: the users allow 3 s
 * in which a task that has room doesn't run, less the time for advice and the start.
 */
export const SUSPECT_WAIT_MS = 1000
export const LIKELY_CAUSE_WAIT_MS = 2250
/** Longest time for which a worker is held without the start of a suspected task, in milliseconds. */
export const MAX_HOLD_MS = 6000
/**
 * Run time after which other tasks may join a suspected one, in milliseconds: for tasks whose workers crashed right after the start, if the worker
 * responds after it; for others; and after several crashes.
 */
export const START_PROBATION_MS = 2 * RECENT_START_MS
export const PROBATION_MS = 5000
export const LONG_PROBATION_MS = 12_000
/** Wait after which capacity is reserved for a gang, in milliseconds; a fifth of the shortest gang objective. */
export const RESERVE_AFTER_MS = 400
/** Wait in milliseconds after which a long-running task is scheduled first and gets a reservation; half of the 6 s that users allow, less the time for advice. */
export const LONG_RUNNING_RESERVE_AFTER_MS = 1500
/** Wait after which a step may preempt lower-priority tasks, in milliseconds; some tasks complete on their own within that time. */
export const PREEMPT_AFTER_MS = 100
/** Maximum number of preemptions of one task; each costs it the time to resume. */
export const MAX_PREEMPTIONS = 2
/** Evaluations of workers and tasks in one planning round, for each worker and waiting step, after which only deferred steps that have their turn are placed. */
export const MAX_PLACEMENT_EVALUATIONS = 128
/** The same for reservations, which cost more and mostly wait anyway. */
export const MAX_RESERVATION_EVALUATIONS = 4
/** Evaluations of a planning round that are always allowed. */
export const MIN_PLACEMENT_EVALUATIONS = 10_000
/** The same for reservations: a few searches, which take several milliseconds in code that an entry has not run before. */
export const MIN_RESERVATION_EVALUATIONS = 2000
/** Number of deferred steps that are evaluated in each planning round whatever its work. */
export const DEFERRED_TURNS_PER_ROUND = 4
/** Most bytes of a row of the table. */
export const MAX_ROW_BYTES = 65_536
/** Most tasks in the row of a job's crashed workers; each takes 40 bytes at most. */
export const MAX_CRASH_ENTRIES = 1500
/** Time for which a task waits at its team's ceiling for more than its partition's share before it takes a turn, in milliseconds: most waits end with a task of the team. */
export const CEILING_TURN_AFTER_MS = 500
/** Longest time for which other partitions make way for a turn, in milliseconds: two turns and the wait before them take less than the 3 s that the users allow idle work. */
export const CEILING_TURN_MS = 1000
/** Time beyond it after which a turn that was not passed on is skipped, in milliseconds: its holder may be replaced meanwhile. */
export const CEILING_TURN_GRACE_MS = 500
