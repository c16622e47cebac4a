/** Times and bounds of the scheduler role. */

/** How often the row of the role is read. */
export const ROLE_POLL_MS = 1000
/** Pause between two cycles of the scheduler when nothing woke it. */
export const IDLE_CYCLE_MS = 200
/** Least pause between two cycles, within which changes gather for one commit. */
export const BUSY_CYCLE_MS = 20
/** How often the workers' state is reviewed. */
export const WORKER_REVIEW_MS = 100
/** How often job rows are read when nobody announced a change. */
export const JOB_POLL_MS = 500
/** Most decisions of one cycle. */
export const MAX_DECISIONS_PER_CYCLE = 256
/** Most job state rows in one transaction. */
export const MAX_ROWS_PER_COMMIT = 64
/** Pause before a commit of unknown fate is tried again. */
export const COMMIT_RETRY_MS = 250
/** After this time without a report a worker gets no new task, even if the link to its owner is up. */
export const REPORT_SILENCE_MS = 25_000
/** Least pause before the same desired set is sent again. */
export const DESIRED_RESEND_MS = 1000
/** Longest wait for the scheduler's answer to a query. */
export const QUERY_TIMEOUT_MS = 2000
/** How long the rows of an ended job are kept. */
export const JOB_RETENTION_MS = 3_600_000
/** How often the parts that teams received are written to the table. */
export const LEDGER_INTERVAL_MS = 15_000
