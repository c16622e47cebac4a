/** Takes jobs, tells their state and cancels them, at any entry. */
import {
  ACCEPTED_STATE, isFinal, type Clock, type EventLog, type JobPhase, type QueueConfig, type StepJob
} from '@fuchsiatally/core'
import type { PeerMesh } from '../ports.js'
import type { PartitionWatch } from './partitionWatch.js'
import { ANSWER_MARGIN_MS, MAX_COUNT_AGE_MS, MAX_REMEMBERED_JOBS, WRITE_RETRY_MS } from './constants.js'
import { jobAccepted, jobCancelled, jobRefused, jobUnsettled } from './events.js'
import { CANCEL_SUFFIX, computeJobPart, JOB_TABLE, parseJobRow, parseStateRow, STATE_TABLE } from './holderRow.js'
import type { TableTransaction, CommitResult } from './ports.js'
import { readRow } from './readRow.js'
import type { WatchedTable } from './tableHealth.js'

/** Outcome of a caller's write. `unsettled`: its fate isn't known, no true answer can be given. */
export type DeskOutcome = 'done' | 'unknownJob' | 'refused' | 'unsettled'

/** Options of the desk. */
export interface JobDeskOptions {
  readonly table: WatchedTable
  readonly mesh: PeerMesh
  readonly cells: PartitionWatch
  readonly clock: Clock
  readonly events: EventLog
  /** Passes a row on to the term that this entry holds; `false` if it holds none of that cell. */
  readonly acceptNews: (cell: string, key: string, value: string) => boolean
  /** Committed phase of a job, if this entry holds its cell and knows it. */
  readonly readCommittedPhase: (cell: string, job: string) => JobPhase | null
}

/** The desk of one entry. */
export interface JobDesk {
  submitJob: (id: string, job: StepJob, deadlineMs: number) => Promise<DeskOutcome>
  readState: (id: string, queue: QueueConfig) => Promise<JobPhase | 'unknownJob' | 'refused'>
  cancelJob: (id: string, queue: QueueConfig, deadlineMs: number) => Promise<DeskOutcome>
  /** Accepted jobs of which nothing has started, or `null` if nothing is known of the cell. */
  countWaiting: (queue: QueueConfig) => number | null
}

/** What decides how a job is planned, for the log. */
function summarizeJob (job: StepJob): Record<string, unknown> {
  const flags = new Set<string>()
  for (const step of job.steps) {
    if (step.gang) flags.add('gang')
    if (step.longRunning) flags.add('longRunning')
    if (step.fills) flags.add('fills')
    if (step.targetMs > 0) flags.add('target')
    if (step.savesWork) flags.add('savesWork')
  }
  return { service: job.policy.service, priority: job.policy.priority, tasks: job.steps.map((step) => step.taskCount), flags: [...flags], runCount: job.runCount }
}

/** Creates the desk. */
export function createJobDesk (options: JobDeskOptions): JobDesk {
  const { table, mesh, clock, events } = options
  const finals = new Map<string, JobPhase>()
  /** Jobs whose submission was written without an answer, here or at a peer: callers send them again anywhere. */
  const unsettled = new Set<string>()

  const notifyHolder = (cell: string, key: string, value: string): void => {
    if (options.acceptNews(cell, key, value)) return
    const holder = options.cells.readPartition(cell)?.row
    // The holder reads the table as well; the message only saves time.
    if (holder !== null && holder !== undefined) mesh.sendMessage(holder.incarnation, { type: 'jobNews', cell, key, value })
  }

  const recordFinal = (job: string, phase: JobPhase): void => {
    finals.set(job, phase)
    const [oldest] = finals.keys()
    if (finals.size > MAX_REMEMBERED_JOBS && oldest !== undefined) finals.delete(oldest)
  }

  const recordUnsettled = (job: string): void => {
    unsettled.add(job)
    const [oldest] = unsettled
    if (unsettled.size > MAX_REMEMBERED_JOBS && oldest !== undefined) unsettled.delete(oldest)
  }
  mesh.onMessage('jobUnsettled', ({ job }) => recordUnsettled(job))

  /** Sends a write until its fate is known; the first answer of each try counts for all of them. */
  const settleWrite = async (
    transaction: TableTransaction, deadlineMs: number, onUnknown: () => void
  ): Promise<CommitResult | 'refused' | 'unsettled'> => {
    // A write that gets no answer leaves the caller without one, too; a refusal lets it go elsewhere at once.
    if (table.isSuspect()) return 'refused'
    let mayHaveApplied = false
    for (;;) {
      const result = await table.commit(transaction, Math.max(1, deadlineMs - ANSWER_MARGIN_MS - clock.nowMs()))
      if (result.isOk()) return result.value
      if (result.error.kind === 'unknown') {
        if (!mayHaveApplied) onUnknown()
        mayHaveApplied = true
      } else if (!mayHaveApplied) return 'refused'
      if (clock.nowMs() + WRITE_RETRY_MS + ANSWER_MARGIN_MS > deadlineMs) return 'unsettled'
      await new Promise<void>((resolve) => { clock.setTimer(WRITE_RETRY_MS, resolve) })
    }
  }

  const submitJob = async (id: string, job: StepJob, deadlineMs: number): Promise<DeskOutcome> => {
    const cell = job.policy.service
    const value = JSON.stringify(job)
    const result = await settleWrite({
      part: computeJobPart(cell, id),
      checks: [{ table: JOB_TABLE, key: id, version: 0 }],
      writes: [{ table: JOB_TABLE, key: id, value }],
      deletes: []
    }, deadlineMs, () => {
      // The caller may give up and ask another entry before this one knows more.
      recordUnsettled(id)
      mesh.broadcastMessage({ type: 'jobUnsettled', job: id })
    })
    if (result === 'refused' && unsettled.has(id)) {
      events.record(jobUnsettled, { job: id, team: job.team, queue: job.policy.queue, reason: 'an earlier submission may have been stored' })
      return 'unsettled'
    }
    if (result === 'refused') {
      events.record(jobRefused, { job: id, team: job.team, queue: job.policy.queue, reason: 'the table refused the write' })
      return 'refused'
    }
    if (result === 'unsettled') {
      events.record(jobUnsettled, { job: id, team: job.team, queue: job.policy.queue })
      return 'unsettled'
    }
    // A conflict means that an earlier try, here or elsewhere, stored the same job.
    events.record(jobAccepted, { job: id, team: job.team, queue: job.policy.queue, known: result.kind === 'conflict', ...summarizeJob(job) })
    if (result.kind === 'applied') notifyHolder(cell, id, value)
    return 'done'
  }

  /** A job without a state: its holder has not begun with it, or there is no such job. */
  const readUnplanned = async (id: string, cell: string): Promise<JobPhase | 'unknownJob' | 'refused'> => {
    const row = await readRow(table, JOB_TABLE, computeJobPart(cell, id), id)
    if (row.isErr()) return 'refused'
    return row.value === undefined ? 'unknownJob' : ACCEPTED_STATE.phase
  }

  const readState: JobDesk['readState'] = async (id, queue) => {
    const known = finals.get(id) ?? options.readCommittedPhase(queue.service, id)
    if (known !== null) return known
    if (table.isSuspect()) return 'refused'
    const row = await readRow(table, STATE_TABLE, queue.service, id)
    if (row.isErr()) return 'refused'
    if (row.value === undefined) return await readUnplanned(id, queue.service)
    const state = parseStateRow(row.value, events)
    if (state === null) return 'refused'
    if (isFinal(state.phase)) recordFinal(id, state.phase)
    return state.phase
  }

  const cancelJob: JobDesk['cancelJob'] = async (id, queue, deadlineMs) => {
    const part = computeJobPart(queue.service, id)
    const row = await readRow(table, JOB_TABLE, part, id)
    if (row.isErr()) return 'refused'
    if (row.value === undefined || parseJobRow(row.value, events) === null) return 'unknownJob'
    const key = `${id}${CANCEL_SUFFIX}`
    const result = await settleWrite({
      part,
      checks: [{ table: JOB_TABLE, key, version: 0 }],
      writes: [{ table: JOB_TABLE, key, value: '{}' }],
      deletes: []
    }, deadlineMs, () => {})
    if (result === 'refused' || result === 'unsettled') return result
    events.record(jobCancelled, { job: id, queue: queue.name })
    if (result.kind === 'applied') notifyHolder(queue.service, key, '{}')
    return 'done'
  }

  return {
    submitJob,
    readState,
    cancelJob,
    countWaiting: (queue) => {
      const row = options.cells.readPartition(queue.service)?.row
      if (row === null || row === undefined || options.cells.readPartitionAgeMs(queue.service) > MAX_COUNT_AGE_MS) return null
      return row.waiting.find(([name]) => name === queue.name)?.[1] ?? 0
    }
  }
}
