/** Events that traces read, by what they say. */
import type { LogLine } from './logLines.js'

export const CELL_TAKEN = 'FT801'
export const WORKER_LOST = 'FT812'
export const RUN_PLACED = 'FT820'
export const START_UNANSWERED = 'FT822'
export const RUN_ENDED = 'FT823'
export const RUN_STOPPING = 'FT824'
export const JOB_ENDED = 'FT825'
export const ACCEPTED = 'FT830'
export const REFUSED = 'FT831'
export const UNSETTLED = 'FT832'
export const ADVICE = 'FT840'
export const ADVICE_MISSING = 'FT841'
export const TABLE_LOST = 'FT852'
export const CEILINGS_KNOWN = 'FT855'
export const TABLE_SLOW = 'FT857'

/** Job that a line is about, or `null`. */
export function readJobId (line: LogLine): string | null {
  for (const name of ['job', 'run', 'step']) {
    const value = line.fields[name]
    if (typeof value === 'string') return value.split('.')[0] ?? null
  }
  return null
}
