/** Orders the log lines of a job causally and derives its outcome, its longest wait and the cause. */
import type { LogLine } from './logLines.js'
import { JOB_ACCEPTED, JOB_ENDED, readJobId, JOB_REFUSED, RUN_ENDED, RUN_PLACED, SUBMISSION_IN_DOUBT, TASK_GIVEN_UP, WORKER_LOST } from './traceEvents.js'
import { listWaitReasons } from './waitReasons.js'

/** A log line with the time since the first line of the job, corrected for clock differences. */
export interface TracedLine extends LogLine {
  readonly sinceMs: number
}

/** Course of a job according to the logs. */
export interface JobTrace {
  readonly job: string
  readonly lines: readonly TracedLine[]
  /**
   * `unsettled`: the outcome of the submission is in doubt; `open`: the job was accepted and has not ended; `unknown`: the logs contain no
   * line about the submission or the end of the job.
   */
  readonly outcome: 'completed' | 'failed' | 'cancelled' | 'refused' | 'unsettled' | 'open' | 'unknown'
  /** Cause of the outcome or of the longest wait, as readable text. */
  readonly cause: string
  /** Reasons for the delay that the logs show. */
  readonly reasons: readonly string[]
  /** Longest time between two consecutive lines of the job; a placement directly followed by the end of a run does not count as a wait. */
  readonly longestWait: { readonly ms: number, readonly before: string, readonly after: string } | null
}

/** Failure rate at or above which a worker is considered faulty. */
const FAULTY_WORKER_FAILURE_RATE = 0.5
/** Ended runs of other jobs below which the failure rate of a worker is not evaluated. */
const MIN_RUNS_FOR_FAILURE_RATE = 3

/**
 * Estimates the milliseconds by which each process's clock is behind that of the process that accepted the job. Events such as a
 * placement happen after the acceptance, so a line with an earlier time shows a slow clock; a fast clock cannot be detected.
 */
function computeClockOffsets (lines: readonly LogLine[]): ReadonlyMap<string, number> {
  const offsets = new Map<string, number>()
  const accepted = lines.filter((line) => line.event === JOB_ACCEPTED).sort((a, b) => a.timeMs - b.timeMs)[0]
  if (accepted === undefined) return offsets
  for (const line of lines) {
    // Earlier submissions may have been refused or in doubt before the acceptance.
    if (line.source === accepted.source || line.event === JOB_ACCEPTED || line.event === JOB_REFUSED || line.event === SUBMISSION_IN_DOUBT) continue
    const behindMs = accepted.timeMs - line.timeMs
    if (behindMs > (offsets.get(line.source) ?? 0)) offsets.set(line.source, behindMs)
  }
  return offsets
}

function findOutcome (lines: readonly LogLine[]): JobTrace['outcome'] {
  const ended = lines.findLast((line) => line.event === JOB_ENDED)
  if (ended !== undefined) return ended.fields['phase'] as JobTrace['outcome']
  if (lines.some((line) => line.event === JOB_ACCEPTED)) return 'open'
  if (lines.some((line) => line.event === SUBMISSION_IN_DOUBT)) return 'unsettled'
  if (lines.some((line) => line.event === JOB_REFUSED)) return 'refused'
  return 'unknown'
}

/** Returns the failure rate of other jobs' runs at a worker, or `null` if too few ended there. */
function computeFailureRate (allLines: readonly LogLine[], worker: string, job: string): number | null {
  let ended = 0
  let failed = 0
  for (const line of allLines) {
    if (line.event !== RUN_ENDED || line.fields['worker'] !== worker || readJobId(line) === job) continue
    ended++
    if (line.fields['how'] === 'failed') failed++
  }
  return ended < MIN_RUNS_FOR_FAILURE_RATE ? null : failed / ended
}

/** Names the workers that crashed under a task that was given up; `null` if none was. */
function explainGivingUp (allLines: readonly LogLine[], jobLines: readonly LogLine[]): string | null {
  const givenUp = jobLines.find((line) => line.event === TASK_GIVEN_UP)
  if (givenUp === undefined) return null
  const task = String(givenUp.fields['run']).split('#')[0] ?? ''
  const workers = new Set<string>()
  for (const line of allLines) {
    if (line.event !== WORKER_LOST || !Array.isArray(line.fields['runs'])) continue
    if (line.fields['runs'].some((run) => String(run).startsWith(`${task}#`))) workers.add(String(line.fields['worker']))
  }
  return `task ${task} was given up: workers crashed while it ran apart from other jobs; lost with it: ${[...workers].join(', ')}`
}

function explainFailure (allLines: readonly LogLine[], jobLines: readonly LogLine[], job: string): string {
  const givingUp = explainGivingUp(allLines, jobLines)
  if (givingUp !== null) return givingUp
  const failuresByTask = new Map<string, LogLine[]>()
  for (const line of jobLines) {
    if (line.event !== RUN_ENDED || line.fields['how'] !== 'failed') continue
    const task = String(line.fields['run']).split('#')[0] ?? ''
    failuresByTask.set(task, [...failuresByTask.get(task) ?? [], line])
  }
  const mostFailed = [...failuresByTask].sort((a, b) => b[1].length - a[1].length)[0]
  if (mostFailed === undefined) return 'the job failed, but the logs show no failed run'
  const [task, failures] = mostFailed
  const workers = [...new Set(failures.map((line) => String(line.fields['worker'])))]
  const faultyWorkers = workers.filter((worker) => (computeFailureRate(allLines, worker, job) ?? 0) >= FAULTY_WORKER_FAILURE_RATE)
  const failedRuns = `${failures.length} runs of task ${task} failed at ${workers.join(', ')}`
  if (faultyWorkers.length === 0) return `${failedRuns}; runs of other jobs succeed there, so the task itself is at fault`
  return `${failedRuns}; most runs fail at ${faultyWorkers.join(', ')}, so the workers are at fault`
}

function describeWait (wait: JobTrace['longestWait'], reasons: readonly string[]): string {
  if (wait === null) return 'no wait'
  const explanation = reasons.length === 0 ? '' : `; ${reasons.join('; ')}`
  return `longest wait ${Math.round(wait.ms)} ms, between "${wait.before}" and "${wait.after}"${explanation}`
}

/** Builds the trace of a job from the log lines of all processes. */
export function summarizeJob (job: string, allLines: readonly LogLine[]): JobTrace {
  const jobLines = allLines.filter((line) => readJobId(line) === job)
  const offsets = computeClockOffsets(jobLines)
  const alignedLines = jobLines.map((line) => ({ line, timeMs: line.timeMs + (offsets.get(line.source) ?? 0) })).sort((a, b) => a.timeMs - b.timeMs)
  const startMs = alignedLines[0]?.timeMs ?? 0
  const lines = alignedLines.map(({ line, timeMs }): TracedLine => ({ ...line, sinceMs: timeMs - startMs }))
  let longestWait: JobTrace['longestWait'] = null
  let waitSpan = { from: startMs, to: startMs }
  let waitEnd: LogLine | undefined
  for (const [index, line] of lines.entries()) {
    const previous = lines[index - 1]
    // The run executes between its placement and its end; this is not a wait.
    if (previous === undefined || (previous.event === RUN_PLACED && line.event === RUN_ENDED)) continue
    // Later lines come from repeated submissions, which are answered with the known result.
    if (previous.event === JOB_ENDED) break
    const ms = line.sinceMs - previous.sinceMs
    if (longestWait !== null && ms <= longestWait.ms) continue
    longestWait = { ms, before: `${previous.event} ${previous.title}`, after: `${line.event} ${line.title}` }
    waitSpan = { from: startMs + previous.sinceMs, to: startMs + line.sinceMs }
    waitEnd = line
  }
  const outcome = findOutcome(lines)
  const jobSpan = { from: startMs, to: startMs + (lines.at(-1)?.sinceMs ?? 0) }
  const reasons = listWaitReasons(allLines, jobLines, jobSpan, waitSpan, waitEnd)
  const refusal = lines.findLast((line) => line.event === JOB_REFUSED)
  const cause = outcome === 'failed'
    ? explainFailure(allLines, lines, job)
    : outcome === 'refused'
      ? `refused: ${String(refusal?.fields['reason'])}`
      : outcome === 'unsettled'
        ? 'the write of the submission got no response before the caller’s deadline'
        : outcome === 'unknown' ? 'the logs contain no line about the submission or the end of the job' : describeWait(longestWait, reasons)
  return { job, lines, outcome, cause, longestWait, reasons }
}
