/** A small cluster of real processes for tests: load, jobs, and the monitor's judgement. */
import { setTimeout as wait } from 'node:timers/promises'
import { createSystemRandom } from '@fuchsiatally/core/testing/systemClock'
import { createApiClient } from '../apiClient.js'
import { type Cluster, startCluster, waitFor } from '../cluster.js'
import { createDeployment } from '../deployment.js'
import { type Load, type LoadOptions, startLoad } from '../load.js'
import { listViolations, type Violation } from '../monitor.js'
import { readMachineMs } from '../processClock.js'
import { createRecorder, type Recorder } from '../recorder.js'
import type { RequestRecord } from '../records.js'

export interface ProcessRun {
  readonly cluster: Cluster
  readonly recorder: Recorder
  /** Starts load beside what runs; `judge` ends it. */
  readonly startLoad: (options?: Partial<LoadOptions>) => Load
  /** Submits a job at a ready entry, again with the same id until it is accepted. */
  readonly submitJob: (kind: 'batch' | 'gang', taskCount: number, runMs: number) => Promise<string>
  /** Ends the load, waits for all jobs and lists promises broken since the last judgement and jobs that did not complete. */
  readonly judge: () => Promise<{ readonly violations: readonly Violation[], readonly open: readonly string[] }>
  /** Requests of the time since a moment of the machine's clock. */
  readonly listRequestsSince: (sinceMs: number) => RequestRecord[]
  readonly stop: () => Promise<string[]>
}

const GIB_MB = 1024
const JOBS_END_WITHIN_MS = 45_000
const ACCEPTED_WITHIN_MS = 20_000
const TEAM = 'red'

/** Starts four entries and six workers in two failure domains, with relays between all of them. */
export async function startProcessRun (): Promise<ProcessRun> {
  const deployment = createDeployment({
    cell: 'proc',
    domains: ['a', 'b'],
    entryCount: 4,
    pools: [{ name: 'std', count: 6, resources: { processors: 16, memoryMb: 64 * GIB_MB, accelerators: 0 }, service: 'echo' }],
    teams: [{ name: TEAM, share: 1 }, { name: 'blue', share: 2 }],
    requestCeiling: 20
  })
  const cluster = await startCluster({ deployment, relayed: true })
  const recorder = createRecorder(cluster)
  const random = createSystemRandom()
  const loads = new Set<Load>()
  const judged = new Set<string>()
  const key = deployment.keys.get(TEAM)!.key

  const submitJob: ProcessRun['submitJob'] = async (kind, taskCount, runMs) => {
    const localId = random.nextId()
    const spec = {
      name: 'test',
      kind,
      priority: 'normal',
      taskCount,
      resources: { processors: 2, memoryMb: 1024, accelerators: 0 },
      runTimeMs: runMs,
      maxRetries: 5,
      checkpointable: false,
      payload: JSON.stringify({ runMs })
    } as const
    let id = ''
    await waitFor(async () => {
      const entry = recorder.listReady()[0]
      if (entry === undefined) return false
      const answer = await createApiClient(entry.httpAddress, key).submitJob(localId, spec).catch(() => undefined)
      if (answer?.status === 202) id = answer.value.id
      return id !== ''
    }, ACCEPTED_WITHIN_MS)
    recorder.addJob({ job: id, team: TEAM, kind, taskCount }, key)
    return id
  }

  return {
    cluster,
    recorder,
    submitJob,
    startLoad: (options = {}) => {
      const load = startLoad({ cluster, recorder, random, perS: 30, ...options })
      loads.add(load)
      return load
    },
    judge: async () => {
      for (const load of loads) await load.stop()
      loads.clear()
      await waitFor(recorder.updateJobs, JOBS_END_WITHIN_MS)
      const { history } = await recorder.buildHistory()
      const open = history.jobs.filter((job) => job.phase !== 'completed').map((job) => `${job.job} ${job.phase}`)
      const violations = listViolations(history).filter((violation) => !judged.has(violation.detail))
      for (const violation of violations) judged.add(violation.detail)
      return { violations, open }
    },
    listRequestsSince: (sinceMs) => recorder.requests.filter((request) => request.sentAtMs >= sinceMs),
    stop: async () => {
      recorder.stop()
      return await cluster.stop()
    }
  }
}

/** Waits while load runs, and returns the moment at which the wait began. */
export async function passTime (ms: number): Promise<number> {
  const sinceMs = readMachineMs()
  await wait(ms)
  return sinceMs
}

/** Counts requests by outcome. */
export function countOutcomes (requests: readonly RequestRecord[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const request of requests) counts[request.outcome] = (counts[request.outcome] ?? 0) + 1
  return counts
}
