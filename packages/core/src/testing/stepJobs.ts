/** Steps and jobs for tests: everything off, unless a test says otherwise. */
import type { JobStep, StepJob } from '../partition/index.js'

/** One task of two cores and a second. */
export function createTestStep (changes: Partial<JobStep> = {}): JobStep {
  return {
    taskCount: 1,
    resources: { processors: 2, memoryMb: 1024, accelerators: 0 },
    estimateMs: 1000,
    after: [],
    gang: false,
    tightlyCoupled: false,
    maxPerWorker: 0,
    speculative: false,
    longRunning: false,
    targetMs: 0,
    fills: false,
    savesWork: false,
    ...changes
  }
}

/** A job that runs once, at once, of a team without a ceiling. */
export function createTestStepJob (steps: readonly JobStep[], policy: Partial<StepJob['policy']> = {}, changes: Partial<StepJob> = {}): StepJob {
  return {
    team: 'clubs',
    policy: { queue: 'q', service: 'pages', priority: 1, maxAttempts: 2, stretch: 4, targetLatencyMs: 1000, ...policy },
    payload: '',
    steps,
    runCount: 0,
    firstRunMs: 0,
    intervalMs: 0,
    acceptedAtMs: 0,
    ...changes
  }
}
