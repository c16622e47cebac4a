/** Exit codes of `fuchsiatally`: stable, one for each kind of outcome. docs/operators/exit-codes.md lists them. */

/** Every exit code, by name. */
export const EXIT_CODES = {
  ok: 0,
  /** A fault of the program itself. */
  internal: 1,
  /** For certain nothing ran; come back when told. */
  notRun: 10,
  /** It is not known whether it ran or was accepted. */
  unknown: 11,
  /** The endpoint answered, with a status of 400 or above. */
  errorAnswer: 12,
  /** The key was not accepted. */
  unauthorized: 13,
  notFound: 14,
  /** Another change came first, or an id is taken. */
  conflict: 15,
  /** A limit of the team. */
  overLimit: 16,
  /** No VM could ever hold the job. */
  neverFits: 17,
  /** The entry refused the input as malformed. */
  badRequest: 18,
  /** The entry has no configuration, or a stale one. */
  notReady: 19,
  platformUnavailable: 20,
  /** The configuration is accepted, but not in force everywhere within the time given. */
  lagging: 21,
  /** The job ended as failed or cancelled. */
  jobFailed: 22,
  /** `diff --exit-code` found differences. */
  differs: 23,
  /** The revocation works wherever it was heard, but is not in the platform's table yet. */
  notDurable: 24,
  /** Wrong command line. */
  usage: 64,
  /** No entry could be reached; nothing was sent. */
  unreachable: 69,
  /** A settings, manifest or job file with faults. */
  badConfig: 78
} as const

/** One of the documented exit codes. */
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES]

const BY_PROBLEM: Readonly<Record<string, ExitCode>> = {
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

/** Finds the exit code of a problem answer by its `code`. */
export function findExitCode (problemCode: string): ExitCode {
  return BY_PROBLEM[problemCode] ?? EXIT_CODES.internal
}
