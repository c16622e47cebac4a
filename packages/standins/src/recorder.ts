/** Gathers what happens in a running cluster into a history for the monitor. */
import { type ApiClient, createApiClient, type JobAnswer } from './apiClient.js'
import { type Cluster, isReady } from './cluster.js'
import type { EntryProcess } from './entryProcess.js'
import type { History, JobRecord, Mark } from './history.js'
import { readMachineMs } from './processClock.js'
import type { ConfigSighting, RequestRecord, WorkerRecords } from './records.js'

/** Lists of a name and the time at which it was marked. */
export type MarkKind = 'revocations' | 'leavings' | 'plannedStops'

export interface Recorder {
  readonly addRequest: (request: RequestRecord) => void
  readonly addJob: (job: Omit<JobRecord, 'phase'>, key: string) => void
  readonly addMark: (kind: MarkKind, name: string) => void
  readonly addLostWorker: (worker: string) => void
  readonly addAcceptedConfig: (version: number) => void
  readonly requests: readonly RequestRecord[]
  readonly jobs: ReadonlyMap<string, JobRecord>
  /** Entries that take callers, as the platform's balancer sees them. */
  readonly listReady: () => readonly EntryProcess[]
  /** Asks for the phase of every job that has not ended; `true` if none is left. */
  readonly updateJobs: () => Promise<boolean>
  /** Collects the workers' records and puts the history together. */
  readonly buildHistory: () => Promise<{ readonly history: History, readonly records: WorkerRecords }>
  readonly stop: () => void
}

const POLL_MS = 400
const ENDED_PHASES = new Set(['completed', 'failed', 'cancelled'])

/** Starts watching the cluster's entries. */
export function createRecorder (cluster: Cluster): Recorder {
  const requests: RequestRecord[] = []
  const jobs = new Map<string, JobRecord>()
  const jobKeys = new Map<string, string>()
  const marks: Record<MarkKind, Mark[]> = { revocations: [], leavings: [], plannedStops: [] }
  const lostWorkers: string[] = []
  const acceptedConfigs: Array<{ version: number, atMs: number }> = []
  const configSightings: ConfigSighting[] = []
  let ready: readonly EntryProcess[] = [...cluster.entries]

  const recordConfig = async (entry: EntryProcess): Promise<void> => {
    // The time before the call: the version of the answer was in force no earlier.
    const atMs = readMachineMs()
    try {
      const status = await createApiClient(entry.httpAddress, cluster.operatorKey).readConfigStatus()
      const own = status.value.entries.find((seen) => seen.incarnation === entry.incarnation)
      if (own !== undefined) configSightings.push({ entry: entry.name, incarnation: entry.incarnation, version: own.version, atMs })
    } catch {
      // An entry that is stopped or killed gives no answer; there is nothing to record then.
    }
  }

  const pollEntries = async (): Promise<void> => {
    const states = await Promise.all(cluster.entries.map(async (entry) => ({ entry, isReady: await isReady(entry) })))
    ready = states.filter((state) => state.isReady).map((state) => state.entry)
    await Promise.all(ready.map(recordConfig))
  }

  let polling = false
  const timer = setInterval(() => {
    if (polling) return
    polling = true
    pollEntries().finally(() => { polling = false }).catch(() => {})
  }, POLL_MS)

  const readJob = async (id: string): Promise<JobAnswer | undefined> => {
    const entry = ready[0]
    if (entry === undefined) return undefined
    const client: ApiClient = createApiClient(entry.httpAddress, jobKeys.get(id) ?? '')
    const answer = await client.readJob(id).catch(() => undefined)
    return answer?.status === 200 ? answer.value : undefined
  }

  const updateJobs = async (): Promise<boolean> => {
    let hasOpen = false
    for (const [id, job] of jobs) {
      if (ENDED_PHASES.has(job.phase)) continue
      const phase = (await readJob(id))?.phase ?? job.phase
      jobs.set(id, { ...job, phase })
      hasOpen ||= !ENDED_PHASES.has(phase)
    }
    return !hasOpen
  }

  return {
    requests,
    jobs,
    addRequest: (request) => { requests.push(request) },
    addJob: (job, key) => {
      jobs.set(job.job, { ...job, phase: 'queued' })
      jobKeys.set(job.job, key)
    },
    addMark: (kind, name) => { marks[kind].push({ name, atMs: readMachineMs() }) },
    addLostWorker: (worker) => { lostWorkers.push(worker) },
    addAcceptedConfig: (version) => { acceptedConfigs.push({ version, atMs: readMachineMs() }) },
    listReady: () => ready,
    updateJobs,
    buildHistory: async () => {
      const records = await cluster.readRecords()
      const history: History = {
        ...records,
        ...marks,
        capacities: new Map(cluster.deployment.workers.map((worker) => [worker.id, worker.resources])),
        ceilings: new Map(cluster.deployment.manifest.teams.map((team) => [team.name, team.ceiling])),
        requests,
        jobs: [...jobs.values()],
        lostWorkers,
        acceptedConfigs,
        configSightings
      }
      return { history, records }
    },
    stop: () => clearInterval(timer)
  }
}
