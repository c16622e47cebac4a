/** Metrics of one benchmark simulation, collected outside the scheduler. */
import type { AttemptId, Manifest, Resources, SchedulerDecision } from '@fuchsiatally/core'
import { build, type Histogram } from 'hdr-histogram-js'
import type { JobArrival } from './arrivals.js'
import { computeCapacity, createBenchManifest, type BenchCell } from './benchCell.js'
import { computeVmBound } from './packingBound.js'
import { createShareTracker, type ShareSample, type TeamResult } from './shareTracker.js'

/** Class of tasks for which waiting time is reported. */
export type WorkClass = 'urgent' | 'batch' | 'gang' | 'service'

/** Waiting time of the tasks of one class, in seconds. */
export interface WaitResult {
  readonly class: WorkClass
  readonly count: number
  /** Tasks that had not started when the simulation ended. */
  readonly unstarted: number
  readonly p50S: number
  readonly p99S: number
  readonly p999S: number
}

/** Results of one simulation. */
export interface SimulationResult {
  readonly waits: readonly WaitResult[]
  /** Mean fraction of all processors that is allocated while tasks without accelerators wait. */
  readonly processorsCommitted: number
  /** Mean fraction of all accelerators that is allocated while tasks with accelerators wait. */
  readonly acceleratorsCommitted: number
  /** VMs in use divided by the vector-packing lower bound, mean over time. */
  readonly vmsOverBound: number
  readonly teams: readonly TeamResult[]
  /** Largest relative deviation from its entitlement among teams with enough demand. */
  readonly worstShare: number
  /** Core-hours of runs that completed or were checkpointed. */
  readonly goodputCoreH: number
  /** Core-hours of runs that ended in any other way. */
  readonly wastedCoreH: number
  readonly starts: number
  /** Task starts per second of time spent in the scheduler. */
  readonly decisionsPerS: number
  /** Time per decision, in microseconds. */
  readonly decisionP50Us: number
  readonly decisionP99Us: number
  /** Longest single call to the scheduler, in milliseconds. */
  readonly longestCallMs: number
  /** Mean heap allocation per decision, from a sample of the calls. */
  readonly bytesPerDecision: number
  readonly shareSamples: readonly ShareSample[]
}

/** Recorder of the metrics of one simulation. */
export interface SimulationMetrics {
  readonly manifest: Manifest
  recordArrival: (arrival: JobArrival) => void
  recordCancel: (id: string) => void
  recordStart: (arrival: JobArrival, id: AttemptId, worker: string, nowMs: number, delayMs: number) => void
  recordEnd: (arrival: JobArrival, worker: string, result: string, ranMs: number, isCheckpointed: boolean, nowMs: number) => void
  measureCall: (call: () => void) => void
  measureDecide: (call: () => SchedulerDecision[]) => SchedulerDecision[]
  recordSample: (nowMs: number) => void
  recordFinish: (nowMs: number) => void
  readResult: () => SimulationResult
}

const SAMPLE_INTERVAL_MS = 20_000
const CALLS_PER_HEAP_SAMPLE = 16
const MS_PER_HOUR = 3_600_000

export function createSimulationMetrics (cell: BenchCell): SimulationMetrics {
  const capacity = computeCapacity(cell.workers)
  const shares = createShareTracker(cell, capacity)
  const waitHistograms = new Map<WorkClass, Histogram>()
  const startedTasks = new Set<string>()
  const unstartedJobs = new Map<string, { arrival: JobArrival, unstartedTasks: number }>()
  const runCountByWorker = new Map<string, number>()
  const usage = { processors: 0, memoryMb: 0, accelerators: 0 }
  const decisionTimes = build({ lowestDiscernibleValue: 1, highestTrackableValue: 10_000_000_000, numberOfSignificantValueDigits: 3 })
  let waitingProcessorTasks = 0
  let waitingAcceleratorTasks = 0
  const utilization = { processorSum: 0, processorSamples: 0, acceleratorSum: 0, acceleratorSamples: 0, vmRatioSum: 0, vmSamples: 0 }
  let goodputCoreHours = 0
  let wastedCoreHours = 0
  let starts = 0
  let schedulerMs = 0
  let longestCallMs = 0
  let allocatedHeapBytes = 0
  let heapSampledDecisions = 0
  let decideCalls = 0
  let nextSampleMs = 0

  const updateUsage = (resources: Resources, sign: 1 | -1): void => {
    usage.processors += resources.processors * sign
    usage.memoryMb += resources.memoryMb * sign
    usage.accelerators += resources.accelerators * sign
  }

  const updateWaitingTasks = (arrival: JobArrival, count: number): void => {
    if (arrival.row.spec.resources.accelerators > 0) waitingAcceleratorTasks += count
    else waitingProcessorTasks += count
  }

  const getWaitHistogram = (arrival: JobArrival): Histogram => {
    const name = getWorkClass(arrival)
    const found = waitHistograms.get(name)
    if (found) return found
    const created = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e9, numberOfSignificantValueDigits: 3 })
    waitHistograms.set(name, created)
    return created
  }

  const recordCallTime = (startMs: number): number => {
    const elapsedMs = performance.now() - startMs
    schedulerMs += elapsedMs
    longestCallMs = Math.max(longestCallMs, elapsedMs)
    return elapsedMs
  }

  const measureDecide = (call: () => SchedulerDecision[]): SchedulerDecision[] => {
    const isHeapSampled = decideCalls++ % CALLS_PER_HEAP_SAMPLE === 0
    const heapBeforeBytes = isHeapSampled ? process.memoryUsage().heapUsed : 0
    const startMs = performance.now()
    const decisions = call()
    const elapsedMs = recordCallTime(startMs)
    const count = decisions.length
    if (count > 0) decisionTimes.recordValueWithCount(Math.max(1, Math.round(elapsedMs * 1e6 / count)), count)
    const allocatedBytes = isHeapSampled ? process.memoryUsage().heapUsed - heapBeforeBytes : 0
    // A garbage collection during the call invalidates the sample.
    if (allocatedBytes > 0 && count > 0) {
      allocatedHeapBytes += allocatedBytes
      heapSampledDecisions += count
    }
    return decisions
  }

  const recordSample = (nowMs: number): void => {
    if (nowMs < nextSampleMs) return
    nextSampleMs = nowMs + SAMPLE_INTERVAL_MS
    shares.recordSample(nowMs)
    if (waitingProcessorTasks > 0) {
      utilization.processorSum += usage.processors / capacity.processors
      utilization.processorSamples += 1
    }
    if (waitingAcceleratorTasks > 0 && capacity.accelerators > 0) {
      utilization.acceleratorSum += usage.accelerators / capacity.accelerators
      utilization.acceleratorSamples += 1
    }
    const bound = computeVmBound(cell.workers, usage)
    if (bound === 0) return
    utilization.vmRatioSum += runCountByWorker.size / bound
    utilization.vmSamples += 1
  }

  const listWaits = (): WaitResult[] => {
    const results: WaitResult[] = []
    for (const name of ['urgent', 'batch', 'gang', 'service'] as const) {
      const histogram = waitHistograms.get(name)
      if (!histogram) continue
      let unstarted = 0
      for (const { arrival, unstartedTasks } of unstartedJobs.values()) unstarted += getWorkClass(arrival) === name ? unstartedTasks : 0
      const readQuantileS = (percent: number): number => histogram.getValueAtPercentile(percent) / 1000
      results.push({ class: name, count: histogram.totalCount, unstarted, p50S: readQuantileS(50), p99S: readQuantileS(99), p999S: readQuantileS(99.9) })
    }
    return results
  }

  return {
    manifest: createBenchManifest(cell),
    recordArrival: (arrival) => {
      unstartedJobs.set(arrival.id, { arrival, unstartedTasks: arrival.runMs.length })
      updateWaitingTasks(arrival, arrival.runMs.length)
      getWaitHistogram(arrival)
      shares.recordArrival(arrival)
    },
    recordCancel: (id) => {
      const waiting = unstartedJobs.get(id)
      if (!waiting) return
      updateWaitingTasks(waiting.arrival, -waiting.unstartedTasks)
      shares.recordCancel(waiting.arrival, waiting.unstartedTasks)
      unstartedJobs.delete(id)
    },
    recordStart: (arrival, id, worker, nowMs, delayMs) => {
      starts += 1
      updateUsage(arrival.row.spec.resources, 1)
      runCountByWorker.set(worker, (runCountByWorker.get(worker) ?? 0) + 1)
      shares.recordRunning(arrival, 1, nowMs)
      const key = `${id.job}/${id.task}`
      if (startedTasks.has(key)) return
      startedTasks.add(key)
      getWaitHistogram(arrival).recordValue(Math.max(1, Math.round(nowMs + delayMs - arrival.atMs)))
      const waiting = unstartedJobs.get(arrival.id)
      if (!waiting) return
      waiting.unstartedTasks -= 1
      updateWaitingTasks(arrival, -1)
      if (waiting.unstartedTasks === 0) unstartedJobs.delete(arrival.id)
    },
    recordEnd: (arrival, worker, result, ranMs, isCheckpointed, nowMs) => {
      const { resources } = arrival.row.spec
      const remainingRuns = runCountByWorker.get(worker)! - 1
      if (remainingRuns === 0) runCountByWorker.delete(worker)
      else runCountByWorker.set(worker, remainingRuns)
      updateUsage(resources, -1)
      shares.recordRunning(arrival, -1, nowMs)
      const coreHours = resources.processors * Math.max(0, ranMs) / MS_PER_HOUR
      if (result === 'completed' || isCheckpointed) goodputCoreHours += coreHours
      else wastedCoreHours += coreHours
    },
    measureCall: (call) => {
      const startMs = performance.now()
      call()
      recordCallTime(startMs)
    },
    measureDecide,
    recordSample,
    recordFinish: (nowMs) => shares.recordSample(nowMs),
    readResult: () => ({
      waits: listWaits(),
      processorsCommitted: utilization.processorSum / utilization.processorSamples,
      acceleratorsCommitted: utilization.acceleratorSum / utilization.acceleratorSamples,
      vmsOverBound: utilization.vmRatioSum / utilization.vmSamples,
      teams: shares.listTeams(),
      worstShare: shares.computeWorstDeviation(),
      goodputCoreH: goodputCoreHours,
      wastedCoreH: wastedCoreHours,
      starts,
      decisionsPerS: starts / schedulerMs * 1000,
      decisionP50Us: decisionTimes.getValueAtPercentile(50) / 1000,
      decisionP99Us: decisionTimes.getValueAtPercentile(99) / 1000,
      longestCallMs,
      bytesPerDecision: allocatedHeapBytes / heapSampledDecisions,
      shareSamples: shares.listSamples()
    })
  }
}

function getWorkClass (arrival: JobArrival): WorkClass {
  const { kind, priority } = arrival.row.spec
  return priority === 'urgent' ? 'urgent' : kind
}
