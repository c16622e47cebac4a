/** Workers of the bench in one process: they start, run, fail and stop tasks on an injected clock. */
import type { AttemptId, EndedTask, SchedulerDecision } from '@fuchsiatally/core'
import type { JobArrival } from './arrivals.js'
import { createEventQueue } from './eventQueue.js'
import type { FaultPlan } from './faults.js'
import type { RunMeasures } from './measures.js'
import type { BenchScheduler } from './benchScheduler.js'
import type { BenchCell } from './benchCell.js'

/** What happens at a time. */
type FakeEvent =
  | { kind: 'arrive', arrival: JobArrival }
  | { kind: 'cancel', id: string }
  | { kind: 'started', run: TaskRun }
  | { kind: 'ended', run: TaskRun, result: EndedTask['result'] }
  | { kind: 'lose', worker: string }
  | { kind: 'reopen', worker: string }
  | { kind: 'close', worker: string }
  | { kind: 'tick' }

/** One attempt at its worker. */
interface TaskRun {
  readonly id: AttemptId
  readonly worker: string
  readonly arrival: JobArrival
  startedMs: number
  over: boolean
}

/** Options of a run. */
export interface FakeWorkersOptions {
  readonly cell: BenchCell
  readonly scheduler: BenchScheduler
  readonly arrivals: readonly JobArrival[]
  readonly faults: FaultPlan
  readonly measures: RunMeasures
  /** Wall clock at the start of the run. */
  readonly startWallMs: number
}

/** Commit of an assignment and start at the worker. */
const START_MS = 120
const STOP_MS = 100
const CHECKPOINT_MS = 600
const BAD_WORKER_RUN_MS = 2000
/** The scheduler decides at most this often. */
const ROUND_MS = 50
const TICK_MS = 500
const MAX_DECISIONS = 4000
const BROKEN_RUN_MS = 5000

/** Runs the cell until its time is over. */
export function runFakeWorkers (options: FakeWorkersOptions): void {
  const { cell, scheduler, faults, measures } = options
  const queue = createEventQueue<FakeEvent>()
  const runs = new Map<string, TaskRun>()
  const runsByWorker = new Map<string, Set<TaskRun>>()
  const remaining = new Map<string, number>()
  const arrivals = new Map(options.arrivals.map((arrival) => [arrival.id, arrival]))
  const delayedReports: { run: TaskRun, result: EndedTask['result'] }[] = []
  let nowMs = 0

  const isOutage = (): boolean => nowMs >= faults.outageStartMs && nowMs < faults.outageEndMs

  const formatKey = (id: AttemptId): string => `${id.job}/${id.task}`

  const reportEnd = (run: TaskRun, result: EndedTask['result']): void => {
    const ranMs = nowMs - run.startedMs
    measures.measureCall(() => scheduler.recordEnded({ id: run.id, result, ranMs }, run.worker, nowMs))
  }

  const endRun = (run: TaskRun, result: EndedTask['result'] | 'lost'): void => {
    if (run.over) return
    run.over = true
    const key = formatKey(run.id)
    runs.delete(key)
    runsByWorker.get(run.worker)!.delete(run)
    const ranMs = nowMs - run.startedMs
    const saves = result === 'stopped' && run.arrival.row.spec.checkpointable
    if (saves) remaining.set(key, Math.max(1, (remaining.get(key) ?? 0) - ranMs))
    measures.recordEnd(run.arrival, run.worker, result, ranMs, saves, nowMs)
    if (result === 'lost') return
    if (isOutage()) delayedReports.push({ run, result })
    else reportEnd(run, result)
  }

  const startRun = (decision: Extract<SchedulerDecision, { kind: 'start' }>): void => {
    const { id, worker } = decision
    const arrival = arrivals.get(id.job)!
    const run: TaskRun = { id, worker, arrival, startedMs: nowMs + START_MS, over: false }
    const key = formatKey(id)
    runs.set(key, run)
    const onWorker = runsByWorker.get(worker) ?? new Set()
    runsByWorker.set(worker, onWorker.add(run))
    if (!remaining.has(key)) remaining.set(key, arrival.runMs[id.task]!)
    measures.recordStart(arrival, id, worker, nowMs, START_MS)
    queue.addEvent(nowMs + START_MS, { kind: 'started', run })
    const bad = faults.badWorkers.has(worker)
    const result = bad || arrival.broken ? 'failed' : 'completed'
    const runMs = bad ? BAD_WORKER_RUN_MS : arrival.broken ? BROKEN_RUN_MS : remaining.get(key)!
    queue.addEvent(nowMs + START_MS + runMs, { kind: 'ended', run, result })
  }

  const applyDecision = (decision: SchedulerDecision): void => {
    if (decision.kind === 'start') startRun(decision)
    if (decision.kind === 'jobEnded') scheduler.forgetJob(decision.job)
    if (decision.kind !== 'stop') return
    const run = runs.get(formatKey(decision.id))
    const delayMs = decision.checkpoint ? CHECKPOINT_MS : STOP_MS
    if (run) queue.addEvent(nowMs + delayMs, { kind: 'ended', run, result: 'stopped' })
  }

  const loseWorker = (worker: string): void => {
    for (const run of [...runsByWorker.get(worker) ?? []]) endRun(run, 'lost')
    measures.measureCall(() => scheduler.recordWorkerLost(worker, nowMs))
  }

  const setSchedulable = (id: string, schedulable: boolean): void => {
    const worker = cell.workers.find((candidate) => candidate.id === id)!
    measures.measureCall(() => scheduler.setWorker({ ...worker, schedulable }))
  }

  const applyEvent = (event: FakeEvent): void => {
    switch (event.kind) {
      case 'arrive': {
        const { arrival } = event
        measures.recordArrival(arrival)
        measures.measureCall(() => scheduler.addJob(arrival.id, arrival.row, undefined, nowMs))
        return
      }
      case 'cancel': {
        measures.recordCancel(event.id)
        measures.measureCall(() => scheduler.cancelJob(event.id, nowMs))
        return
      }
      case 'started': {
        if (!event.run.over) measures.measureCall(() => scheduler.recordStarted(event.run.id, event.run.worker, nowMs))
        return
      }
      case 'ended': return endRun(event.run, event.result)
      case 'lose': return loseWorker(event.worker)
      case 'close': return setSchedulable(event.worker, false)
      case 'reopen': return setSchedulable(event.worker, true)
      case 'tick': queue.addEvent(nowMs + TICK_MS, event)
    }
  }

  const decideRound = (): void => {
    if (isOutage()) return
    for (const { run, result } of delayedReports.splice(0)) reportEnd(run, result)
    const decisions = measures.measureDecide(() =>
      scheduler.decide(nowMs, options.startWallMs + nowMs, MAX_DECISIONS))
    for (const decision of decisions) applyDecision(decision)
  }

  scheduler.setManifest(options.measures.manifest)
  for (const worker of cell.workers) scheduler.setWorker(worker)
  for (const arrival of options.arrivals) queue.addEvent(arrival.atMs, { kind: 'arrive', arrival })
  for (const { atMs, event } of faults.events) queue.addEvent(atMs, event)
  queue.addEvent(TICK_MS, { kind: 'tick' })
  while (queue.readNextMs() <= cell.durationMs) {
    const roundEndMs = queue.readNextMs() + ROUND_MS
    while (queue.readNextMs() < roundEndMs) {
      nowMs = queue.readNextMs()
      applyEvent(queue.takeNext()!)
    }
    nowMs = roundEndMs
    measures.updateSample(nowMs)
    decideRound()
  }
  nowMs = cell.durationMs
  measures.recordFinish(nowMs)
}
