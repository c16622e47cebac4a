/** Submits jobs, reads their state and cancels them; works at any entry, whether or not it holds the partition. */
import {
  ACCEPTED_STATE, computeObjectiveMs, isFinal, type Clock, type EventLog, type JobPhase, type QueueConfig, type StepJob
} from '@fuchsiatally/core'
import type { PeerMesh } from '../ports.js'
import type { PartitionWatch } from './partitionWatch.js'
import { RESPONSE_MARGIN_MS, MAX_QUEUE_COUNT_AGE_MS, MAX_REMEMBERED_JOBS, WRITE_RETRY_MS } from './constants.js'
import { jobAccepted, jobCancelled, jobRefused, submissionInDoubt } from './events.js'
import { CANCEL_SUFFIX, computeJobPart, JOB_TABLE, parseJobRow, STATE_TABLE } from './partitionRows.js'
import type { TableTransaction, CommitResult } from './ports.js'
import { readRow } from './readRow.js'
import { parseStateRow } from './stateRows.js'
import type { MonitoredTable } from './tableHealth.js'

/** Outcome of a caller's write. `inDoubt`: the outcome is unknown, so that neither success nor failure can be reported. */
export type WriteOutcome = 'done' | 'unknownJob' | 'refused' | 'inDoubt'

export interface JobApiOptions {
  readonly table: MonitoredTable
  readonly mesh: PeerMesh
  readonly partitions: PartitionWatch
  readonly clock: Clock
  readonly events: EventLog
  /** Passes a row to this entry's term of a partition; `false` if this entry does not hold the partition. */
  readonly applyPushedRow: (partition: string, key: string, value: string) => boolean
  /** Committed phase of a job, if this entry holds its partition and knows the job. */
  readonly readCommittedPhase: (partition: string, job: string) => JobPhase | null
}

/** Job API of one entry. */
export interface JobApi {
  submitJob: (id: string, job: StepJob, deadlineMs: number) => Promise<WriteOutcome>
  readPhase: (id: string, queue: QueueConfig) => Promise<JobPhase | 'unknownJob' | 'refused'>
  cancelJob: (id: string, queue: QueueConfig, deadlineMs: number) => Promise<WriteOutcome>
  /** Number of accepted jobs without a started task, or `null` if the partition's state is unknown. */
  countWaiting: (queue: QueueConfig) => number | null
}

/** Summarizes the scheduling parameters of a job for the log. */
function summarizeJob (job: StepJob): Record<string, unknown> {
  const flags = new Set<string>()
  for (const step of job.steps) {
    if (step.gang) flags.add('gang')
    if (step.longRunning) flags.add('longRunning')
    if (step.fills) flags.add('fills')
    if (step.targetMs > 0) flags.add('target')
    if (step.savesWork) flags.add('savesWork')
  }
  return { service: job.policy.service, priority: job.policy.priority, tasks: job.steps.map((step) => step.taskCount), flags: [...flags], runCount: job.runCount, objectiveMs: Math.round(computeObjectiveMs(job)) }
}

export function createJobApi (options: JobApiOptions): JobApi {
  const { table, mesh, clock, events } = options
  const finalPhases = new Map<string, JobPhase>()
  /** Jobs whose submission has an unknown outcome, at this entry or a peer: callers may retry at any entry. */
  const inDoubt = new Set<string>()

  const notifyHolder = (partition: string, key: string, value: string): void => {
    if (options.applyPushedRow(partition, key, value)) return
    const holder = options.partitions.readPartition(partition)?.row
    // The holder also polls the table; the message only reduces the delay.
    if (holder !== null && holder !== undefined) mesh.sendMessage(holder.incarnation, { type: 'jobNews', cell: partition, key, value })
  }

  const recordFinalPhase = (job: string, phase: JobPhase): void => {
    finalPhases.set(job, phase)
    const [oldest] = finalPhases.keys()
    if (finalPhases.size > MAX_REMEMBERED_JOBS && oldest !== undefined) finalPhases.delete(oldest)
  }

  const recordInDoubt = (job: string): void => {
    inDoubt.add(job)
    const [oldest] = inDoubt
    if (inDoubt.size > MAX_REMEMBERED_JOBS && oldest !== undefined) inDoubt.delete(oldest)
  }
  mesh.onMessage('jobUnsettled', ({ job }) => recordInDoubt(job))

  /** Retries a write until its outcome is known; a response to any attempt shows the outcome of all of them. */
  const commitWithRetry = async (
    transaction: TableTransaction, deadlineMs: number, onInDoubt: () => void
  ): Promise<CommitResult | 'refused' | 'inDoubt'> => {
    // While the table does not respond, a write would probably end with an unknown outcome; after a refusal the caller can retry elsewhere.
    if (table.isSuspect()) return 'refused'
    let mayHaveApplied = false
    for (;;) {
      const result = await table.commit(transaction, Math.max(1, deadlineMs - RESPONSE_MARGIN_MS - clock.nowMs()))
      if (result.isOk()) return result.value
      if (result.error.kind === 'unknown') {
        if (!mayHaveApplied) onInDoubt()
        mayHaveApplied = true
      } else if (!mayHaveApplied) return 'refused'
      if (clock.nowMs() + WRITE_RETRY_MS + RESPONSE_MARGIN_MS > deadlineMs) return 'inDoubt'
      await new Promise<void>((resolve) => { clock.setTimer(WRITE_RETRY_MS, resolve) })
    }
  }

  const submitJob = async (id: string, job: StepJob, deadlineMs: number): Promise<WriteOutcome> => {
    const partition = job.policy.service
    const value = JSON.stringify(job)
    const result = await commitWithRetry({
      part: computeJobPart(partition, id),
      checks: [{ table: JOB_TABLE, key: id, version: 0 }],
      writes: [{ table: JOB_TABLE, key: id, value }],
      deletes: []
    }, deadlineMs, () => {
      // The caller may time out and retry at another entry before the outcome is known here.
      recordInDoubt(id)
      mesh.broadcastMessage({ type: 'jobUnsettled', job: id })
    })
    if (result === 'refused' && inDoubt.has(id)) {
      events.record(submissionInDoubt, { job: id, team: job.team, queue: job.policy.queue, reason: 'an earlier submission may have been stored' })
      return 'inDoubt'
    }
    if (result === 'refused') {
      events.record(jobRefused, { job: id, team: job.team, queue: job.policy.queue, reason: 'the table refused the write' })
      return 'refused'
    }
    if (result === 'inDoubt') {
      events.record(submissionInDoubt, { job: id, team: job.team, queue: job.policy.queue })
      return 'inDoubt'
    }
    // A conflict means that an earlier attempt, here or at another entry, stored the same job.
    events.record(jobAccepted, { job: id, team: job.team, queue: job.policy.queue, known: result.kind === 'conflict', ...summarizeJob(job) })
    if (result.kind === 'applied') notifyHolder(partition, id, value)
    return 'done'
  }

  /** Reads a job that has no state row: either its holder has not planned it yet, or it does not exist. */
  const readPhaseWithoutState = async (id: string, partition: string): Promise<JobPhase | 'unknownJob' | 'refused'> => {
    const row = await readRow(table, JOB_TABLE, computeJobPart(partition, id), id)
    if (row.isErr()) return 'refused'
    return row.value === undefined ? 'unknownJob' : ACCEPTED_STATE.phase
  }

  const readPhase: JobApi['readPhase'] = async (id, queue) => {
    const known = finalPhases.get(id) ?? options.readCommittedPhase(queue.service, id)
    if (known !== null) return known
    if (table.isSuspect()) return 'refused'
    const row = await readRow(table, STATE_TABLE, queue.service, id)
    if (row.isErr()) return 'refused'
    if (row.value === undefined) return await readPhaseWithoutState(id, queue.service)
    const state = parseStateRow(row.value, events)
    if (state === null) return 'refused'
    if (isFinal(state.phase)) recordFinalPhase(id, state.phase)
    return state.phase
  }

  const cancelJob: JobApi['cancelJob'] = async (id, queue, deadlineMs) => {
    const part = computeJobPart(queue.service, id)
    const row = await readRow(table, JOB_TABLE, part, id)
    if (row.isErr()) return 'refused'
    if (row.value === undefined || parseJobRow(row.value, events) === null) return 'unknownJob'
    const key = `${id}${CANCEL_SUFFIX}`
    const result = await commitWithRetry({
      part,
      checks: [{ table: JOB_TABLE, key, version: 0 }],
      writes: [{ table: JOB_TABLE, key, value: '{}' }],
      deletes: []
    }, deadlineMs, () => {})
    if (result === 'refused' || result === 'inDoubt') return result
    events.record(jobCancelled, { job: id, queue: queue.name })
    if (result.kind === 'applied') notifyHolder(queue.service, key, '{}')
    return 'done'
  }

  return {
    submitJob,
    readPhase,
    cancelJob,
    countWaiting: (queue) => {
      const row = options.partitions.readPartition(queue.service)?.row
      if (row === null || row === undefined || options.partitions.readPartitionAgeMs(queue.service) > MAX_QUEUE_COUNT_AGE_MS) return null
      return row.waiting.find(([name]) => name === queue.name)?.[1] ?? 0
    }
  }
}
