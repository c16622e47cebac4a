/** Jobs at one entry: the scheduler role while it is held, and its messages. */
import {
  createDisposableStore,
  type CellScheduler, type CellSchedulerOptions, type Clock, type Disposable, type EventLog, type Random, type SchedulerQuery, type TeamShare, type Vm,
  type WorkerDesired, type WorkerObserved
} from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import type { ConfigStore, PeerMesh, Sessions } from '../ports.js'
import { createCellRole, type HeldRole } from './cellRole.js'
import { QUERY_TIMEOUT_MS } from './constants.js'
import { createSchedulerTask, type SchedulerTask } from './schedulerTask.js'

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
  /** Delivers a desired set to the workers that this entry owns. */
  readonly handleDesired: (message: WorkerDesired, from: string) => void
  readonly isLeaving: () => boolean
}

/** Jobs at one entry. */
export interface JobService extends Disposable {
  /** Incarnation that holds the scheduler role, or `null`. */
  findScheduler: () => string | null
  readCellEpoch: () => number
  /** Takes a report of a worker that this entry owns while it is the scheduler. */
  recordObserved: (message: WorkerObserved, owner: string) => void
  /** Tells the scheduler that rows of jobs changed. */
  sendJobsChanged: () => void
  /** JSON text of the scheduler's answer, or `null` if nobody knows. */
  readFromScheduler: (query: SchedulerQuery['query'], job: string) => Promise<string | null>
  /** Shares if this entry is the scheduler. */
  listTeamShares: () => readonly TeamShare[]
  /** Gives the role up in a planned stop. */
  release: () => Promise<void>
}

/** Starts the job service. */
export function createJobService (options: JobServiceOptions): JobService {
  const { mesh, sessions, clock } = options
  const disposables = createDisposableStore()
  const waiting = new Map<string, (json: string | null) => void>()
  const role = disposables.add(createCellRole(options))
  let task: SchedulerTask | null = null

  const sendDesired = (incarnation: string, message: WorkerDesired): void => {
    if (incarnation === sessions.incarnation) options.handleDesired(message, incarnation)
    else mesh.sendMessage(incarnation, message)
  }

  const startTerm = (held: HeldRole): SchedulerTask => createSchedulerTask({
    ...options,
    role: held,
    sendDesired,
    isLinked: (incarnation) => incarnation === sessions.incarnation || mesh.listPeers().some((peer) => peer.incarnation === incarnation),
    onDeposed: () => {
      stopTerm()
      restartTerm(held).catch(() => {})
    }
  })

  /** A conflict without a new holder means that another writer changed a row: the term begins again from the table. */
  const restartTerm = async (before: HeldRole): Promise<void> => {
    await role.verify()
    const held = role.readHeld()
    if (task === null && held?.epoch === before.epoch) task = startTerm(held)
  }

  const stopTerm = (): void => {
    task?.dispose()
    task = null
  }

  const answerQuery = (query: SchedulerQuery['query'], job: string): string | null => {
    const scheduler = task?.readScheduler() ?? null
    if (scheduler === null) return null
    if (query === 'listTeamShares') return JSON.stringify(scheduler.listTeamShares(clock.wallMs()))
    const explanation = scheduler.explainJob(job, clock.nowMs())
    return explanation === undefined ? null : JSON.stringify(explanation)
  }

  const sendQuery = (scheduler: string, query: SchedulerQuery['query'], job: string): Promise<string | null> => {
    const exchange = options.random.nextId()
    return new Promise((resolve) => {
      const finish = (json: string | null): void => {
        waiting.delete(exchange)
        timer.dispose()
        resolve(json)
      }
      const timer = clock.setTimer(QUERY_TIMEOUT_MS, () => { finish(null) })
      waiting.set(exchange, finish)
      if (!mesh.sendMessage(scheduler, { type: 'schedulerQuery', exchange, query, job })) finish(null)
    })
  }

  role.onChange((held) => {
    stopTerm()
    if (held !== null) task = startTerm(held)
  })
  mesh.onMessage('workerObserved', (message, from) => { task?.recordObserved(message, from.incarnation) })
  mesh.onMessage('jobsChanged', () => { task?.recordJobsChanged() })
  mesh.onMessage('schedulerQuery', (message, from) => {
    const json = answerQuery(message.query, message.job)
    mesh.sendMessage(from.incarnation, { type: 'schedulerAnswer', exchange: message.exchange, json })
  })
  mesh.onMessage('schedulerAnswer', (message) => { waiting.get(message.exchange)?.(message.json) })

  return {
    findScheduler: role.findScheduler,
    readCellEpoch: role.readCellEpoch,
    recordObserved: (message, owner) => { task?.recordObserved(message, owner) },
    sendJobsChanged: () => {
      const scheduler = role.findScheduler()
      if (scheduler === sessions.incarnation) task?.recordJobsChanged()
      else if (scheduler !== null) mesh.sendMessage(scheduler, { type: 'jobsChanged' })
    },
    readFromScheduler: async (query, job) => {
      const scheduler = role.findScheduler()
      if (scheduler === null) return null
      if (scheduler === sessions.incarnation) return answerQuery(query, job)
      return await sendQuery(scheduler, query, job)
    },
    listTeamShares: () => task?.readScheduler()?.listTeamShares(clock.wallMs()) ?? [],
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
