/** Exit codes of `fuchsiatally`: stable, one for each kind of outcome, documented in docs/operators/exit-codes.md. */

export const EXIT_CODES = {
  ok: 0,
  /** Internal error. */
  internal: 1,
  /** Nothing ran; it is safe to retry, after `retryAfterMs` if the response states it. */
  notRun: 10,
  /** It is unknown whether the request ran or the submission was accepted. */
  unknown: 11,
  /** The endpoint responded with a status of 400 or above. */
  errorAnswer: 12,
  /** The key was rejected. */
  unauthorized: 13,
  notFound: 14,
  /** A concurrent change was applied first, or the id is in use. */
  conflict: 15,
  /** A limit of the team was exceeded. */
  overLimit: 16,
  /** The job can never fit on any VM. */
  neverFits: 17,
  /** The entry rejected the input as malformed. */
  badRequest: 18,
  /** The entry has no configuration, or a stale one. */
  notReady: 19,
  platformUnavailable: 20,
  /** The configuration was accepted, but did not come into force at every live entry in time. */
  lagging: 21,
  /** The job failed or was cancelled. */
  jobFailed: 22,
  /** `diff --exit-code` found differences. */
  differs: 23,
  /** The revocation applies at every entry that received it, but is not yet recorded in the platform's table. */
  notDurable: 24,
  /** Invalid command line. */
  usage: 64,
  /** No connection to an entry could be established; nothing was sent. */
  unreachable: 69,
  /** A settings, manifest or job file is invalid. */
  badConfig: 78
} as const

/** One of the documented exit codes. */
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES]

const EXIT_CODE_BY_PROBLEM: Readonly<Record<string, ExitCode>> = {
  not_run: EXIT_CODES.notRun,
  unknown: EXIT_CODES.unknown,
  unauthorized: EXIT_CODES.unauthorized,
  not_found: EXIT_CODES.notFound,
  conflict: EXIT_CODES.conflict,
  over_limit: EXIT_CODES.overLimit,
  never_fits: EXIT_CODES.neverFits,
  bad_request: EXIT_CODES.badRequest,
  too_large: EXIT_CODES.badRequest,
  not_ready: EXIT_CODES.notReady,
  configuration_stale: EXIT_CODES.notReady,
  platform_unavailable: EXIT_CODES.platformUnavailable
}

/** Finds the exit code for the `code` of a problem details response. */
export function findExitCode (problemCode: string): ExitCode {
  return EXIT_CODE_BY_PROBLEM[problemCode] ?? EXIT_CODES.internal
}
