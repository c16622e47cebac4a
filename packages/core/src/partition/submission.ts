/** Builds jobs from submissions under the configuration in force. */
import { err, type Result } from 'neverthrow'
import { createDecoder } from '../schema/decode.js'
import type { QueueConfig, TeamConfig } from './clusterConfig.js'
import { checkStepJob, StepJob, type JobStep } from './stepJob.js'

/** A job as submitted by a caller. */
export interface Submission {
  readonly payload: string
  readonly steps: readonly JobStep[]
  readonly runCount: number
  readonly firstRunMs: number
  readonly intervalMs: number
}

const decodeStepJob = createDecoder(StepJob)

/**
 * Builds the job of a submission; the error names the invalid field. A job that is built can be read back from the table.
 *
 * @param team `null` for an unauthenticated caller of a public queue
 */
export function buildStepJob (submission: Submission, queue: QueueConfig, team: TeamConfig | null, acceptedAtMs: number): Result<StepJob, string> {
  const fault = checkStepJob(submission.steps)
  if (fault !== null) return err(fault)
  return decodeStepJob({
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
  }).mapErr((error) => error.message)
}
