/** Order in which waiting steps get room: on time before late before hopeless, then priority, then least slack; under overload by share first. */
import { LATE_FACTOR, OBJECTIVE_ADVICE_WORKERS } from './constants.js'
import type { Job } from './jobState.js'
import { computeChainMs, type StepJob } from './stepJob.js'

/** Rank of a waiting step; compared field by field. */
export interface Urgency {
  /** 0: its job can still meet its objective; 1: can still earn a late credit; 2: neither. */
  readonly standing: 0 | 1 | 2
  /** Priority of the queue, 0 first. */
  readonly priority: number
  /** Wall clock of the objective less the work that is left, in milliseconds since 1970. */
  readonly latestStartMs: number
  /** Its team had sent as many jobs as it is owed before. */
  readonly isBeyondShare: boolean
}

/** Time from acceptance, or from the due time of an occurrence, within which a job should end. */
export function computeObjectiveMs (spec: StepJob): number {
  const { policy } = spec
  const adviceMs = policy.advice === undefined ? 0 : (policy.advice.decisionMs + OBJECTIVE_ADVICE_WORKERS * policy.advice.eachMs) * spec.steps.length
  return policy.targetLatencyMs + policy.stretch * (computeChainMs(spec.steps) + adviceMs)
}

/** Wall clock at which the objective's time began for an occurrence. */
export function computeDueMs (spec: StepJob, occurrence: number): number {
  return spec.runCount === 0 ? spec.acceptedAtMs : spec.firstRunMs + occurrence * spec.intervalMs
}

/** Computes the rank of a step whose remaining chain, itself included, takes `remainingMs`. */
export function computeUrgency (job: Job, occurrence: number, remainingMs: number, wallMs: number): Urgency {
  const { spec } = job
  const dueMs = computeDueMs(spec, occurrence)
  const objectiveMs = computeObjectiveMs(spec)
  const latestStartMs = dueMs + objectiveMs - remainingMs
  const latestLateMs = dueMs + LATE_FACTOR * objectiveMs - remainingMs
  return {
    standing: wallMs <= latestStartMs ? 0 : wallMs <= latestLateMs ? 1 : 2,
    priority: spec.policy.priority,
    latestStartMs,
    isBeyondShare: job.isBeyondShare
  }
}

/**
 * Orders two ranks; negative where `a` goes first.
 *
 * @param isOverloaded there is not room enough for all to be in time: what a team sends beyond its share goes behind the work of others
 */
export function compareUrgency (a: Urgency, b: Urgency, isOverloaded: boolean): number {
  if (isOverloaded) {
    const byShare = Number(a.standing === 2) - Number(b.standing === 2) || Number(a.isBeyondShare) - Number(b.isBeyondShare)
    if (byShare !== 0) return byShare
  }
  return a.standing - b.standing || a.priority - b.priority || a.latestStartMs - b.latestStartMs
}
