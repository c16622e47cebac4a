/** Timeouts, intervals and limits of partitions and their holders. */

/** Longest wait of a lease call for the end of a run, in milliseconds; a third of the shortest lease limit that the platform states. */
export const LEASE_WAIT_MS = 1000
/** Longest wait of a lease call while leases may not be extended, in milliseconds: short, so that extension resumes soon after the table responds again. */
export const UNEXTENDED_LEASE_WAIT_MS = 250
/** Longest wait at a worker that is set apart, in milliseconds: its next response shows that a suspected task has not crashed it. */
export const ISOLATED_LEASE_WAIT_MS = 250
/** Timeout of a lease call beyond its wait, in milliseconds; a call takes 5 ms, at a slow worker six times as long. */
export const LEASE_TIMEOUT_MARGIN_MS = 700
/** Timeout of a stop order, in milliseconds. */
export const STOP_TIMEOUT_MS = 700
/** Time for which a suspect worker receives no new runs unless it responds, in milliseconds; equal to the timeout of one order. */
export const SUSPECT_PAUSE_MS = 700
/**
 * Timeouts of the attempts of one start order, in milliseconds; after the last one a stop order prevents the run. An answered start
 * takes 5 ms. The platform executes some orders seconds late, while the next attempt for the same run is answered at once.
 */
export const START_ATTEMPT_TIMEOUTS_MS: readonly number[] = [200, 400, 700]
/** Time that a start order takes to its worker, in milliseconds; one whose ticket expires before that is not sent. */
export const START_TRANSIT_MS = 20
/** Pause after a failed lease call, in milliseconds. */
export const LEASE_RETRY_MS = 250
/** Longest time that a lease loop waits for the commit of the ended runs it reported, in milliseconds. */
export const COMMIT_WAIT_MS = 250
/** Largest drift by which a worker's clock may run slow, as a fraction; stated by the platform. */
export const MAX_CLOCK_DRIFT = 0.02
/** Allowance for the transit time of a lease call when the expiry of a lease is computed, in milliseconds. */
export const LEASE_MARGIN_MS = 200
/** Longest time after which a worker may execute an order that it left without a response, in milliseconds; the platform announces seconds. */
export const MAX_LATE_ORDER_MS = 12_000
/** Shortest remaining lease with which a run is started, in milliseconds; a shorter one would expire before the next renewal. */
export const MIN_START_LEASE_MS = 500

/** Interval of a holder's renewals, in milliseconds: three fit into the timeout after which it is replaced. */
export const RENEWAL_INTERVAL_MS = 400
/** Interval at which entries read the holder rows, in milliseconds. */
export const WATCH_INTERVAL_MS = 300
/**
 * Interval of entries that many others precede as successors, in milliseconds: each read is charged for, and these entries wait longest.
 * Shorter than half of `HOLDER_TIMEOUT_MS`, since longer gaps between reads start the timeouts over.
 */
export const DISTANT_WATCH_INTERVAL_MS = 550
/** Time without a renewal after which a holder is replaced, in milliseconds. */
export const HOLDER_TIMEOUT_MS = 1300
/** Timeout of a holder without a link to this entry, in milliseconds: covers one renewal, a slow commit and one read of the rows. */
export const UNLINKED_HOLDER_TIMEOUT_MS = 600
/** Age of a term up to which only the full timeout counts, in milliseconds: its holder loads the jobs, reaches its workers and is linked by its peers. */
export const YOUNG_TERM_MS = 2000
/**
 * Time after the loss of a link from which renewals show that the holder outlived the link, in milliseconds: one read of the rows and a slow
 * commit after its last moment.
 */
export const LINK_LOSS_GRACE_MS = 500
/** Time after a release in which only the named successor takes the partition over, in milliseconds: one read of the rows and one commit. */
export const RELEASED_TIMEOUT_MS = 600
/** Additional delay for each rank of successor, in milliseconds: one watch interval, so that successors rarely compete. */
export const SUCCESSOR_RANK_DELAY_MS = 350
/** Time without a confirmed renewal after which a holder ends its term, in milliseconds: longer than the outages that the platform announces. */
export const MAX_UNCONFIRMED_TERM_MS = 12_000
/**
 * Longest lease that a holder grants even if workers would accept more, in milliseconds: covers one poll and the 2 s that entries need
 * after a power loss to restart and take over partitions. Tasks of an unreachable worker start elsewhere after this time.
 */
export const MAX_GRANTED_LEASE_MS = 3000
/**
 * Time without a confirmed renewal after which a holder extends no lease, in milliseconds. This time, one poll and the last lease granted
 * let runs survive a table outage of 9 s; a longer time would defer the moment from which a successor can assume that the leases of
 * unreachable workers have expired.
 */
export const MAX_UNCONFIRMED_EXTENSION_MS = 8000
/** Pause after a refused commit, in milliseconds. */
export const REFUSED_COMMIT_PAUSE_MS = 100
/** Consecutive failed commits after which a holder reports to its peers that it is stuck, if `STUCK_AFTER_MS` has passed as well. */
export const STUCK_FAILURE_COUNT = 2
/** Time without a successful commit after which a holder may report that it is stuck, in milliseconds. */
export const STUCK_AFTER_MS = 250
/** Time without a renewal after which a stuck holder is replaced, in milliseconds: one renewal interval and a margin for a late write. */
export const STUCK_HOLDER_TIMEOUT_MS = 500
/** Interval at which entries read the holder rows while a holder is stuck, has missed two renewals or has no link, in milliseconds. */
export const SUSPECT_WATCH_INTERVAL_MS = 100
/** Longest read of the table with which an entry may take over from a stuck or unlinked holder before the full timeout, in milliseconds. */
export const MAX_HEALTHY_READ_MS = 100
/** Highest successor rank that adds to the delay; entries of higher rank wait equally long. */
export const MAX_SUCCESSOR_RANK = 5

/**
 * Time after its start before which an entry takes no partition that never had a holder, in milliseconds: entries start within 300 ms of
 * each other, and one that starts last is seen with the next read of the rows.
 */
export const START_SETTLE_MS = 700

/** Interval at which a holder looks for a larger entry to hand a partition over to, in milliseconds. */
export const HANDOVER_CHECK_INTERVAL_MS = 1000
/** Shortest term that ends with a planned hand-over, in milliseconds: long enough to load the jobs and reach the workers before they move again. */
export const MIN_HANDOVER_TERM_MS = 5000
/** Time for which an entry must have been up before a partition is handed over to it, in milliseconds. */
export const MIN_PEER_UPTIME_MS = 5000
/**
 * Time for which an entry that lost a partition without a release, or did not take one released to it, is no successor of a planned
 * hand-over, in milliseconds: longer than the outages that the platform announces.
 */
export const FAILED_HOLDER_PAUSE_MS = 15_000
/** Least ratio between the capacities of the successor and the holder in a planned hand-over. */
export const MIN_HANDOVER_CAPACITY_RATIO = 2

/** Timeout of a table call, in milliseconds; a table that is slowed down sixtyfold responds after 360 ms. */
export const TABLE_TIMEOUT_MS = 1200
/** Wait of a long poll of the configuration, in milliseconds; a quarter of the time for which a revoked key may still be accepted. */
export const CONFIG_POLL_WAIT_MS = 1000
/** Age at which the configuration counts as stale, as a share of the revocation bound. */
export const MAX_CONFIG_AGE_SHARE = 0.6
/** Divergence of the wall clock from the monotonic clock above which a suspension is assumed, in milliseconds. */
export const MAX_CLOCK_DIVERGENCE_MS = 300
/** Interval at which a holder polls the job table for rows that no peer pushed to it, in milliseconds. */
export const JOB_POLL_INTERVAL_MS = 500
/** Pause between two polls of the worker list, in milliseconds: workers write it some 20 times a second, and each read is charged for. */
export const WORKER_POLL_PAUSE_MS = 300
/** Wait of a long poll of the worker list, in milliseconds. */
export const WORKER_POLL_WAIT_MS = 1000
/** Shortest interval between two commits of a partition, in milliseconds; a part of the table accepts 200 commits a second. */
export const COMMIT_PAUSE_MS = 8
/** Largest share of the event loop that planning rounds take; the rest is for lease calls, orders and callers. */
export const MAX_PLAN_SHARE = 0.25
/** Longest pause after a planning round, in milliseconds; half of the time within which an urgent task starts. */
export const MAX_PACING_PAUSE_MS = 1000
/** Duration of a planning round from which a due renewal of the holder row is committed before the round, in milliseconds. */
export const LONG_ROUND_MS = 50
/** Pause before a commit without a planning round, in milliseconds: each commit costs processor time. */
export const COMMIT_ONLY_PAUSE_MS = 50
/** Most start orders in flight; an answered start takes 5 ms. */
export const MAX_STARTS_IN_FLIGHT = 32
/** Response time of start orders from which fewer are sent at a time, in milliseconds; half of the first timeout. */
export const SLOW_START_RESPONSE_MS = 100
/** Longest time for which starts should wait behind others, in milliseconds: a third of the validity of tickets. */
export const MAX_START_WAIT_MS = 500
/** Longest interval between two planning rounds, in milliseconds. */
export const MAX_PLAN_PAUSE_MS = 200
/** Pause between two deletions of jobs past their retention, in milliseconds; at the load projected for two years ahead, a job ends every 20 s. */
export const JOB_CLEANUP_PAUSE_MS = 250
/** Most rows in one commit; the table accepts 100 items, checks included. */
export const MAX_COMMIT_ROWS = 90
/** Most bytes of values in one commit; the table accepts one megabyte, encoded. */
export const MAX_COMMIT_BYTES = 500_000
/** Most bytes of a job's state; a larger one would not fit into a commit. */
export const MAX_STATE_BYTES = 500_000
/** Most bytes of a row that stores a job's state; their encoding, a third longer, stays within the 64 KiB of a row. */
export const STATE_ROW_BYTES = 49_152

/** Time after a late event loop in which a holder grants longer leases, in milliseconds; the longest wait of a lease call and its timeout. */
export const LATE_LEASE_MEMORY_MS = 1700
/** Consecutive calls to a worker without a response that are attributed to the delay of this process; more count as the worker's failure. */
export const MAX_EXCUSED_CALLS = 3
/** Longest lease that a late holder grants, in milliseconds, if workers accept it and the holder was confirmed recently. */
export const MAX_LATE_LEASE_MS = 6000
/** Most workers that are missing at the start of a term and count as crashed: a larger number has a common cause. */
export const MAX_MISSING_AS_CRASHED = 2
/** Most malformed rows of a table that are logged at a time. */
export const MAX_LOGGED_MALFORMED_ROWS = 100
/** Shortest interval between two log lines about the same row, which another writer may change back and forth, in milliseconds. */
export const MALFORMED_ROW_LOG_INTERVAL_MS = 60_000
/** Most characters of an error that a log line quotes. */
export const MAX_LOGGED_ERROR_CHARS = 500
/** Most runs that a log line names. */
export const MAX_LOGGED_RUNS = 20
/** Interval at which a holder logs its load, in milliseconds. */
export const LOAD_REPORT_INTERVAL_MS = 1000
/** Interval of the timer that measures the delay of the event loop, in milliseconds; a tenth of the interval of the reports. */
export const LOOP_PROBE_INTERVAL_MS = 100
/** Delay of the event loop above which timers may run before responses that have arrived are read, in milliseconds; below the shortest timeout of a call. */
export const MAX_LOOP_DELAY_MS = 100
/** Time after such a delay in which a holder doesn't report that it is stuck, in milliseconds: two failed commits and their retries. */
export const STUCK_REPORT_MEMORY_MS = 1000

/** Pause between two attempts of a write, in milliseconds. */
export const WRITE_RETRY_MS = 100
/** Time before a caller's deadline at which a write of unknown outcome is abandoned, in milliseconds. */
export const RESPONSE_MARGIN_MS = 150
/** `retry-after` of a refusal while the table is unavailable, in seconds. */
export const TABLE_RETRY_AFTER_S = 1
/** Most peers that are asked to make a call to the table; with a third of the entries turned away, 4 of 100 calls find none that is served. */
export const MAX_RELAY_TRIES = 3
/** Timeout of a relayed call beyond its wait, in milliseconds: a commit takes 15 ms, with a slow table 360 ms. */
export const RELAY_TIMEOUT_MS = 800
/** Time for which a peer that could not make a call is not asked again, in milliseconds. */
export const RELAY_AVOID_MS = 1000
/** Time for which no peer is asked after none could make a call, in milliseconds: the table is probably away for all. */
export const RELAY_PAUSE_MS = 500
/** Interval at which an entry whose calls are relayed tries the table itself, in milliseconds. */
export const DIRECT_PROBE_INTERVAL_MS = 250
/** Most calls of peers that an entry makes at a time; further ones are refused. */
export const MAX_RELAYED_CALLS = 64

/** Time beyond the expected wait after which an advice request times out, in milliseconds. */
export const ADVICE_TIMEOUT_MARGIN_MS = 800
/** Pause between two reviews of a partition's claims on ceilings, in milliseconds; blocked work triggers a review earlier. */
export const CLAIM_PAUSE_MS = 250
/** Attempts of one update of the claims, each right after a conflict; a partition updates them at most once in 60 ms, an attempt takes 15 ms. */
export const MAX_CLAIM_ATTEMPTS = 4
/** Interval at which the claims of other partitions are read again, in milliseconds. */
export const CLAIM_REFRESH_MS = 1000
/** Shortest interval between two updates of a partition's claims triggered by blocked work, in milliseconds: the duration of about four commits. */
export const MIN_CLAIM_COMMIT_INTERVAL_MS = 60
/** Age of a holder row up to which its queue counts are reported, in milliseconds; the users accept counts that are two seconds old. */
export const MAX_QUEUE_COUNT_AGE_MS = 2000
/** Submissions in doubt, and ended jobs, that an entry remembers; more than a day's jobs at the load projected for two years ahead. */
export const MAX_REMEMBERED_JOBS = 5000
