/** Monitor of the invariants: judges a recorded run from the outside by the points of "What must always hold". */
import { checkCeilings, checkGangs, checkOvercommit, checkTwoPlaces } from './monitorTasks.js'
import { checkAtMostOnce, checkNotRun, checkRevokedKeys, checkTeams, checkWholeAnswers } from './monitorRequests.js'
import { checkConfig, checkLeaving, checkPlannedStops } from './monitorOperations.js'
import type { History } from './history.js'

/** One broken promise. */
export interface Violation {
  readonly point: Point
  readonly detail: string
}

/** The eleven points and the rule of gangs, by names that reports show. */
export const POINTS = [
  'no VM overcommitted', 'no task in two places', 'work only for the team of its key', 'revoked keys stop',
  'ceilings of teams', 'whole answers to their own callers', 'not run means not run',
  'non-idempotent at most once', 'leaving endpoints get no new work', 'planned stops cut off nothing',
  'configuration in force and never back', 'gangs run all at once'
] as const
export type Point = typeof POINTS[number]

/** Adds a violation of one point. */
export type Report = (detail: string) => void

type Check = (history: History, report: Report) => void

const CHECKS: ReadonlyArray<readonly [Point, Check]> = [
  ['no VM overcommitted', checkOvercommit],
  ['no task in two places', checkTwoPlaces],
  ['gangs run all at once', checkGangs],
  ['work only for the team of its key', checkTeams],
  ['revoked keys stop', checkRevokedKeys],
  ['ceilings of teams', checkCeilings],
  ['whole answers to their own callers', checkWholeAnswers],
  ['not run means not run', checkNotRun],
  ['non-idempotent at most once', checkAtMostOnce],
  ['leaving endpoints get no new work', checkLeaving],
  ['planned stops cut off nothing', checkPlannedStops],
  ['configuration in force and never back', checkConfig]
]

/** Lists every violation in a history; an empty list means that all points held. */
export function listViolations (history: History): Violation[] {
  const violations: Violation[] = []
  for (const [point, check] of CHECKS) check(history, (detail) => violations.push({ point, detail }))
  return violations
}
