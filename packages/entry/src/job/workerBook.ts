/** What the scheduler knows of each worker: its owner's reports and the desired set that was sent. */
import {
  formatAttempt, type AttemptId, type CellScheduler, type Clock, type DesiredTask, type UndesiredTask,
  type WorkerDesired, type WorkerObserved
} from '@fuchsiatally/core'
import { DESIRED_RESEND_MS, REPORT_SILENCE_MS } from './constants.js'

/** Options of the book. */
export interface WorkerBookOptions {
  readonly clock: Clock
  readonly cellEpoch: number
  /** Hands a message to an incarnation, possibly this one. */
  /** Whether an incarnation is this one or a peer with a live link; owners report unchanged workers only now and then. */
  readonly isLinked: (incarnation: string) => boolean
  /** Whether an attempt shall not be started yet. */
  readonly isHeld: (id: AttemptId) => boolean
  readonly sendDesired: (incarnation: string, message: WorkerDesired) => void
}

/** One worker in the book. */
export interface WorkerRecord {
  readonly worker: string
  readonly owner: string
  readonly observed: WorkerObserved
  readonly observedAtMs: number
}

/** The book of one term of the role. */
export interface WorkerBook {
  /** Takes an owner's report in; `false` if it is outdated by a later epoch. */
  recordObserved: (message: WorkerObserved, owner: string) => boolean
  readRecord: (worker: string) => WorkerRecord | undefined
  /** Whether the worker's owner has reported contact recently. */
  isReachable: (worker: string) => boolean
  /** Queues an ended attempt for acknowledgement after the next commit that begins from now on. */
  addEnded: (worker: string, id: AttemptId) => void
  /** A commit of all that was recorded so far begins. */
  startCommit: () => void
  /** Marks the worker's desired set as changed. */
  addDirty: (worker: string) => void
  /** Sends the desired sets that changed or that their owners have not confirmed. Call after a commit only. */
  sendDirty: (scheduler: CellScheduler) => void
  /** Whether the owner has accepted the last desired set and it still stands. */
  isConfirmed: (worker: string) => boolean
  removeWorker: (worker: string) => void
}

interface Entry {
  record: WorkerRecord
  dirty: boolean
  /** Ended attempts that no commit has begun to record. */
  pendingEnds: Map<string, AttemptId>
  /** Ended attempts that the table records once the running commit is done. */
  committedEnds: Map<string, AttemptId>
  lastSent: { readonly sequence: number, readonly workerEpoch: number, readonly owner: string, readonly atMs: number } | null
}

/** Creates an empty book. */
export function createWorkerBook (options: WorkerBookOptions): WorkerBook {
  const entries = new Map<string, Entry>()
  let sequence = 0

  const buildDesired = (entry: Entry, scheduler: CellScheduler): WorkerDesired => {
    const { worker, observed } = entry.record
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
      acknowledged: [...entry.committedEnds.values()]
    }
  }

  const isConfirmed = (entry: Entry): boolean => {
    const { observed, owner } = entry.record
    const sent = entry.lastSent
    if (sent === null) return false
    return sent.owner === owner && sent.workerEpoch === observed.workerEpoch &&
      observed.cellEpoch === options.cellEpoch && observed.desiredSequence >= sent.sequence
  }

  const sendEntry = (entry: Entry, scheduler: CellScheduler, nowMs: number): void => {
    const message = buildDesired(entry, scheduler)
    entry.dirty = false
    const { owner } = entry.record
    entry.lastSent = { sequence: message.sequence, workerEpoch: message.workerEpoch, owner, atMs: nowMs }
    options.sendDesired(owner, message)
  }

  return {
    recordObserved: (message, owner) => {
      const entry = entries.get(message.worker)
      const record = { worker: message.worker, owner, observed: message, observedAtMs: options.clock.nowMs() }
      if (entry === undefined) {
        entries.set(message.worker, { record, dirty: true, pendingEnds: new Map(), committedEnds: new Map(), lastSent: null })
        return true
      }
      if (message.workerEpoch < entry.record.observed.workerEpoch) return false
      if (message.workerEpoch > entry.record.observed.workerEpoch || owner !== entry.record.owner) entry.dirty = true
      entry.record = record
      const listed = new Set(message.ended.map(({ id }) => formatAttempt(id)))
      for (const key of entry.committedEnds.keys()) if (!listed.has(key)) entry.committedEnds.delete(key)
      return true
    },
    readRecord: (worker) => entries.get(worker)?.record,
    isReachable: (worker) => {
      const record = entries.get(worker)?.record
      if (record === undefined || record.observed.state !== 'reachable') return false
      if (!options.isLinked(record.owner)) return false
      return options.clock.nowMs() - record.observedAtMs < REPORT_SILENCE_MS
    },
    addEnded: (worker, id) => {
      const entry = entries.get(worker)
      const key = formatAttempt(id)
      if (entry === undefined || entry.pendingEnds.has(key) || entry.committedEnds.has(key)) return
      entry.pendingEnds.set(key, id)
    },
    startCommit: () => {
      for (const entry of entries.values()) {
        if (entry.pendingEnds.size === 0) continue
        for (const [key, id] of entry.pendingEnds) entry.committedEnds.set(key, id)
        entry.pendingEnds.clear()
        entry.dirty = true
      }
    },
    addDirty: (worker) => {
      const entry = entries.get(worker)
      if (entry !== undefined) entry.dirty = true
    },
    sendDirty: (scheduler) => {
      const nowMs = options.clock.nowMs()
      for (const entry of entries.values()) {
        if (!entry.dirty && isConfirmed(entry)) continue
        const sentAgoMs = nowMs - (entry.lastSent?.atMs ?? -Infinity)
        if (!entry.dirty && sentAgoMs < DESIRED_RESEND_MS) continue
        sendEntry(entry, scheduler, nowMs)
      }
    },
    isConfirmed: (worker) => {
      const entry = entries.get(worker)
      return entry !== undefined && !entry.dirty && isConfirmed(entry)
    },
    removeWorker: (worker) => { entries.delete(worker) }
  }
}
