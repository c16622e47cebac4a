/** Invariant monitor: checks the recorded history of a cluster against the invariants. */
import { checkCeilings, checkGangs, checkOvercommit, checkConcurrentRuns } from './monitorTasks.js'
import { checkAtMostOnce, checkNotRun, checkRevokedKeys, checkTeamIsolation, checkResponses } from './monitorRequests.js'
import { checkConfigVersions, checkDrains, checkGracefulShutdowns } from './monitorOperations.js'
import type { History } from './history.js'

/** One violation of an invariant. */
export interface Violation {
  readonly invariant: Invariant
  readonly detail: string
}

/** Names of the checked invariants, as shown in reports: the eleven cluster invariants, followed by the rule for gangs. */
export const INVARIANTS = [
  'no VM overcommitted', 'no concurrent runs of a task', 'requests run only for their own team', 'revoked keys are rejected',
  'team ceilings respected', 'complete responses to their own callers', 'requests reported as not run never ran',
  'non-idempotent requests at most once', 'draining endpoints get no new work', 'graceful shutdowns interrupt no request',
  'config propagates and never regresses', 'gang members run simultaneously'
] as const
export type Invariant = typeof INVARIANTS[number]

/** Records a violation of the invariant being checked. */
export type ReportViolation = (detail: string) => void

type Check = (history: History, report: ReportViolation) => void

const CHECKS: ReadonlyArray<readonly [Invariant, Check]> = [
  ['no VM overcommitted', checkOvercommit],
  ['no concurrent runs of a task', checkConcurrentRuns],
  ['gang members run simultaneously', checkGangs],
  ['requests run only for their own team', checkTeamIsolation],
  ['revoked keys are rejected', checkRevokedKeys],
  ['team ceilings respected', checkCeilings],
  ['complete responses to their own callers', checkResponses],
  ['requests reported as not run never ran', checkNotRun],
  ['non-idempotent requests at most once', checkAtMostOnce],
  ['draining endpoints get no new work', checkDrains],
  ['graceful shutdowns interrupt no request', checkGracefulShutdowns],
  ['config propagates and never regresses', checkConfigVersions]
]

/** Lists every violation in a history; empty if all invariants held. */
export function listViolations (history: History): Violation[] {
  const violations: Violation[] = []
  for (const [invariant, check] of CHECKS) check(history, (detail) => violations.push({ invariant, detail }))
  return violations
}
