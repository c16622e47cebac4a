/** Submits jobs, reads their state and cancels them; works at any entry, whether or not it holds the partition. */
import {
  ACCEPTED_STATE, computeObjectiveMs, isFinal, type Clock, type EventLog, type JobPhase, type QueueConfig, type StepJob
} from '@fuchsiatally/core'
import { err, ok, type Result } from 'neverthrow'
import type { PeerMesh } from '../ports.js'
import type { PartitionWatch } from './partitionWatch.js'
import { RESPONSE_MARGIN_MS, MAX_QUEUE_COUNT_AGE_MS, MAX_REMEMBERED_JOBS, WRITE_RETRY_MS } from './constants.js'
import { jobAccepted, jobCancelled, jobRefused, jobWithdrawn, submissionInDoubt } from './events.js'
import { CANCEL_SUFFIX, computeEarlierJobPart, computeJobPart, computeJobTable, encodeService, JOB_TABLE, parseJobIdRow, STATE_TABLE, WITHDRAWN_VALUE } from './partitionRows.js'
import type { CallFailure, TableTransaction, CommitResult } from './ports.js'
import { readRow } from './readRow.js'
import { parseStateRow } from './stateRows.js'
import type { MonitoredTable } from './tableHealth.js'

/**
 * Outcome of a caller's write. `inDoubt`: the outcome is unknown, so that neither success nor failure can be reported; `withdrawn`: the job
 * was cancelled before it was stored, and never runs.
 */
export type WriteOutcome = 'done' | 'unknownJob' | 'withdrawn' | 'refused' | 'inDoubt'

export interface JobApiOptions {
  readonly table: MonitoredTable
  readonly mesh: PeerMesh
  readonly partitions: PartitionWatch
  /** Partitions named by the configuration. */
  readonly listPartitions: () => readonly string[]
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

/** Where an accepted job is stored, and the partition that runs it. */
interface StoredJob {
  readonly partition: string
  readonly table: string
  readonly part: string
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

  /** Whether a conflict is with the row that a cancellation left in the place of a job. */
  const isWithdrawn = (result: CommitResult): boolean => result.kind === 'conflict' && result.rows.some((row) => row.table === JOB_TABLE && row.value === WITHDRAWN_VALUE)

  const submitJob = async (id: string, job: StepJob, deadlineMs: number): Promise<WriteOutcome> => {
    const partition = job.policy.service
    const value = JSON.stringify(job)
    const result = await commitWithRetry({
      part: computeJobPart(id),
      checks: [{ table: JOB_TABLE, key: id, version: 0 }],
      writes: [{ table: JOB_TABLE, key: id, value: encodeService(partition) }, { table: computeJobTable(partition), key: id, value }],
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
    if (isWithdrawn(result)) {
      events.record(jobRefused, { job: id, team: job.team, queue: job.policy.queue, reason: 'it was cancelled before it was stored' })
      return 'withdrawn'
    }
    // Any other conflict means that an earlier attempt, here or at another entry, stored the same job.
    events.record(jobAccepted, { job: id, team: job.team, queue: job.policy.queue, known: result.kind === 'conflict', ...summarizeJob(job) })
    if (result.kind === 'applied') notifyHolder(partition, id, value)
    return 'done'
  }

  /** Finds an accepted job; `null` if there is none. */
  const findJob = async (id: string, queue: QueueConfig): Promise<Result<StoredJob | null, CallFailure>> => {
    const row = await readRow(table, JOB_TABLE, computeJobPart(id), id)
    if (row.isErr()) return err(row.error)
    const service = row.value === undefined ? null : parseJobIdRow(row.value, events)
    if (service !== null && 'withdrawn' in service) return ok(null)
    if (service !== null) return ok({ partition: service.service, table: computeJobTable(service.service), part: computeJobPart(id) })
    const earlierPart = computeEarlierJobPart(queue.service, id)
    const earlier = await readRow(table, JOB_TABLE, earlierPart, id)
    return earlier.map((found) => found === undefined ? null : { partition: queue.service, table: JOB_TABLE, part: earlierPart })
  }

  /** Reads the committed phase in a partition; `null` if its holder has not planned the job. */
  const readStoredPhase = async (id: string, partition: string): Promise<Result<JobPhase | null, 'refused'>> => {
    const row = await readRow(table, STATE_TABLE, partition, id)
    if (row.isErr()) return err('refused')
    if (row.value === undefined) return ok(null)
    const state = parseStateRow(row.value, events)
    if (state === null) return err('refused')
    if (isFinal(state.phase)) recordFinalPhase(id, state.phase)
    return ok(state.phase)
  }

  /** Reads a job without a state in the partition of its queue: not planned yet, of the service that the queue was sent to before, or unknown. */
  const readPhaseOfAccepted = async (id: string, queue: QueueConfig): Promise<JobPhase | 'unknownJob' | 'refused'> => {
    const found = await findJob(id, queue)
    if (found.isErr()) return 'refused'
    if (found.value === null) return 'unknownJob'
    const { partition } = found.value
    if (partition === queue.service) return ACCEPTED_STATE.phase
    const committed = options.readCommittedPhase(partition, id)
    if (committed !== null) return committed
    const stored = await readStoredPhase(id, partition)
    return stored.isErr() ? stored.error : stored.value ?? ACCEPTED_STATE.phase
  }

  const readPhase: JobApi['readPhase'] = async (id, queue) => {
    const known = finalPhases.get(id) ?? options.readCommittedPhase(queue.service, id)
    if (known !== null) return known
    if (table.isSuspect()) return 'refused'
    const stored = await readStoredPhase(id, queue.service)
    if (stored.isErr()) return stored.error
    return stored.value ?? await readPhaseOfAccepted(id, queue)
  }

  /** Takes the place of a job that is not stored, so that no submission in doubt is stored once its cancellation has been acknowledged; `isStored` if one was meanwhile. */
  const blockSubmission = async (id: string, queue: QueueConfig, deadlineMs: number): Promise<WriteOutcome | 'isStored'> => {
    const result = await commitWithRetry({
      part: computeJobPart(id),
      checks: [{ table: JOB_TABLE, key: id, version: 0 }],
      writes: [{ table: JOB_TABLE, key: id, value: WITHDRAWN_VALUE }, { table: computeJobTable(queue.service), key: `${id}${CANCEL_SUFFIX}`, value: WITHDRAWN_VALUE }],
      deletes: []
    }, deadlineMs, () => {})
    if (result === 'refused' || result === 'inDoubt') return result
    if (result.kind === 'conflict') return isWithdrawn(result) ? 'unknownJob' : 'isStored'
    events.record(jobWithdrawn, { job: id, queue: queue.name })
    return 'unknownJob'
  }

  const cancelJob: JobApi['cancelJob'] = async (id, queue, deadlineMs) => {
    let found = await findJob(id, queue)
    if (found.isOk() && found.value === null) {
      const outcome = await blockSubmission(id, queue, deadlineMs)
      if (outcome !== 'isStored') return outcome
      found = await findJob(id, queue)
    }
    if (found.isErr()) return 'refused'
    // A malformed row names no job, but keeps submissions out as well.
    if (found.value === null) return 'unknownJob'
    const { partition, table: jobTable, part } = found.value
    const key = `${id}${CANCEL_SUFFIX}`
    const result = await commitWithRetry({
      part,
      checks: [{ table: jobTable, key, version: 0 }],
      writes: [{ table: jobTable, key, value: '{}' }],
      deletes: []
    }, deadlineMs, () => {})
    if (result === 'refused' || result === 'inDoubt') return result
    events.record(jobCancelled, { job: id, queue: queue.name })
    if (result.kind === 'applied') notifyHolder(partition, key, '{}')
    return 'done'
  }

  /** Number of waiting jobs of a queue in one partition; `null` if the partition's state is unknown. */
  const countWaitingIn = (partition: string, queue: QueueConfig): number | null => {
    const row = options.partitions.readPartition(partition)?.row
    if (row === null || row === undefined || options.partitions.readPartitionAgeMs(partition) > MAX_QUEUE_COUNT_AGE_MS) return null
    return row.waiting.find(([name]) => name === queue.name)?.[1] ?? 0
  }

  return {
    submitJob,
    readPhase,
    cancelJob,
    countWaiting: (queue) => {
      const count = countWaitingIn(queue.service, queue)
      if (count === null) return null
      // Jobs that were accepted while the configuration sent the queue to another service still wait there.
      const others = options.listPartitions().filter((partition) => partition !== queue.service)
      return others.reduce((sum, partition) => sum + (countWaitingIn(partition, queue) ?? 0), count)
    }
  }
}
