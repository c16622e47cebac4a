/** Names what held a job up, from its own lines and from what happened around it. */
import type { LogLine } from './logLines.js'
import {
  ACCEPTED, ADVICE, ADVICE_MISSING, CEILINGS_KNOWN, CELL_TAKEN, REFUSED, RUN_ENDED, RUN_PLACED, RUN_STOPPING, START_UNANSWERED, TABLE_LOST, TABLE_SLOW, WORKER_LOST
} from './traceEvents.js'

/** A span of wall clock time, in milliseconds since 1970. */
export interface TimeSpan {
  readonly from: number
  readonly to: number
}

/** Stops that are the scheduler's choice; a cancelled or failed job stops its runs as well. */
const HOLDING_STOPS = ['preempted', 'stalled', 'superseded', 'gangBroken']
const UNFINISHED_ENDS = ['failed', 'lapsed', 'broken', 'alone']

function countText (count: number, one: string, many: string): string[] {
  return count === 0 ? [] : [count === 1 ? `1 ${one}` : `${count} ${many}`]
}

function listOwnReasons (own: readonly LogLine[]): string[] {
  const reasons: string[] = []
  const refusals = own.some((line) => line.event === ACCEPTED) ? own.filter((line) => line.event === REFUSED) : []
  reasons.push(...countText(refusals.length, 'submission was refused before it was accepted', 'submissions were refused before one was accepted'))
  for (const line of own) {
    if (line.event !== ADVICE || line.fields['good'] !== 0) continue
    reasons.push(`none of the ${String(line.fields['asked'])} workers asked about may run step ${String(line.fields['step'])}`)
  }
  for (const how of UNFINISHED_ENDS) {
    const ends = own.filter((line) => line.event === RUN_ENDED && line.fields['how'] === how).length
    reasons.push(...countText(ends, `run ended ${how}`, `runs ended ${how}`))
  }
  for (const reason of HOLDING_STOPS) {
    const stops = own.filter((line) => line.event === RUN_STOPPING && line.fields['reason'] === reason).length
    reasons.push(...countText(stops, `run was stopped (${reason})`, `runs were stopped (${reason})`))
  }
  const unanswered = own.filter((line) => line.event === START_UNANSWERED).length
  reasons.push(...countText(unanswered, 'start had no answer', 'starts had no answer'))
  const missing = own.filter((line) => line.event === ADVICE_MISSING).length
  reasons.push(...countText(missing, 'question for advice had no answer', 'questions for advice had no answer'))
  return reasons
}

/** Workers that were given up while a run of the job was placed there. */
function listLostWorkers (all: readonly LogLine[], own: readonly LogLine[], life: TimeSpan): string[] {
  const used = new Set(own.filter((line) => line.event === RUN_PLACED).map((line) => String(line.fields['worker'])))
  const lost = all.filter((line) => line.event === WORKER_LOST && line.timeMs >= life.from && line.timeMs <= life.to && used.has(String(line.fields['worker'])))
  return [...new Set(lost.map((line) => `worker ${String(line.fields['worker'])} was lost with its runs`))]
}

function listEventsAround (all: readonly LogLine[], wait: TimeSpan): string[] {
  const reasons: string[] = []
  const during = all.filter((line) => line.timeMs >= wait.from && line.timeMs <= wait.to)
  for (const line of during) {
    if (line.event === CELL_TAKEN) reasons.push(`${String(line.fields['cell'])} was taken by ${line.source} (epoch ${String(line.fields['epoch'])})`)
    if (line.event === CEILINGS_KNOWN && Number(line.fields['tries']) > 1) reasons.push(`${line.source} knew the ceilings after ${String(line.fields['waitedMs'])} ms`)
  }
  if (during.some((line) => line.event === TABLE_SLOW)) reasons.push('the table was slow')
  if (during.some((line) => line.event === TABLE_LOST)) reasons.push('the table gave some entry no answer')
  return reasons
}

/** What a wait without any other reason was spent on, by the line that ended it. */
function describePlainWait (own: readonly LogLine[], end: LogLine, wait: TimeSpan): string | null {
  if (end.event === RUN_PLACED) return 'it waited for room, or below its team\'s ceiling'
  if (end.event === ADVICE) {
    const waitedMs = Number(end.fields['waitedMs'])
    if (2 * waitedMs >= wait.to - wait.from) return `the question for advice took ${waitedMs} ms`
    return 'it waited for room, or below its team\'s ceiling, before advice was asked'
  }
  if (end.event !== RUN_ENDED) return null
  const placed = own.find((line) => line.event === RUN_PLACED && line.fields['run'] === end.fields['run'])
  if (placed === undefined) return null
  return `run ${String(end.fields['run'])} took ${Math.round(end.timeMs - placed.timeMs)} ms at worker ${String(end.fields['worker'])}`
}

/**
 * Lists what held a job up; empty where the logs show nothing.
 *
 * @param wait span of its longest wait
 * @param end line that ended the wait
 */
export function listWaitReasons (all: readonly LogLine[], own: readonly LogLine[], life: TimeSpan, wait: TimeSpan, end: LogLine | undefined): string[] {
  const reasons = [...listEventsAround(all, wait), ...listLostWorkers(all, own, life), ...listOwnReasons(own)]
  if (reasons.length > 0 || end === undefined) return reasons
  const plain = describePlainWait(own, end, wait)
  return plain === null ? [] : [plain]
}
