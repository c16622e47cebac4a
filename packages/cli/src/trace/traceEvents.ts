/** Ids of the log events that a trace evaluates. */
import type { LogLine } from './logLines.js'

export const PARTITION_ACQUIRED = 'FT801'
export const WORKER_LOST = 'FT812'
export const RUN_PLACED = 'FT820'
export const START_WITHOUT_RESPONSE = 'FT822'
export const RUN_ENDED = 'FT823'
export const RUN_STOPPING = 'FT824'
export const JOB_ENDED = 'FT825'
export const TASK_GIVEN_UP = 'FT826'
export const JOB_ACCEPTED = 'FT830'
export const JOB_REFUSED = 'FT831'
export const SUBMISSION_IN_DOUBT = 'FT832'
export const ADVICE_RECEIVED = 'FT840'
export const ADVICE_MISSING = 'FT841'
export const TABLE_UNREACHABLE = 'FT852'
export const CEILING_CLAIMS_RECORDED = 'FT855'
export const TABLE_SLOW = 'FT857'

/** Returns the id of the job that a line refers to by its job, run or step, or `null`. */
export function readJobId (line: LogLine): string | null {
  for (const name of ['job', 'run', 'step']) {
    const value = line.fields[name]
    if (typeof value === 'string') return value.split('.')[0] ?? null
  }
  return null
}
