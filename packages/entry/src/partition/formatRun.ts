/** Formats run names for logs. */
import type { RunName } from '@fuchsiatally/core'

/** Formats a run as `job.occurrence.step.index#run`. */
export function formatRun (run: RunName): string {
  return `${run.job}.${run.occurrence}.${run.step}.${run.index}#${run.run}`
}
