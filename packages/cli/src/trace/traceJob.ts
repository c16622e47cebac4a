/** Puts the lines of one job in causal order and names what became of it and what cost the most time. */
import type { LogLine } from './logLines.js'
import { ACCEPTED, JOB_ENDED, readJobId, REFUSED, RUN_ENDED, RUN_PLACED, UNSETTLED } from './traceEvents.js'
import { listWaitReasons } from './waitReasons.js'

/** A line with the time since the first one, on one time base. */
export interface TracedLine extends LogLine {
  readonly sinceMs: number
}

/** What the logs say of one job. */
export interface JobTrace {
  readonly job: string
  readonly lines: readonly TracedLine[]
  readonly outcome: 'completed' | 'failed' | 'cancelled' | 'refused' | 'unsettled' | 'open' | 'unknown'
  /** Cause in words, from the lines alone. */
  readonly cause: string
  /** What held it up, as far as the logs show it. */
  readonly reasons: readonly string[]
  /** Longest wait between two lines of the job. */
  readonly longestWait: { readonly ms: number, readonly before: string, readonly after: string } | null
}

/** Share of failed runs from which a worker counts as failing by itself. */
const BAD_WORKER_SHARE = 0.5
/** Runs of other jobs that a worker must have ended before it is judged. */
const MIN_JUDGED_RUNS = 3

/**
 * Offsets that bring the clocks of the sources together as far as this job needs it: what a process says of a job
 * comes after the job's acceptance at another one.
 */
function computeOffsets (lines: readonly LogLine[]): ReadonlyMap<string, number> {
  const offsets = new Map<string, number>()
  const accepted = lines.filter((line) => line.event === ACCEPTED).sort((a, b) => a.timeMs - b.timeMs)[0]
  if (accepted === undefined) return offsets
  for (const line of lines) {
    if (line.source === accepted.source || line.event === ACCEPTED || line.event === REFUSED || line.event === UNSETTLED) continue
    const behindMs = accepted.timeMs - line.timeMs
    if (behindMs > (offsets.get(line.source) ?? 0)) offsets.set(line.source, behindMs)
  }
  return offsets
}

function findOutcome (lines: readonly LogLine[]): JobTrace['outcome'] {
  const ended = lines.findLast((line) => line.event === JOB_ENDED)
  if (ended !== undefined) return ended.fields['phase'] as JobTrace['outcome']
  if (lines.some((line) => line.event === ACCEPTED)) return 'open'
  if (lines.some((line) => line.event === UNSETTLED)) return 'unsettled'
  if (lines.some((line) => line.event === REFUSED)) return 'refused'
  return 'unknown'
}

/** Share of failed runs of other jobs at a worker, or `null` if too few ended there. */
function computeFailedShare (all: readonly LogLine[], worker: string, job: string): number | null {
  let ended = 0
  let failed = 0
  for (const line of all) {
    if (line.event !== RUN_ENDED || line.fields['worker'] !== worker || readJobId(line) === job) continue
    ended++
    if (line.fields['how'] === 'failed') failed++
  }
  return ended < MIN_JUDGED_RUNS ? null : failed / ended
}

function explainFailure (all: readonly LogLine[], lines: readonly LogLine[], job: string): string {
  const byTask = new Map<string, LogLine[]>()
  for (const line of lines) {
    if (line.event !== RUN_ENDED || line.fields['how'] !== 'failed') continue
    const task = String(line.fields['run']).split('#')[0] ?? ''
    byTask.set(task, [...byTask.get(task) ?? [], line])
  }
  const worst = [...byTask].sort((a, b) => b[1].length - a[1].length)[0]
  if (worst === undefined) return 'ended as failed; no failed run is in these logs'
  const [task, failures] = worst
  const workers = [...new Set(failures.map((line) => String(line.fields['worker'])))]
  const bad = workers.filter((worker) => (computeFailedShare(all, worker, job) ?? 0) >= BAD_WORKER_SHARE)
  const runs = `${failures.length} runs of task ${task} failed at ${workers.join(', ')}`
  if (bad.length === 0) return `${runs}; other jobs' runs end well there, so the task fails by its own fault`
  return `${runs}; ${bad.join(', ')} fails most of what it runs, so the workers are at fault`
}

function describeWait (wait: JobTrace['longestWait'], reasons: readonly string[]): string {
  if (wait === null) return 'no wait'
  const because = reasons.length === 0 ? '' : `; ${reasons.join('; ')}`
  return `longest wait ${Math.round(wait.ms)} ms, between "${wait.before}" and "${wait.after}"${because}`
}

/** Traces a job through the lines of all processes. */
export function summarizeJob (job: string, all: readonly LogLine[]): JobTrace {
  const own = all.filter((line) => readJobId(line) === job)
  const offsets = computeOffsets(own)
  const shifted = own.map((line) => ({ line, timeMs: line.timeMs + (offsets.get(line.source) ?? 0) })).sort((a, b) => a.timeMs - b.timeMs)
  const startMs = shifted[0]?.timeMs ?? 0
  const lines = shifted.map(({ line, timeMs }): TracedLine => ({ ...line, sinceMs: timeMs - startMs }))
  let longestWait: JobTrace['longestWait'] = null
  let window = { from: startMs, to: startMs }
  let waitEnd: LogLine | undefined
  for (const [index, line] of lines.entries()) {
    const previous = lines[index - 1]
    // Between placing and end a run works: that is no wait.
    if (previous === undefined || (previous.event === RUN_PLACED && line.event === RUN_ENDED)) continue
    // Submissions that come again after the end are answered from what is known.
    if (previous.event === JOB_ENDED) break
    const ms = line.sinceMs - previous.sinceMs
    if (longestWait !== null && ms <= longestWait.ms) continue
    longestWait = { ms, before: `${previous.event} ${previous.title}`, after: `${line.event} ${line.title}` }
    window = { from: startMs + previous.sinceMs, to: startMs + line.sinceMs }
    waitEnd = line
  }
  const outcome = findOutcome(lines)
  const life = { from: startMs, to: startMs + (lines.at(-1)?.sinceMs ?? 0) }
  const reasons = listWaitReasons(all, own, life, window, waitEnd)
  const refusal = lines.findLast((line) => line.event === REFUSED)
  const cause = outcome === 'failed'
    ? explainFailure(all, lines, job)
    : outcome === 'refused'
      ? `refused: ${String(refusal?.fields['reason'])}`
      : outcome === 'unsettled'
        ? 'the write of the submission had no answer before the caller’s deadline'
        : outcome === 'unknown' ? 'no line of these logs names the job' : describeWait(longestWait, reasons)
  return { job, lines, outcome, cause, longestWait, reasons }
}
