/** Derives the reasons for the delay of a job from its own log lines and from concurrent events. */
import type { LogLine } from './logLines.js'
import {
  JOB_ACCEPTED, ADVICE_RECEIVED, ADVICE_MISSING, CEILING_CLAIMS_RECORDED, PARTITION_ACQUIRED, JOB_REFUSED, RUN_ENDED, RUN_PLACED, RUN_STOPPING, START_WITHOUT_RESPONSE, TABLE_UNREACHABLE, TABLE_SLOW, WORKER_LOST
} from './traceEvents.js'

/** A span of wall clock time, in milliseconds since 1970. */
export interface TimeSpan {
  readonly from: number
  readonly to: number
}

/** Reasons for which the scheduler stops a run although its job continues; stops of cancelled and failed jobs explain no delay. */
const SCHEDULER_STOP_REASONS = ['preempted', 'stalled', 'superseded', 'gangBroken']
const UNSUCCESSFUL_RUN_ENDS = ['failed', 'lapsed', 'broken', 'alone']

/** Returns a list of one phrase, or an empty list for a count of 0. */
function formatCount (count: number, singular: string, plural: string): string[] {
  return count === 0 ? [] : [count === 1 ? `1 ${singular}` : `${count} ${plural}`]
}

function listJobReasons (jobLines: readonly LogLine[]): string[] {
  const reasons: string[] = []
  const refusals = jobLines.some((line) => line.event === JOB_ACCEPTED) ? jobLines.filter((line) => line.event === JOB_REFUSED) : []
  reasons.push(...formatCount(refusals.length, 'submission was refused before it was accepted', 'submissions were refused before one was accepted'))
  for (const line of jobLines) {
    if (line.event !== ADVICE_RECEIVED || line.fields['good'] !== 0) continue
    reasons.push(`placement advice allowed none of ${String(line.fields['asked'])} workers for step ${String(line.fields['step'])}`)
  }
  for (const how of UNSUCCESSFUL_RUN_ENDS) {
    const ends = jobLines.filter((line) => line.event === RUN_ENDED && line.fields['how'] === how).length
    reasons.push(...formatCount(ends, `run ended ${how}`, `runs ended ${how}`))
  }
  for (const reason of SCHEDULER_STOP_REASONS) {
    const stops = jobLines.filter((line) => line.event === RUN_STOPPING && line.fields['reason'] === reason).length
    reasons.push(...formatCount(stops, `run was stopped (${reason})`, `runs were stopped (${reason})`))
  }
  const unanswered = jobLines.filter((line) => line.event === START_WITHOUT_RESPONSE).length
  reasons.push(...formatCount(unanswered, 'start got no response', 'starts got no response'))
  const missing = jobLines.filter((line) => line.event === ADVICE_MISSING).length
  reasons.push(...formatCount(missing, 'advice request got no response', 'advice requests got no response'))
  return reasons
}

/** Lists workers that were lost during the job's lifetime after a run of the job had been placed on them. */
function listLostWorkers (allLines: readonly LogLine[], jobLines: readonly LogLine[], jobSpan: TimeSpan): string[] {
  const usedWorkers = new Set(jobLines.filter((line) => line.event === RUN_PLACED).map((line) => String(line.fields['worker'])))
  const lost = allLines.filter((line) => line.event === WORKER_LOST && line.timeMs >= jobSpan.from && line.timeMs <= jobSpan.to && usedWorkers.has(String(line.fields['worker'])))
  return [...new Set(lost.map((line) => `worker ${String(line.fields['worker'])} was lost with its runs`))]
}

function listConcurrentEvents (allLines: readonly LogLine[], waitSpan: TimeSpan): string[] {
  const reasons: string[] = []
  const during = allLines.filter((line) => line.timeMs >= waitSpan.from && line.timeMs <= waitSpan.to)
  for (const line of during) {
    if (line.event === PARTITION_ACQUIRED) reasons.push(`partition ${String(line.fields['cell'])} was acquired by ${line.source} (epoch ${String(line.fields['epoch'])})`)
    if (line.event === CEILING_CLAIMS_RECORDED && Number(line.fields['tries']) > 1) reasons.push(`${line.source} recorded its ceiling claims after ${String(line.fields['waitedMs'])} ms`)
  }
  if (during.some((line) => line.event === TABLE_SLOW)) reasons.push('the table was slow')
  if (during.some((line) => line.event === TABLE_UNREACHABLE)) reasons.push('the table did not respond to an entry')
  return reasons
}

/** Explains a wait that has no other reason by the line that ended it. */
function describeWaitEnd (jobLines: readonly LogLine[], end: LogLine, waitSpan: TimeSpan): string | null {
  if (end.event === RUN_PLACED) return 'waiting for free capacity or for room under the team\'s ceiling'
  if (end.event === ADVICE_RECEIVED) {
    const waitedMs = Number(end.fields['waitedMs'])
    // The advice request explains the wait only if it took at least half of it.
    if (2 * waitedMs >= waitSpan.to - waitSpan.from) return `the advice request took ${waitedMs} ms`
    return 'waiting for free capacity or for room under the team\'s ceiling, before advice was requested'
  }
  if (end.event !== RUN_ENDED) return null
  const placed = jobLines.find((line) => line.event === RUN_PLACED && line.fields['run'] === end.fields['run'])
  if (placed === undefined) return null
  return `run ${String(end.fields['run'])} took ${Math.round(end.timeMs - placed.timeMs)} ms at worker ${String(end.fields['worker'])}`
}

/**
 * Lists the reasons for the delay of a job; empty if the logs show none.
 *
 * @param waitSpan span of the longest wait
 * @param end line that ended the wait
 */
export function listWaitReasons (allLines: readonly LogLine[], jobLines: readonly LogLine[], jobSpan: TimeSpan, waitSpan: TimeSpan, end: LogLine | undefined): string[] {
  const reasons = [...listConcurrentEvents(allLines, waitSpan), ...listLostWorkers(allLines, jobLines, jobSpan), ...listJobReasons(jobLines)]
  if (reasons.length > 0 || end === undefined) return reasons
  const waitEndReason = describeWaitEnd(jobLines, end, waitSpan)
  return waitEndReason === null ? [] : [waitEndReason]
}
