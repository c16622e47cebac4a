/** Tracks, for each worker, the last report of its owner and the last desired set sent to it. */
import {
  formatAttempt, type AttemptId, type CellScheduler, type Clock, type DesiredTask, type UndesiredTask,
  type WorkerDesired, type WorkerObserved
} from '@fuchsiatally/core'
import { DESIRED_RESEND_INTERVAL_MS, REPORT_TIMEOUT_MS } from './constants.js'

/** Options of the worker tracker. */
export interface WorkerTrackerOptions {
  readonly clock: Clock
  readonly cellEpoch: number
  /**
   * Whether an incarnation is this process or a peer with a live link. Owners report unchanged workers only at long intervals, so a missing
   * report does not reveal in time that an owner is unreachable.
   */
  readonly isLinked: (incarnation: string) => boolean
  /** Whether an attempt must not be started yet. */
  readonly isHeld: (id: AttemptId) => boolean
  /** Sends a message to an incarnation, possibly this one. */
  readonly sendDesired: (incarnation: string, message: WorkerDesired) => void
}

/** Last report about one worker. */
export interface WorkerRecord {
  readonly worker: string
  readonly owner: string
  readonly observed: WorkerObserved
  readonly observedAtMs: number
}

/** Worker state known during one term of the role. */
export interface WorkerTracker {
  /** Records an owner's report; returns `false` if a later worker epoch supersedes it. */
  recordObserved: (message: WorkerObserved, owner: string) => boolean
  readRecord: (worker: string) => WorkerRecord | undefined
  /** Whether the worker's owner is linked and has recently reported the worker as reachable. */
  isReachable: (worker: string) => boolean
  /** Queues an ended attempt; it is acknowledged once a commit that starts after this call has finished. */
  addEnded: (worker: string, id: AttemptId) => void
  /** Called when a commit of everything recorded so far starts. */
  recordCommitStart: () => void
  /** Marks the worker's desired set as changed. */
  addDirty: (worker: string) => void
  /** Sends desired sets that changed or that their owners have not confirmed. Call only after a commit. */
  sendDirty: (scheduler: CellScheduler) => void
  /** Whether the owner has confirmed the last desired set and the set has not changed since. */
  isConfirmed: (worker: string) => boolean
  removeWorker: (worker: string) => void
}

interface TrackedWorker {
  record: WorkerRecord
  dirty: boolean
  /** Ended attempts that are not yet part of a commit. */
  pendingEnds: Map<string, AttemptId>
  /** Ended attempts that are durable once the commit in flight has finished. */
  committedEnds: Map<string, AttemptId>
  lastSent: { readonly sequence: number, readonly workerEpoch: number, readonly owner: string, readonly atMs: number } | null
}

/** Creates a tracker without workers. */
export function createWorkerTracker (options: WorkerTrackerOptions): WorkerTracker {
  const workers = new Map<string, TrackedWorker>()
  let sequence = 0

  const buildDesired = (tracked: TrackedWorker, scheduler: CellScheduler): WorkerDesired => {
    const { worker, observed } = tracked.record
    const desired = scheduler.listDesired(worker)
    sequence += 1
    const running = new Set(observed.running.map(formatAttempt))
    const run: DesiredTask[] = []
    const keep: AttemptId[] = []
    for (const { id, job } of desired.run) {
      if (running.has(formatAttempt(id))) keep.push(id)
      else run.push({ id, resources: job.spec.resources, payload: job.spec.payload, ...(options.isHeld(id) ? { held: true } : {}) })
    }
    const end: UndesiredTask[] = desired.end.map(({ id, checkpoint }) => ({ id, checkpoint }))
    return {
      type: 'workerDesired',
      cellEpoch: options.cellEpoch,
      sequence,
      worker,
      workerEpoch: observed.workerEpoch,
      run,
      keep,
      end,
      acknowledged: [...tracked.committedEnds.values()]
    }
  }

  const isConfirmed = (tracked: TrackedWorker): boolean => {
    const { observed, owner } = tracked.record
    const sent = tracked.lastSent
    if (sent === null) return false
    return sent.owner === owner && sent.workerEpoch === observed.workerEpoch &&
      observed.cellEpoch === options.cellEpoch && observed.desiredSequence >= sent.sequence
  }

  const sendDesiredSet = (tracked: TrackedWorker, scheduler: CellScheduler, nowMs: number): void => {
    const message = buildDesired(tracked, scheduler)
    tracked.dirty = false
    const { owner } = tracked.record
    tracked.lastSent = { sequence: message.sequence, workerEpoch: message.workerEpoch, owner, atMs: nowMs }
    options.sendDesired(owner, message)
  }

  return {
    recordObserved: (message, owner) => {
      const tracked = workers.get(message.worker)
      const record = { worker: message.worker, owner, observed: message, observedAtMs: options.clock.nowMs() }
      if (tracked === undefined) {
        workers.set(message.worker, { record, dirty: true, pendingEnds: new Map(), committedEnds: new Map(), lastSent: null })
        return true
      }
      if (message.workerEpoch < tracked.record.observed.workerEpoch) return false
      if (message.workerEpoch > tracked.record.observed.workerEpoch || owner !== tracked.record.owner) tracked.dirty = true
      tracked.record = record
      const reportedEnds = new Set(message.ended.map(({ id }) => formatAttempt(id)))
      for (const key of tracked.committedEnds.keys()) if (!reportedEnds.has(key)) tracked.committedEnds.delete(key)
      return true
    },
    readRecord: (worker) => workers.get(worker)?.record,
    isReachable: (worker) => {
      const record = workers.get(worker)?.record
      if (record === undefined || record.observed.state !== 'reachable') return false
      if (!options.isLinked(record.owner)) return false
      return options.clock.nowMs() - record.observedAtMs < REPORT_TIMEOUT_MS
    },
    addEnded: (worker, id) => {
      const tracked = workers.get(worker)
      const key = formatAttempt(id)
      if (tracked === undefined || tracked.pendingEnds.has(key) || tracked.committedEnds.has(key)) return
      tracked.pendingEnds.set(key, id)
    },
    recordCommitStart: () => {
      for (const tracked of workers.values()) {
        if (tracked.pendingEnds.size === 0) continue
        for (const [key, id] of tracked.pendingEnds) tracked.committedEnds.set(key, id)
        tracked.pendingEnds.clear()
        tracked.dirty = true
      }
    },
    addDirty: (worker) => {
      const tracked = workers.get(worker)
      if (tracked !== undefined) tracked.dirty = true
    },
    sendDirty: (scheduler) => {
      const nowMs = options.clock.nowMs()
      for (const tracked of workers.values()) {
        if (!tracked.dirty && isConfirmed(tracked)) continue
        const sinceSentMs = nowMs - (tracked.lastSent?.atMs ?? -Infinity)
        if (!tracked.dirty && sinceSentMs < DESIRED_RESEND_INTERVAL_MS) continue
        sendDesiredSet(tracked, scheduler, nowMs)
      }
    },
    isConfirmed: (worker) => {
      const tracked = workers.get(worker)
      return tracked !== undefined && !tracked.dirty && isConfirmed(tracked)
    },
    removeWorker: (worker) => { workers.delete(worker) }
  }
}
