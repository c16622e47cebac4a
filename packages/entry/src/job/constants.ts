/** Timing and size limits of the scheduler role. */

/** Mean interval between two reads of the role's row, in milliseconds. */
export const ROLE_POLL_INTERVAL_MS = 1000
/** Pause between two scheduling cycles while no job change is pending and nothing wakes the loop, in milliseconds. */
export const IDLE_CYCLE_PAUSE_MS = 200
/** Pause between two scheduling cycles while job changes are pending, in milliseconds; changes are batched into one commit. */
export const BUSY_CYCLE_PAUSE_MS = 20
/** Interval at which the state of the workers is passed to the scheduler, in milliseconds. */
export const WORKER_UPDATE_INTERVAL_MS = 100
/** Interval between two reads of job rows when no change was announced, in milliseconds. */
export const JOB_POLL_INTERVAL_MS = 500
/** Maximum number of decisions per scheduling cycle. */
export const MAX_DECISIONS_PER_CYCLE = 256
/** Maximum number of jobs whose state is written in one transaction. */
export const MAX_ROWS_PER_COMMIT = 64
/** Delay before a commit of unknown outcome is retried, in milliseconds. */
export const COMMIT_RETRY_DELAY_MS = 250
/** Time without a report after which a worker gets no new task, even if the link to its owner is up, in milliseconds. */
export const REPORT_TIMEOUT_MS = 25_000
/** Minimum interval before an unconfirmed desired set is sent again, in milliseconds. */
export const DESIRED_RESEND_INTERVAL_MS = 1000
/** Time limit for the scheduler's response to a query, in milliseconds. */
export const QUERY_TIMEOUT_MS = 2000
/** Time for which the rows of an ended job are retained, in milliseconds. */
export const JOB_RETENTION_MS = 3_600_000
/** Minimum interval between two writes of the teams' share usage to the table, in milliseconds. */
export const SHARE_USAGE_INTERVAL_MS = 15_000
