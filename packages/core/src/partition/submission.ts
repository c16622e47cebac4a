/** Builds jobs from submissions under the configuration in force. */
import { err, ok, type Result } from 'neverthrow'
import { createDecoder } from '../schema/decode.js'
import type { QueueConfig, TeamConfig } from './clusterConfig.js'
import { MAX_ROW_BYTES } from './constants.js'
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

/** Rejects a job that a row of the table can't hold: no retry would store it. */
function checkSize (job: StepJob): Result<StepJob, string> {
  const bytes = Buffer.byteLength(JSON.stringify(job))
  if (bytes <= MAX_ROW_BYTES) return ok(job)
  return err(`steps: the job takes ${bytes} bytes and the limit is ${MAX_ROW_BYTES}; split it into several jobs, or give equal tasks one step with a count`)
}

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
  }).mapErr((error) => error.message).andThen(checkSize)
}
