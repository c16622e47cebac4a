/** Scheduling order of waiting steps: by deadline class, then priority, then least slack; under overload, jobs within their team's guaranteed rate go first. */
import { LATE_DEADLINE_FACTOR, OBJECTIVE_ADVICE_WORKERS } from './constants.js'
import type { Job } from './jobState.js'
import { computeCriticalPathMs, type StepJob } from './stepJob.js'

/** Rank of a waiting step, compared field by field. */
export interface Rank {
  /** 0: the job can still meet its objective; 1: it can still earn partial credit; 2: neither. */
  readonly deadlineClass: 0 | 1 | 2
  /** Priority of the queue, 0 first. */
  readonly priority: number
  /** Latest wall-clock time to start and still meet the objective, in milliseconds since 1970. */
  readonly latestStartMs: number
  /** The job exceeds its team's guaranteed job rate. */
  readonly isOverRate: boolean
}

/** Computes the time within which a job should end, counted from acceptance or from the due time of an occurrence. */
export function computeObjectiveMs (spec: StepJob): number {
  const { policy } = spec
  const adviceMs = policy.advice === undefined ? 0 : (policy.advice.decisionMs + OBJECTIVE_ADVICE_WORKERS * policy.advice.eachMs) * spec.steps.length
  return policy.targetLatencyMs + policy.stretch * (computeCriticalPathMs(spec.steps) + adviceMs)
}

/** Computes how long a job may wait for its first start and still meet its objective, in milliseconds. */
export function computeStartSlackMs (spec: StepJob): number {
  return Math.max(0, computeObjectiveMs(spec) - computeCriticalPathMs(spec.steps))
}

/** Computes the wall-clock time from which the objective of an occurrence is counted. */
export function computeDueMs (spec: StepJob, occurrence: number): number {
  return spec.runCount === 0 ? spec.acceptedAtMs : spec.firstRunMs + occurrence * spec.intervalMs
}

/** Computes the rank of a step whose remaining critical path, itself included, takes `remainingMs`. */
export function computeRank (job: Job, occurrence: number, remainingMs: number, wallMs: number): Rank {
  const { spec } = job
  const dueMs = computeDueMs(spec, occurrence)
  const objectiveMs = computeObjectiveMs(spec)
  const latestStartMs = dueMs + objectiveMs - remainingMs
  const latestLateStartMs = dueMs + LATE_DEADLINE_FACTOR * objectiveMs - remainingMs
  return {
    deadlineClass: wallMs <= latestStartMs ? 0 : wallMs <= latestLateStartMs ? 1 : 2,
    priority: spec.policy.priority,
    latestStartMs,
    isOverRate: job.isOverRate
  }
}

/**
 * Compares two ranks; negative if `a` goes first.
 *
 * @param isOverloaded capacity does not suffice to meet all objectives: jobs beyond their team's guaranteed rate go behind all others that can still earn credit
 */
export function compareRanks (a: Rank, b: Rank, isOverloaded: boolean): number {
  if (isOverloaded) {
    const byRate = Number(a.deadlineClass === 2) - Number(b.deadlineClass === 2) || Number(a.isOverRate) - Number(b.isOverRate)
    if (byRate !== 0) return byRate
  }
  return a.deadlineClass - b.deadlineClass || a.priority - b.priority || a.latestStartMs - b.latestStartMs
}
