/** Estimates run times and resource usage by team and workload name, from how past attempts compared with their declared values. */
import type { Resources } from '../schema/resources.js'
import type { JobEntry } from './jobEntry.js'

/** Statistics of one workload. */
export interface WorkloadStatistics {
  /** Number of completed attempts. */
  samples: number
  /** Mean and mean deviation of the logarithm of actual over declared run time. */
  meanLog: number
  deviationLog: number
  /** Mean ratio of used to declared resources, by component. */
  readonly usedFraction: { processors: number, memoryMb: number, accelerators: number }
  usageSamples: number
}

/** Estimates by workload; samples are clamped, so that one outlier has a bounded effect. */
export interface RunTimeEstimates {
  recordRun: (job: JobEntry, ranMs: number) => void
  recordUsage: (job: JobEntry, used: Resources) => void
  /** Upper estimate of a task's whole run time, in milliseconds; `Infinity` for services. */
  estimateRunTime: (job: JobEntry) => number
  /** Mean ratio of used to declared resources; `undefined` before the first report. */
  estimateUsage: (job: JobEntry) => Resources | undefined
}

const MAX_LOG_RATIO = Math.log(20)
/** Completed attempts from which on the estimate replaces the declared run time. */
const MIN_SAMPLES = 3
/** Smallest weight of a new sample in the moving means. */
const MIN_GAIN = 1 / 16
/** Mean deviations by which the upper estimate exceeds the mean. */
const UPPER_DEVIATIONS = 1
const MAX_WORKLOADS = 5000

/** Creates estimates without samples, which return declared values. */
export function createRunTimeEstimates (): RunTimeEstimates {
  const workloads = new Map<string, WorkloadStatistics>()

  const getKey = (job: JobEntry): string => `${job.row.team}\n${job.row.spec.name}`

  const getWorkload = (job: JobEntry): WorkloadStatistics => {
    job.workloadStatistics ??= findWorkload(getKey(job))
    return job.workloadStatistics
  }

  const findWorkload = (key: string): WorkloadStatistics => {
    const found = workloads.get(key)
    if (found) return found
    if (workloads.size >= MAX_WORKLOADS) workloads.delete(workloads.keys().next().value!)
    const created = {
      samples: 0,
      meanLog: 0,
      deviationLog: 0,
      usedFraction: { processors: 0, memoryMb: 0, accelerators: 0 },
      usageSamples: 0
    }
    workloads.set(key, created)
    return created
  }

  const recordRun = (job: JobEntry, ranMs: number): void => {
    const workload = getWorkload(job)
    const logRatio = clampLogRatio(Math.log(Math.max(1, ranMs) / job.row.spec.runTimeMs))
    workload.samples += 1
    const gain = Math.max(MIN_GAIN, 1 / workload.samples)
    const difference = logRatio - workload.meanLog
    workload.meanLog += gain * difference
    workload.deviationLog += gain * (Math.abs(difference) - workload.deviationLog)
  }

  const recordUsage = (job: JobEntry, used: Resources): void => {
    const workload = getWorkload(job)
    const declared = job.row.spec.resources
    workload.usageSamples += 1
    const gain = Math.max(MIN_GAIN, 1 / workload.usageSamples)
    for (const component of ['processors', 'memoryMb', 'accelerators'] as const) {
      if (declared[component] === 0) continue
      const fraction = Math.min(20, used[component] / declared[component])
      workload.usedFraction[component] += gain * (fraction - workload.usedFraction[component])
    }
  }

  const estimateRunTime = (job: JobEntry): number => {
    const { kind, runTimeMs } = job.row.spec
    if (kind === 'service') return Infinity
    const workload = getWorkload(job)
    if (workload.samples < MIN_SAMPLES) return runTimeMs
    return runTimeMs * Math.exp(clampLogRatio(workload.meanLog + UPPER_DEVIATIONS * workload.deviationLog))
  }

  const estimateUsage = (job: JobEntry): Resources | undefined => {
    const workload = getWorkload(job)
    return workload.usageSamples > 0 ? { ...workload.usedFraction } : undefined
  }

  return { recordRun, recordUsage, estimateRunTime, estimateUsage }
}

function clampLogRatio (log: number): number {
  return Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, log))
}
