/** Job service of one entry: runs the scheduler while the entry holds the role, and exchanges messages with the scheduler otherwise. */
import {
  createDisposableStore,
  type CellScheduler, type CellSchedulerOptions, type Clock, type Disposable, type EventLog, type Random, type SchedulerQuery, type TeamShare, type Vm,
  type WorkerDesired, type WorkerObserved
} from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import type { ConfigStore, PeerMesh, Sessions } from '../ports.js'
import { createSchedulerRole, type HeldRole } from './schedulerRole.js'
import { QUERY_TIMEOUT_MS } from './constants.js'
import { createSchedulerTerm, type SchedulerTerm } from './schedulerTerm.js'

/** Options of the job service. */
export interface JobServiceOptions {
  readonly cell: string
  readonly platform: PlatformClient
  readonly sessions: Sessions
  readonly mesh: PeerMesh
  readonly config: ConfigStore
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
  readonly createScheduler: (options: CellSchedulerOptions) => CellScheduler
  readonly listVms: () => readonly Vm[]
  /** Delivers a desired set to a worker that this entry owns. */
  readonly handleDesired: (message: WorkerDesired, from: string) => void
  readonly isShuttingDown: () => boolean
}

/** Job service of one entry. */
export interface JobService extends Disposable {
  /** Returns the incarnation that holds the scheduler role, or `null` if none is known. */
  findScheduler: () => string | null
  readCellEpoch: () => number
  /** Records a report of a worker that this entry owns; called while this entry is the scheduler. */
  recordObserved: (message: WorkerObserved, owner: string) => void
  /** Notifies the scheduler that job rows changed. */
  sendJobsChanged: () => void
  /** Returns the scheduler's response as JSON text, or `null` if no scheduler responds in time or it does not know the job. */
  readFromScheduler: (query: SchedulerQuery['query'], job: string) => Promise<string | null>
  /** Returns the teams' shares if this entry is the scheduler, else an empty list. */
  listTeamShares: () => readonly TeamShare[]
  /** Releases the scheduler role during graceful shutdown. */
  release: () => Promise<void>
}

/** Starts the job service. */
export function createJobService (options: JobServiceOptions): JobService {
  const { mesh, sessions, clock } = options
  const disposables = createDisposableStore()
  const pendingQueries = new Map<string, (json: string | null) => void>()
  const role = disposables.add(createSchedulerRole(options))
  let term: SchedulerTerm | null = null

  const sendDesired = (incarnation: string, message: WorkerDesired): void => {
    if (incarnation === sessions.incarnation) options.handleDesired(message, incarnation)
    else mesh.sendMessage(incarnation, message)
  }

  const startTerm = (held: HeldRole): SchedulerTerm => createSchedulerTerm({
    ...options,
    role: held,
    sendDesired,
    isLinked: (incarnation) => incarnation === sessions.incarnation || mesh.listPeers().some((peer) => peer.incarnation === incarnation),
    onCommitConflict: () => {
      stopTerm()
      restartTerm(held).catch(() => {})
    }
  })

  /** Restarts the term from the table if the role is still held after a commit conflict, which then means that another writer changed a row. */
  const restartTerm = async (before: HeldRole): Promise<void> => {
    await role.readRow()
    const held = role.readHeld()
    if (term === null && held?.epoch === before.epoch) term = startTerm(held)
  }

  const stopTerm = (): void => {
    term?.dispose()
    term = null
  }

  const answerQuery = (query: SchedulerQuery['query'], job: string): string | null => {
    const scheduler = term?.readScheduler() ?? null
    if (scheduler === null) return null
    if (query === 'listTeamShares') return JSON.stringify(scheduler.listTeamShares(clock.wallMs()))
    const explanation = scheduler.explainJob(job, clock.nowMs())
    return explanation === undefined ? null : JSON.stringify(explanation)
  }

  const sendQuery = (scheduler: string, query: SchedulerQuery['query'], job: string): Promise<string | null> => {
    const exchange = options.random.nextId()
    return new Promise((resolve) => {
      const finish = (json: string | null): void => {
        pendingQueries.delete(exchange)
        timer.dispose()
        resolve(json)
      }
      const timer = clock.setTimer(QUERY_TIMEOUT_MS, () => { finish(null) })
      pendingQueries.set(exchange, finish)
      if (!mesh.sendMessage(scheduler, { type: 'schedulerQuery', exchange, query, job })) finish(null)
    })
  }

  role.onChange((held) => {
    stopTerm()
    if (held !== null) term = startTerm(held)
  })
  mesh.onMessage('workerObserved', (message, from) => { term?.recordObserved(message, from.incarnation) })
  mesh.onMessage('jobsChanged', () => { term?.recordJobsChanged() })
  mesh.onMessage('schedulerQuery', (message, from) => {
    const json = answerQuery(message.query, message.job)
    mesh.sendMessage(from.incarnation, { type: 'schedulerAnswer', exchange: message.exchange, json })
  })
  mesh.onMessage('schedulerAnswer', (message) => { pendingQueries.get(message.exchange)?.(message.json) })

  return {
    findScheduler: role.findScheduler,
    readCellEpoch: role.readCellEpoch,
    recordObserved: (message, owner) => { term?.recordObserved(message, owner) },
    sendJobsChanged: () => {
      const scheduler = role.findScheduler()
      if (scheduler === sessions.incarnation) term?.recordJobsChanged()
      else if (scheduler !== null) mesh.sendMessage(scheduler, { type: 'jobsChanged' })
    },
    readFromScheduler: async (query, job) => {
      const scheduler = role.findScheduler()
      if (scheduler === null) return null
      if (scheduler === sessions.incarnation) return answerQuery(query, job)
      return await sendQuery(scheduler, query, job)
    },
    listTeamShares: () => term?.readScheduler()?.listTeamShares(clock.wallMs()) ?? [],
    release: async () => {
      stopTerm()
      await role.release()
    },
    dispose: () => {
      stopTerm()
      disposables.dispose()
    }
  }
}
