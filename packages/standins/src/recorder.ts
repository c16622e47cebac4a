/** Records the events of a running cluster and builds the history that the monitor checks. */
import { type ApiClient, createApiClient, type JobResponse } from './apiClient.js'
import { type Cluster, isReady } from './cluster.js'
import type { EntryProcess } from './entryProcess.js'
import type { History, JobRecord, TimedEvent } from './history.js'
import { readMonotonicMs } from './processClock.js'
import type { ConfigObservation, RequestRecord, WorkerRecords } from './records.js'

/** Kinds of timed events, named after their lists in the history. */
export type EventKind = 'revocations' | 'drains' | 'gracefulShutdowns'

export interface Recorder {
  readonly addRequest: (request: RequestRecord) => void
  readonly addJob: (job: Omit<JobRecord, 'phase'>, key: string) => void
  readonly addEvent: (kind: EventKind, name: string) => void
  readonly addLostWorker: (worker: string) => void
  readonly addAcceptedConfig: (version: number) => void
  readonly requests: readonly RequestRecord[]
  readonly jobs: ReadonlyMap<string, JobRecord>
  /** Entries whose readiness probe succeeded, to which the platform's load balancer would send traffic. */
  readonly listReadyEntries: () => readonly EntryProcess[]
  /** Refreshes the phase of every unfinished job; `true` if none is left. */
  readonly updateJobs: () => Promise<boolean>
  /** Collects the workers' records and builds the history. */
  readonly buildHistory: () => Promise<{ readonly history: History, readonly records: WorkerRecords }>
  readonly stop: () => void
}

const POLL_INTERVAL_MS = 400
const ENDED_PHASES = new Set(['completed', 'failed', 'cancelled'])

/** Creates a recorder and starts polling the cluster's entries. */
export function createRecorder (cluster: Cluster): Recorder {
  const requests: RequestRecord[] = []
  const jobs = new Map<string, JobRecord>()
  const jobKeys = new Map<string, string>()
  const events: Record<EventKind, TimedEvent[]> = { revocations: [], drains: [], gracefulShutdowns: [] }
  const lostWorkers: string[] = []
  const acceptedConfigs: Array<{ version: number, atMs: number }> = []
  const configObservations: ConfigObservation[] = []
  let readyEntries: readonly EntryProcess[] = [...cluster.entries]

  const recordConfigVersion = async (entry: EntryProcess): Promise<void> => {
    // Taken before the call, so that the duration of the call does not count towards the configuration's propagation time.
    const atMs = readMonotonicMs()
    try {
      const status = await createApiClient(entry.httpAddress, cluster.operatorKey).readConfigStatus()
      const ownStatus = status.value.entries.find((entryStatus) => entryStatus.incarnation === entry.incarnation)
      if (ownStatus !== undefined) configObservations.push({ entry: entry.name, incarnation: entry.incarnation, version: ownStatus.version, atMs })
    } catch {
      // A stopped or killed entry does not respond, and there is no version to record.
    }
  }

  const pollEntries = async (): Promise<void> => {
    const states = await Promise.all(cluster.entries.map(async (entry) => ({ entry, isReady: await isReady(entry) })))
    readyEntries = states.filter((state) => state.isReady).map((state) => state.entry)
    await Promise.all(readyEntries.map(recordConfigVersion))
  }

  let isPolling = false
  const timer = setInterval(() => {
    if (isPolling) return
    isPolling = true
    pollEntries().finally(() => { isPolling = false }).catch(() => {})
  }, POLL_INTERVAL_MS)

  const readJob = async (id: string): Promise<JobResponse | undefined> => {
    const entry = readyEntries[0]
    if (entry === undefined) return undefined
    const client: ApiClient = createApiClient(entry.httpAddress, jobKeys.get(id) ?? '')
    const response = await client.readJob(id).catch(() => undefined)
    return response?.status === 200 ? response.value : undefined
  }

  const updateJobs = async (): Promise<boolean> => {
    let hasUnfinished = false
    for (const [id, job] of jobs) {
      if (ENDED_PHASES.has(job.phase)) continue
      const phase = (await readJob(id))?.phase ?? job.phase
      jobs.set(id, { ...job, phase })
      hasUnfinished ||= !ENDED_PHASES.has(phase)
    }
    return !hasUnfinished
  }

  return {
    requests,
    jobs,
    addRequest: (request) => { requests.push(request) },
    addJob: (job, key) => {
      jobs.set(job.job, { ...job, phase: 'queued' })
      jobKeys.set(job.job, key)
    },
    addEvent: (kind, name) => { events[kind].push({ name, atMs: readMonotonicMs() }) },
    addLostWorker: (worker) => { lostWorkers.push(worker) },
    addAcceptedConfig: (version) => { acceptedConfigs.push({ version, atMs: readMonotonicMs() }) },
    listReadyEntries: () => readyEntries,
    updateJobs,
    buildHistory: async () => {
      const records = await cluster.readRecords()
      const history: History = {
        ...records,
        ...events,
        capacities: new Map(cluster.deployment.workers.map((worker) => [worker.id, worker.resources])),
        ceilings: new Map(cluster.deployment.manifest.teams.map((team) => [team.name, team.ceiling])),
        requests,
        jobs: [...jobs.values()],
        lostWorkers,
        acceptedConfigs,
        configObservations
      }
      return { history, records }
    },
    stop: () => clearInterval(timer)
  }
}
