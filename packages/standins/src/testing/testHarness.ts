/** Test harness: a small cluster of real processes with load, jobs and invariant checks. */
import { setTimeout as wait } from 'node:timers/promises'
import { createSystemRandom } from '@fuchsiatally/core/testing/systemClock'
import { createApiClient } from '../apiClient.js'
import { type Cluster, startCluster, waitFor } from '../cluster.js'
import { createDeployment } from '../deployment.js'
import { type Load, type LoadOptions, startLoad } from '../loadGenerator.js'
import { listViolations, type Violation } from '../monitor.js'
import { readMonotonicMs } from '../processClock.js'
import { createRecorder, type Recorder } from '../recorder.js'
import type { RequestRecord } from '../records.js'

export interface TestHarness {
  readonly cluster: Cluster
  readonly recorder: Recorder
  /** Starts a load in addition to the running ones; `checkInvariants` stops them all. */
  readonly startLoad: (options?: Partial<LoadOptions>) => Load
  /** Submits a job to a ready entry; retries with the same id, which is idempotent, until it is accepted. */
  readonly submitJob: (kind: 'batch' | 'gang', taskCount: number, runMs: number) => Promise<string>
  /** Stops all loads, waits for the jobs, and returns new violations of invariants and the jobs that did not complete. */
  readonly checkInvariants: () => Promise<{ readonly violations: readonly Violation[], readonly unfinished: readonly string[] }>
  /** Requests sent at or after a time of the host's monotonic clock. */
  readonly listRequestsSince: (sinceMs: number) => RequestRecord[]
  readonly stop: () => Promise<string[]>
}

const GIB_MB = 1024
const JOBS_TIMEOUT_MS = 45_000
const ACCEPT_TIMEOUT_MS = 20_000
const TEAM = 'red'

/** Starts four entries and six workers in two failure domains; all connections of the entries go through relays. */
export async function startTestHarness (): Promise<TestHarness> {
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
  const activeLoads = new Set<Load>()
  const reported = new Set<string>()
  const key = deployment.keys.get(TEAM)!.key

  const submitJob: TestHarness['submitJob'] = async (kind, taskCount, runMs) => {
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
      const entry = recorder.listReadyEntries()[0]
      if (entry === undefined) return false
      const response = await createApiClient(entry.httpAddress, key).submitJob(localId, spec).catch(() => undefined)
      if (response?.status === 202) id = response.value.id
      return id !== ''
    }, ACCEPT_TIMEOUT_MS)
    recorder.addJob({ job: id, team: TEAM, kind, taskCount }, key)
    return id
  }

  return {
    cluster,
    recorder,
    submitJob,
    startLoad: (options = {}) => {
      const load = startLoad({ cluster, recorder, random, requestsPerS: 30, ...options })
      activeLoads.add(load)
      return load
    },
    checkInvariants: async () => {
      for (const load of activeLoads) await load.stop()
      activeLoads.clear()
      await waitFor(recorder.updateJobs, JOBS_TIMEOUT_MS)
      const { history } = await recorder.buildHistory()
      const unfinished = history.jobs.filter((job) => job.phase !== 'completed').map((job) => `${job.job} ${job.phase}`)
      const violations = listViolations(history).filter((violation) => !reported.has(violation.detail))
      for (const violation of violations) reported.add(violation.detail)
      return { violations, unfinished }
    },
    listRequestsSince: (sinceMs) => recorder.requests.filter((request) => request.sentAtMs >= sinceMs),
    stop: async () => {
      recorder.stop()
      return await cluster.stop()
    }
  }
}

/** Waits while the cluster runs, and returns the time at which the wait started on the host's monotonic clock. */
export async function waitUnderLoad (ms: number): Promise<number> {
  const sinceMs = readMonotonicMs()
  await wait(ms)
  return sinceMs
}

export function countOutcomes (requests: readonly RequestRecord[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const request of requests) counts[request.outcome] = (counts[request.outcome] ?? 0) + 1
  return counts
}
