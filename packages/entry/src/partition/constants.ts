/** Times and sizes of cells and their holders. */

/** Longest wait of one lease call for an end, in milliseconds; a third of the shortest lease that the platform grants. */
export const LEASE_WAIT_MS = 1000
/** The same while no lease may be extended, in milliseconds: the extension must follow soon after the table answers again. */
export const UNEXTENDED_WAIT_MS = 250
/** Time beyond its wait that a lease call may take, in milliseconds; a call takes 5 ms, a slowed worker six times that. */
export const LEASE_CALL_MS = 700
/** Time that a stop may take, in milliseconds. */
export const ORDER_CALL_MS = 700
/** Time for which a suspect worker gets nothing new unless it answers, in milliseconds; one call of an order. */
export const SUSPECT_PAUSE_MS = 700
/**
 * Time limits of the tries of one start, in milliseconds, after which it is barred by a stop. A start that is answered takes 5 ms; the
 * platform carries some out seconds late, and the next try of the same run is answered at once.
 */
export const START_TIMEOUTS_MS: readonly number[] = [200, 400, 700]
/** Pause after a failed lease call, in milliseconds. */
export const LEASE_RETRY_MS = 250
/** Longest time that a lease loop waits for the commit of the ends it reported, in milliseconds. */
export const COMMIT_WAIT_MS = 250
/** Share by which a worker's clock may be slow; from the platform's page. */
export const CLOCK_SLOWNESS = 0.02
/** Time that a lease call may be under way when its deadline is computed, in milliseconds. */
export const LEASE_MARGIN_MS = 200
/** Least time of the lease that must be left at a start, in milliseconds; less would lapse before the next renewal. */
export const MIN_START_LEASE_MS = 500

/** Interval of a holder's renewals, in milliseconds: three fit into the time after which it is replaced. */
export const RENEW_MS = 400
/** Interval at which entries look at the rows of the holders, in milliseconds. */
export const WATCH_MS = 300
/** A holder that has not renewed for this long is replaced, in milliseconds. */
export const HOLDER_SILENCE_MS = 1300
/** The same for a holder that no link reaches, in milliseconds: one renewal, a commit that takes long, and one look at the rows. */
export const UNLINKED_SILENCE_MS = 600
/** Further silence that each rank of successor waits for, in milliseconds: one round of watching, so that ranks seldom meet. */
export const RANK_STEP_MS = 350
/** Time without a confirmed renewal after which a holder ends its term, in milliseconds: past the outages that the platform announces. */
export const HOLDER_OUTAGE_MS = 12_000
/**
 * Longest lease that a holder grants, in milliseconds, where workers would grant more: one poll and the 2 s in which entries restart after
 * a loss of power and take their cells. What ran on a worker that is cut off starts elsewhere after this time.
 */
export const GRANTED_LEASE_MS = 3000
/**
 * Time without a confirmed renewal after which a holder extends no lease, in milliseconds. With the lease that is granted last,
 * and one poll between the two, runs outlive an outage of the table of 9 s; a successor knows that the leases of workers that it can't
 * reach have ended soon after.
 */
export const EXTENSION_OUTAGE_MS = 8000
/** Pause after a commit that the table refused, in milliseconds. */
export const REFUSED_PAUSE_MS = 100
/** Failed commits in a row, and time without a good one in milliseconds, after which a holder tells its peers that it is stuck. */
export const STUCK_FAILURES = 2
export const STUCK_AFTER_MS = 250
/** Silence after which a holder that says it is stuck is replaced, in milliseconds: one renewal, and some for it to land late. */
export const STUCK_SILENCE_MS = 500
/** Interval at which entries look at the rows of the holders while one is stuck, has missed two renewals, or no link reaches it, in milliseconds. */
export const ALARMED_WATCH_MS = 100
/** Time within which a peer's own read of the table must be answered before it follows a holder that is stuck or unlinked, in milliseconds. */
export const HEALTHY_READ_MS = 100
/** Longest step of successor ranks that counts; beyond it entries wait equally long. */
export const MAX_RANK = 5

/** Time that one call of the table may take, in milliseconds; a table that is slow sixtyfold takes 360. */
export const TABLE_CALL_MS = 1200
/** Wait of a read for changes of the configuration, in milliseconds; a quarter of the time that a removed key may work. */
export const CONFIG_WAIT_MS = 1000
/** Share of the revocation bound after which evidence of the configuration is too old. */
export const EVIDENCE_SHARE = 0.6
/** Difference of the wall clock and the steady clock from which a suspension is suspected, in milliseconds. */
export const CLOCK_DOUBT_MS = 300
/** Interval at which a holder reads the job table for what nobody told it, in milliseconds. */
export const JOB_READ_MS = 500
/** Pause between two reads of the worker list, in milliseconds: its workers write some 20 times a second, and each read is paid for. */
export const WORKER_READ_MS = 300
/** Wait of a holder's read for changes of the worker list, in milliseconds. */
export const WORKER_WAIT_MS = 1000
/** Shortest time between two commits of a cell, in milliseconds; a part of the table takes 200 a second. */
export const COMMIT_PAUSE_MS = 8
/** Longest time between two rounds of planning, in milliseconds. */
export const PLAN_PAUSE_MS = 200
/** Pause between two deletions of forgotten jobs, in milliseconds; at two-year size a job ends every 20 s. */
export const SWEEP_PAUSE_MS = 250
/** Rows in one commit; the table takes 100 entries with the checks. */
export const MAX_COMMIT_ROWS = 90
/** Bytes of values in one commit; the table takes a megabyte, encoded. */
export const MAX_COMMIT_BYTES = 500_000

/** Pause between two tries of a caller's write, in milliseconds. */
export const WRITE_RETRY_MS = 100
/** Time before a caller's deadline at which an unsettled write is given up, in milliseconds. */
export const ANSWER_MARGIN_MS = 150
/** What a caller is told to wait when the table is away, in seconds. */
export const TABLE_RETRY_S = 1
/** Time beyond the expected wait after which a peer's advice is given up, in milliseconds. */
export const ADVICE_SLACK_MS = 800
/** Pause between two reviews of a cell's claims on ceilings, in milliseconds; work that waits for one wakes it. */
export const CLAIM_PAUSE_MS = 250
/** Tries of one change of the claims, each at once after a conflict; a cell changes them every 60 ms at most, and a try takes 15. */
export const CLAIM_TRIES = 4
/** Interval at which the claims of the other cells are read anew, in milliseconds. */
export const CLAIM_REVIEW_MS = 1000
/** Shortest time between two changes of a cell's claims that waiting work asks for, in milliseconds; about four commits. */
export const CLAIM_COMMIT_MS = 60
/** Age of a holder's row up to which its numbers of waiting jobs are told, in milliseconds; the users allow two seconds. */
export const MAX_COUNT_AGE_MS = 2000
/** Submissions of unknown fate, and ended jobs, that an entry remembers; more than a day's jobs at two-year size. */
export const MAX_REMEMBERED_JOBS = 5000
