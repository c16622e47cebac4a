/** Builds jobs from submissions under the configuration in force. */
import { err, ok, type Result } from 'neverthrow'
import type { QueueConfig, TeamConfig } from './clusterConfig.js'
import { checkStepJob, type JobStep, type StepJob } from './stepJob.js'

/** A job as submitted by a caller. */
export interface Submission {
  readonly payload: string
  readonly steps: readonly JobStep[]
  readonly runCount: number
  readonly firstRunMs: number
  readonly intervalMs: number
}

/**
 * Builds the job of a submission; the error names the invalid field.
 *
 * @param team `null` for an unauthenticated caller of a public queue
 */
export function buildStepJob (submission: Submission, queue: QueueConfig, team: TeamConfig | null, acceptedAtMs: number): Result<StepJob, string> {
  const fault = checkStepJob(submission.steps)
  if (fault !== null) return err(fault)
  return ok({
    ...submission,
    team: team?.name ?? '',
    policy: {
      queue: queue.name,
      service: queue.service,
      priority: queue.priority,
      maxAttempts: queue.maxAttempts,
      stretch: queue.stretch,
      targetLatencyMs: queue.targetLatencyMs,
      ...(team === null ? {} : { teamJobsPerS: team.weight }),
      ...(queue.advice === null ? {} : { advice: queue.advice })
    },
    acceptedAtMs
  })
}
