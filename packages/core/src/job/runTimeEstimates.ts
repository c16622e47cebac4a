/** Learns how far declared run times and sizes are off, for each team and workload. */
import type { Resources } from '../schema/resources.js'
import type { JobEntry } from './jobEntry.js'

/** What is known of one workload. */
export interface Workload {
  /** Completed attempts, capped. */
  samples: number
  /** Mean and mean deviation of the logarithm of actual over declared run time. */
  meanLog: number
  deviationLog: number
  /** Mean of used over declared, by component. */
  readonly usedPart: { processors: number, memoryMb: number, accelerators: number }
  usageSamples: number
}

/** Estimates by workload; bounded, so that one odd report cannot mislead for long. */
export interface RunTimeEstimates {
  recordRun: (job: JobEntry, ranMs: number) => void
  recordUsage: (job: JobEntry, used: Resources) => void
  /** Upper estimate of a task's whole run time, in milliseconds; `Infinity` for services. */
  estimateRunTime: (job: JobEntry) => number
  /** Mean part of the declared resources that tasks use; `undefined` before the first report. */
  estimateUse: (job: JobEntry) => Resources | undefined
}

const MAX_FACTOR_LOG = Math.log(20)
const MIN_SAMPLES = 3
const LEAST_GAIN = 1 / 16
/** Deviations above the mean that the upper estimate lies. */
const UPPER_DEVIATIONS = 1
const MAX_WORKLOADS = 5000

/** Creates estimates that know nothing and repeat what is declared. */
export function createRunTimeEstimates (): RunTimeEstimates {
  const workloads = new Map<string, Workload>()

  const getKey = (job: JobEntry): string => `${job.row.team}\n${job.row.spec.name}`

  const getWorkload = (job: JobEntry): Workload => {
    job.workload ??= findWorkload(getKey(job))
    return job.workload
  }

  const findWorkload = (key: string): Workload => {
    const found = workloads.get(key)
    if (found) return found
    if (workloads.size >= MAX_WORKLOADS) workloads.delete(workloads.keys().next().value!)
    const created = {
      samples: 0,
      meanLog: 0,
      deviationLog: 0,
      usedPart: { processors: 0, memoryMb: 0, accelerators: 0 },
      usageSamples: 0
    }
    workloads.set(key, created)
    return created
  }

  const recordRun = (job: JobEntry, ranMs: number): void => {
    const workload = getWorkload(job)
    const log = clampLog(Math.log(Math.max(1, ranMs) / job.row.spec.runTimeMs))
    workload.samples += 1
    const gain = Math.max(LEAST_GAIN, 1 / workload.samples)
    const difference = log - workload.meanLog
    workload.meanLog += gain * difference
    workload.deviationLog += gain * (Math.abs(difference) - workload.deviationLog)
  }

  const recordUsage = (job: JobEntry, used: Resources): void => {
    const workload = getWorkload(job)
    const declared = job.row.spec.resources
    workload.usageSamples += 1
    const gain = Math.max(LEAST_GAIN, 1 / workload.usageSamples)
    for (const component of ['processors', 'memoryMb', 'accelerators'] as const) {
      if (declared[component] === 0) continue
      const part = Math.min(20, used[component] / declared[component])
      workload.usedPart[component] += gain * (part - workload.usedPart[component])
    }
  }

  const estimateRunTime = (job: JobEntry): number => {
    const { kind, runTimeMs } = job.row.spec
    if (kind === 'service') return Infinity
    const workload = getWorkload(job)
    if (workload.samples < MIN_SAMPLES) return runTimeMs
    return runTimeMs * Math.exp(clampLog(workload.meanLog + UPPER_DEVIATIONS * workload.deviationLog))
  }

  const estimateUse = (job: JobEntry): Resources | undefined => {
    const workload = getWorkload(job)
    return workload.usageSamples > 0 ? { ...workload.usedPart } : undefined
  }

  return { recordRun, recordUsage, estimateRunTime, estimateUse }
}

function clampLog (log: number): number {
  return Math.max(-MAX_FACTOR_LOG, Math.min(MAX_FACTOR_LOG, log))
}
