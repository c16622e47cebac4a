/** What a run of the bench measures, seen from outside the scheduler. */
import type { AttemptId, Manifest, Resources, SchedulerDecision } from '@fuchsiatally/core'
import { build, type Histogram } from 'hdr-histogram-js'
import type { JobArrival } from './arrivals.js'
import { computeCapacity, createBenchManifest, type BenchCell } from './benchCell.js'
import { computeVmBound } from './packingBound.js'
import { createShareAccounts, type ShareSample, type TeamResult } from './shareAccounts.js'

/** Class of work by which waiting time is reported. */
export type WorkClass = 'urgent' | 'batch' | 'gang' | 'service'

/** Waiting time of one class, in seconds. */
export interface WaitResult {
  readonly class: WorkClass
  readonly count: number
  /** Tasks that had not started when the run ended. */
  readonly unstarted: number
  readonly p50S: number
  readonly p99S: number
  readonly p999S: number
}

/** All figures of a run. */
export interface RunResult {
  readonly waits: readonly WaitResult[]
  /** Committed over capacity while work of that kind waits: processors of all VMs, accelerators. */
  readonly processorsCommitted: number
  readonly acceleratorsCommitted: number
  /** VMs in use over the vector-packing lower bound, mean over time. */
  readonly vmsOverBound: number
  readonly teams: readonly TeamResult[]
  /** Largest distance from its share of a team with enough demand. */
  readonly worstShare: number
  /** Useful core-hours of completed tasks; core-hours of work that was lost. */
  readonly goodputCoreH: number
  readonly wastedCoreH: number
  readonly starts: number
  readonly decisionsPerS: number
  /** Processor time of one decision, in microseconds. */
  readonly decisionP50Us: number
  readonly decisionP99Us: number
  /** Longest single call of the scheduler, in milliseconds. */
  readonly longestCallMs: number
  readonly bytesPerDecision: number
  readonly shareSamples: readonly ShareSample[]
}

/** Recorder of one run. */
export interface RunMeasures {
  readonly manifest: Manifest
  recordArrival: (arrival: JobArrival) => void
  recordCancel: (id: string) => void
  recordStart: (arrival: JobArrival, id: AttemptId, worker: string, nowMs: number, delayMs: number) => void
  recordEnd: (arrival: JobArrival, worker: string, result: string, ranMs: number, saved: boolean, nowMs: number) => void
  measureCall: (call: () => void) => void
  measureDecide: (call: () => SchedulerDecision[]) => SchedulerDecision[]
  updateSample: (nowMs: number) => void
  recordFinish: (nowMs: number) => void
  readResult: () => RunResult
}

const SAMPLE_MS = 20_000
const HEAP_SAMPLE_EVERY = 16
const CORE_MS_PER_HOUR = 3_600_000

/** Creates the recorder of a run. */
export function createRunMeasures (cell: BenchCell): RunMeasures {
  const capacity = computeCapacity(cell.workers)
  const shares = createShareAccounts(cell, capacity)
  const waits = new Map<WorkClass, Histogram>()
  const firstStarts = new Set<string>()
  const waitingTasks = new Map<string, { arrival: JobArrival, left: number }>()
  const byWorker = new Map<string, number>()
  const used = { processors: 0, memoryMb: 0, accelerators: 0 }
  const decisionTimes = build({ lowestDiscernibleValue: 1, highestTrackableValue: 10_000_000_000, numberOfSignificantValueDigits: 3 })
  let waitingPlain = 0
  let waitingAccelerated = 0
  const packing = { plain: 0, plainSamples: 0, accelerated: 0, acceleratedSamples: 0, vms: 0, vmSamples: 0 }
  let goodput = 0
  let wasted = 0
  let starts = 0
  let schedulerMs = 0
  let longestMs = 0
  let heapBytes = 0
  let heapDecisions = 0
  let decideCalls = 0
  let nextSampleMs = 0

  const updateUsed = (need: Resources, count: 1 | -1): void => {
    used.processors += need.processors * count
    used.memoryMb += need.memoryMb * count
    used.accelerators += need.accelerators * count
  }

  const updateWaiting = (arrival: JobArrival, count: number): void => {
    if (arrival.row.spec.resources.accelerators > 0) waitingAccelerated += count
    else waitingPlain += count
  }

  const getWaits = (arrival: JobArrival): Histogram => {
    const name = getClass(arrival)
    const found = waits.get(name)
    if (found) return found
    const created = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e9, numberOfSignificantValueDigits: 3 })
    waits.set(name, created)
    return created
  }

  const recordTime = (startMs: number): number => {
    const tookMs = performance.now() - startMs
    schedulerMs += tookMs
    longestMs = Math.max(longestMs, tookMs)
    return tookMs
  }

  const measureDecide = (call: () => SchedulerDecision[]): SchedulerDecision[] => {
    const sampled = decideCalls++ % HEAP_SAMPLE_EVERY === 0
    const heapBefore = sampled ? process.memoryUsage().heapUsed : 0
    const startMs = performance.now()
    const decisions = call()
    const tookMs = recordTime(startMs)
    const count = decisions.length
    if (count > 0) decisionTimes.recordValueWithCount(Math.max(1, Math.round(tookMs * 1e6 / count)), count)
    const grownBytes = sampled ? process.memoryUsage().heapUsed - heapBefore : 0
    // A collection within the call makes the sample useless.
    if (grownBytes > 0 && count > 0) {
      heapBytes += grownBytes
      heapDecisions += count
    }
    return decisions
  }

  const updateSample = (nowMs: number): void => {
    if (nowMs < nextSampleMs) return
    nextSampleMs = nowMs + SAMPLE_MS
    shares.updateSample(nowMs)
    if (waitingPlain > 0) {
      packing.plain += used.processors / capacity.processors
      packing.plainSamples += 1
    }
    if (waitingAccelerated > 0 && capacity.accelerators > 0) {
      packing.accelerated += used.accelerators / capacity.accelerators
      packing.acceleratedSamples += 1
    }
    const bound = computeVmBound(cell.workers, used)
    if (bound === 0) return
    packing.vms += byWorker.size / bound
    packing.vmSamples += 1
  }

  const listWaits = (): WaitResult[] => {
    const results: WaitResult[] = []
    for (const name of ['urgent', 'batch', 'gang', 'service'] as const) {
      const histogram = waits.get(name)
      if (!histogram) continue
      let unstarted = 0
      for (const { arrival, left } of waitingTasks.values()) unstarted += getClass(arrival) === name ? left : 0
      const read = (percent: number): number => histogram.getValueAtPercentile(percent) / 1000
      results.push({ class: name, count: histogram.totalCount, unstarted, p50S: read(50), p99S: read(99), p999S: read(99.9) })
    }
    return results
  }

  return {
    manifest: createBenchManifest(cell),
    recordArrival: (arrival) => {
      waitingTasks.set(arrival.id, { arrival, left: arrival.runMs.length })
      updateWaiting(arrival, arrival.runMs.length)
      getWaits(arrival)
      shares.recordArrival(arrival)
    },
    recordCancel: (id) => {
      const waiting = waitingTasks.get(id)
      if (!waiting) return
      updateWaiting(waiting.arrival, -waiting.left)
      shares.recordCancel(waiting.arrival, waiting.left)
      waitingTasks.delete(id)
    },
    recordStart: (arrival, id, worker, nowMs, delayMs) => {
      starts += 1
      updateUsed(arrival.row.spec.resources, 1)
      byWorker.set(worker, (byWorker.get(worker) ?? 0) + 1)
      shares.recordRunning(arrival, 1, nowMs)
      const key = `${id.job}/${id.task}`
      if (firstStarts.has(key)) return
      firstStarts.add(key)
      getWaits(arrival).recordValue(Math.max(1, Math.round(nowMs + delayMs - arrival.atMs)))
      const waiting = waitingTasks.get(arrival.id)
      if (!waiting) return
      waiting.left -= 1
      updateWaiting(arrival, -1)
      if (waiting.left === 0) waitingTasks.delete(arrival.id)
    },
    recordEnd: (arrival, worker, result, ranMs, saved, nowMs) => {
      const { resources } = arrival.row.spec
      const left = byWorker.get(worker)! - 1
      if (left === 0) byWorker.delete(worker)
      else byWorker.set(worker, left)
      updateUsed(resources, -1)
      shares.recordRunning(arrival, -1, nowMs)
      const work = resources.processors * Math.max(0, ranMs) / CORE_MS_PER_HOUR
      if (result === 'completed' || saved) goodput += work
      else wasted += work
    },
    measureCall: (call) => {
      const startMs = performance.now()
      call()
      recordTime(startMs)
    },
    measureDecide,
    updateSample,
    recordFinish: (nowMs) => shares.updateSample(nowMs),
    readResult: () => ({
      waits: listWaits(),
      processorsCommitted: packing.plain / packing.plainSamples,
      acceleratorsCommitted: packing.accelerated / packing.acceleratedSamples,
      vmsOverBound: packing.vms / packing.vmSamples,
      teams: shares.listTeams(),
      worstShare: shares.computeWorst(),
      goodputCoreH: goodput,
      wastedCoreH: wasted,
      starts,
      decisionsPerS: starts / schedulerMs * 1000,
      decisionP50Us: decisionTimes.getValueAtPercentile(50) / 1000,
      decisionP99Us: decisionTimes.getValueAtPercentile(99) / 1000,
      longestCallMs: longestMs,
      bytesPerDecision: heapBytes / heapDecisions,
      shareSamples: shares.listSamples()
    })
  }
}

function getClass (arrival: JobArrival): WorkClass {
  const { kind, priority } = arrival.row.spec
  return priority === 'urgent' ? 'urgent' : kind
}
