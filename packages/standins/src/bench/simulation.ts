/** Discrete-event simulation of workers that start, run, fail and stop tasks in virtual time. */
import type { AttemptId, EndedTask, SchedulerDecision } from '@fuchsiatally/core'
import type { JobArrival } from './arrivals.js'
import { createEventQueue } from './eventQueue.js'
import type { FaultPlan } from './faultPlan.js'
import type { SimulationMetrics } from './simulationMetrics.js'
import type { BenchScheduler } from './benchScheduler.js'
import type { BenchCell } from './benchCell.js'

type SimulationEvent =
  | { kind: 'arrive', arrival: JobArrival }
  | { kind: 'cancel', id: string }
  | { kind: 'started', run: TaskRun }
  | { kind: 'ended', run: TaskRun, result: EndedTask['result'] }
  | { kind: 'workerLost', worker: string }
  | { kind: 'uncordon', worker: string }
  | { kind: 'cordon', worker: string }
  | { kind: 'tick' }

/** One attempt of a task on a worker. */
interface TaskRun {
  readonly id: AttemptId
  readonly worker: string
  readonly arrival: JobArrival
  startedMs: number
  hasEnded: boolean
}

export interface SimulationOptions {
  readonly cell: BenchCell
  readonly scheduler: BenchScheduler
  readonly arrivals: readonly JobArrival[]
  readonly faults: FaultPlan
  readonly metrics: SimulationMetrics
  /** Wall-clock time at the start of the simulation. */
  readonly startWallMs: number
}

/** Time to commit an assignment and start the task on the worker. */
const START_LATENCY_MS = 120
const STOP_LATENCY_MS = 100
const CHECKPOINT_LATENCY_MS = 600
const FAULTY_WORKER_RUN_MS = 2000
/** Minimum time between two decision rounds; events within it are applied together. */
const DECISION_INTERVAL_MS = 50
const TICK_INTERVAL_MS = 500
const MAX_DECISIONS_PER_ROUND = 4000
const FAILING_TASK_RUN_MS = 5000

/** Simulates the cell for its whole duration. */
export function runSimulation (options: SimulationOptions): void {
  const { cell, scheduler, faults, metrics } = options
  const queue = createEventQueue<SimulationEvent>()
  const runs = new Map<string, TaskRun>()
  const runsByWorker = new Map<string, Set<TaskRun>>()
  const remainingMsByTask = new Map<string, number>()
  const arrivals = new Map(options.arrivals.map((arrival) => [arrival.id, arrival]))
  const delayedReports: { run: TaskRun, result: EndedTask['result'] }[] = []
  let nowMs = 0

  const isOutage = (): boolean => nowMs >= faults.outageStartMs && nowMs < faults.outageEndMs

  const formatTaskKey = (id: AttemptId): string => `${id.job}/${id.task}`

  const sendEndReport = (run: TaskRun, result: EndedTask['result']): void => {
    const ranMs = nowMs - run.startedMs
    metrics.measureCall(() => scheduler.recordEnded({ id: run.id, result, ranMs }, run.worker, nowMs))
  }

  const endRun = (run: TaskRun, result: EndedTask['result'] | 'lost'): void => {
    if (run.hasEnded) return
    run.hasEnded = true
    const key = formatTaskKey(run.id)
    runs.delete(key)
    runsByWorker.get(run.worker)!.delete(run)
    const ranMs = nowMs - run.startedMs
    const isCheckpointed = result === 'stopped' && run.arrival.row.spec.checkpointable
    if (isCheckpointed) remainingMsByTask.set(key, Math.max(1, (remainingMsByTask.get(key) ?? 0) - ranMs))
    metrics.recordEnd(run.arrival, run.worker, result, ranMs, isCheckpointed, nowMs)
    if (result === 'lost') return
    if (isOutage()) delayedReports.push({ run, result })
    else sendEndReport(run, result)
  }

  const startRun = (decision: Extract<SchedulerDecision, { kind: 'start' }>): void => {
    const { id, worker } = decision
    const arrival = arrivals.get(id.job)!
    const run: TaskRun = { id, worker, arrival, startedMs: nowMs + START_LATENCY_MS, hasEnded: false }
    const key = formatTaskKey(id)
    runs.set(key, run)
    const workerRuns = runsByWorker.get(worker) ?? new Set()
    runsByWorker.set(worker, workerRuns.add(run))
    if (!remainingMsByTask.has(key)) remainingMsByTask.set(key, arrival.runMs[id.task]!)
    metrics.recordStart(arrival, id, worker, nowMs, START_LATENCY_MS)
    queue.addEvent(nowMs + START_LATENCY_MS, { kind: 'started', run })
    const isFaultyWorker = faults.faultyWorkers.has(worker)
    const result = isFaultyWorker || arrival.alwaysFails ? 'failed' : 'completed'
    const runMs = isFaultyWorker ? FAULTY_WORKER_RUN_MS : arrival.alwaysFails ? FAILING_TASK_RUN_MS : remainingMsByTask.get(key)!
    queue.addEvent(nowMs + START_LATENCY_MS + runMs, { kind: 'ended', run, result })
  }

  const applyDecision = (decision: SchedulerDecision): void => {
    if (decision.kind === 'start') startRun(decision)
    if (decision.kind === 'jobEnded') scheduler.forgetJob(decision.job)
    if (decision.kind !== 'stop') return
    const run = runs.get(formatTaskKey(decision.id))
    const delayMs = decision.checkpoint ? CHECKPOINT_LATENCY_MS : STOP_LATENCY_MS
    if (run) queue.addEvent(nowMs + delayMs, { kind: 'ended', run, result: 'stopped' })
  }

  const handleWorkerLost = (worker: string): void => {
    for (const run of [...runsByWorker.get(worker) ?? []]) endRun(run, 'lost')
    metrics.measureCall(() => scheduler.recordWorkerLost(worker, nowMs))
  }

  const setSchedulable = (id: string, schedulable: boolean): void => {
    const worker = cell.workers.find((candidate) => candidate.id === id)!
    metrics.measureCall(() => scheduler.setWorker({ ...worker, schedulable }))
  }

  const applyEvent = (event: SimulationEvent): void => {
    switch (event.kind) {
      case 'arrive': {
        const { arrival } = event
        metrics.recordArrival(arrival)
        metrics.measureCall(() => scheduler.addJob(arrival.id, arrival.row, undefined, nowMs))
        return
      }
      case 'cancel': {
        metrics.recordCancel(event.id)
        metrics.measureCall(() => scheduler.cancelJob(event.id, nowMs))
        return
      }
      case 'started': {
        if (!event.run.hasEnded) metrics.measureCall(() => scheduler.recordStarted(event.run.id, event.run.worker, nowMs))
        return
      }
      case 'ended': return endRun(event.run, event.result)
      case 'workerLost': return handleWorkerLost(event.worker)
      case 'cordon': return setSchedulable(event.worker, false)
      case 'uncordon': return setSchedulable(event.worker, true)
      case 'tick': queue.addEvent(nowMs + TICK_INTERVAL_MS, event)
    }
  }

  const runDecisionRound = (): void => {
    if (isOutage()) return
    for (const { run, result } of delayedReports.splice(0)) sendEndReport(run, result)
    const decisions = metrics.measureDecide(() =>
      scheduler.decide(nowMs, options.startWallMs + nowMs, MAX_DECISIONS_PER_ROUND))
    for (const decision of decisions) applyDecision(decision)
  }

  scheduler.setManifest(options.metrics.manifest)
  for (const worker of cell.workers) scheduler.setWorker(worker)
  for (const arrival of options.arrivals) queue.addEvent(arrival.atMs, { kind: 'arrive', arrival })
  for (const { atMs, event } of faults.events) queue.addEvent(atMs, event)
  queue.addEvent(TICK_INTERVAL_MS, { kind: 'tick' })
  while (queue.readNextMs() <= cell.durationMs) {
    const roundEndMs = queue.readNextMs() + DECISION_INTERVAL_MS
    while (queue.readNextMs() < roundEndMs) {
      nowMs = queue.readNextMs()
      applyEvent(queue.takeNext()!)
    }
    nowMs = roundEndMs
    metrics.recordSample(nowMs)
    runDecisionRound()
  }
  nowMs = cell.durationMs
  metrics.recordFinish(nowMs)
}
