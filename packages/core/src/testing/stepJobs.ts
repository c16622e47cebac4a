/** Builders of steps and jobs for tests; all optional features are off by default. */
import type { JobStep, StepJob } from '../partition/index.js'

/** Creates a step of one task that needs two cores and runs for one second. */
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

/** Creates a job that runs once, immediately, for a team without a ceiling. */
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
