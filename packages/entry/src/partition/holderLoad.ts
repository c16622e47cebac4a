/** Measures the load of a partition's holder: processor time by part of its work, delay of the event loop, and backlog. */
import type { Clock, Disposable, EventLog } from '@fuchsiatally/core'
import { LOAD_REPORT_INTERVAL_MS, LOOP_PROBE_INTERVAL_MS } from './constants.js'
import { holderLoadMeasured } from './events.js'

/** `plan`: planning rounds; `encode`: rows of changed jobs; `report`: workers' reports. */
export type LoadPart = 'plan' | 'encode' | 'report'

/** Work that waits for the holder. */
export interface Backlog {
  /** Steps with tasks that wait for capacity. */
  readonly steps: number
  /** Tasks that wait for capacity. */
  readonly tasks: number
}

export interface HolderLoadOptions {
  readonly partition: string
  readonly epoch: number
  readonly clock: Clock
  readonly events: EventLog
  readonly readBacklog: () => Backlog
}

/** Load of one term. */
export interface HolderLoad extends Disposable {
  /** Runs a synchronous part of the work and adds its duration. */
  measurePart: <T>(part: LoadPart, run: () => T) => T
  /** Records a start order that is sent `waitMs` after its decision. */
  recordStartSent: (waitMs: number) => void
  /** Records a start order that a worker refused because its ticket had expired. */
  recordTicketRefused: () => void
  /** Records a start that is not ordered because its ticket would have expired on the way. */
  recordStartExpired: () => void
}

interface PartTotals {
  count: number
  totalMs: number
  longestMs: number
}

const PARTS: readonly LoadPart[] = ['plan', 'encode', 'report']

/** Starts the measurement; one event a second states the totals since the last one. */
export function createHolderLoad (options: HolderLoadOptions): HolderLoad {
  const { clock, events } = options
  let totals = createTotals()
  let starts = createStartTotals()
  let longestLoopDelayMs = 0
  let reportedAtMs = clock.nowMs()
  let timer: Disposable

  const recordTotals = (nowMs: number): void => {
    const fields: Record<string, number> = {}
    for (const [part, { count, totalMs, longestMs }] of totals) {
      fields[`${part}Count`] = count
      fields[`${part}Ms`] = Math.round(totalMs)
      fields[`${part}MaxMs`] = Math.round(longestMs)
    }
    const { steps, tasks } = options.readBacklog()
    events.record(holderLoadMeasured, {
      cell: options.partition,
      epoch: options.epoch,
      intervalMs: Math.round(nowMs - reportedAtMs),
      loopDelayMs: Math.round(longestLoopDelayMs),
      ...fields,
      startCount: starts.count,
      startWaitMaxMs: Math.round(starts.longestWaitMs),
      ticketRefusals: starts.ticketRefusals,
      expiredStarts: starts.expired,
      waitingSteps: steps,
      waitingTasks: tasks
    })
    totals = createTotals()
    starts = createStartTotals()
    longestLoopDelayMs = 0
    reportedAtMs = nowMs
  }

  const scheduleProbe = (): void => {
    const dueAtMs = clock.nowMs() + LOOP_PROBE_INTERVAL_MS
    timer = clock.setTimer(LOOP_PROBE_INTERVAL_MS, () => {
      const nowMs = clock.nowMs()
      longestLoopDelayMs = Math.max(longestLoopDelayMs, nowMs - dueAtMs)
      if (nowMs - reportedAtMs >= LOAD_REPORT_INTERVAL_MS) recordTotals(nowMs)
      scheduleProbe()
    })
  }
  scheduleProbe()

  return {
    measurePart: (part, run) => {
      const startedAtMs = clock.nowMs()
      try {
        return run()
      } finally {
        const elapsedMs = clock.nowMs() - startedAtMs
        const total = totals.get(part)
        if (total !== undefined) {
          total.count++
          total.totalMs += elapsedMs
          total.longestMs = Math.max(total.longestMs, elapsedMs)
        }
      }
    },
    recordStartSent: (waitMs) => {
      starts.count++
      starts.longestWaitMs = Math.max(starts.longestWaitMs, waitMs)
    },
    recordTicketRefused: () => { starts.ticketRefusals++ },
    recordStartExpired: () => { starts.expired++ },
    dispose: () => timer.dispose()
  }
}

interface StartTotals {
  count: number
  longestWaitMs: number
  ticketRefusals: number
  expired: number
}

function createStartTotals (): StartTotals {
  return { count: 0, longestWaitMs: 0, ticketRefusals: 0, expired: 0 }
}

function createTotals (): Map<LoadPart, PartTotals> {
  return new Map(PARTS.map((part) => [part, { count: 0, totalMs: 0, longestMs: 0 }]))
}
