/**
 * Deletes the rows of jobs past their retention: first the job, then its state, so that an ended job never appears to be one that was not
 * planned yet.
 */
import { createDisposableStore, type Clock, type Disposable } from '@fuchsiatally/core'
import { createSerialLoop } from '../process/serialLoop.js'
import { MAX_COMMIT_ROWS, JOB_CLEANUP_PAUSE_MS } from './constants.js'
import { CANCEL_SUFFIX, computeEarlierJobPart, computeJobPart, computeJobTable, JOB_TABLE } from './partitionRows.js'
import type { PartitionTable } from './ports.js'

/** Most rows of a job in one part. */
const ROWS_OF_JOB = 3

export interface JobCleanupOptions {
  readonly partition: string
  readonly table: PartitionTable
  readonly clock: Clock
  /** Whether an earlier version stored the job, in another part. */
  readonly isOfEarlierVersion: (job: string) => boolean
  /** Runs after the rows of these jobs have been deleted; their states may now be deleted as well. */
  readonly onDeleted: (jobs: readonly string[]) => void
}

/** The running cleanup. */
export interface JobCleanup extends Disposable {
  add: (jobs: readonly string[]) => void
  /** Adds jobs that were cancelled before they were stored, with the version of their rows. */
  addWithdrawn: (jobs: ReadonlyMap<string, number>) => void
}

export function createJobCleanup (options: JobCleanupOptions): JobCleanup {
  const { partition, table } = options
  const disposables = createDisposableStore()
  const expiredJobs = new Set<string>()

  const withdrawnJobs = new Map<string, number>()

  /** Deletes the rows of a withdrawn job, unless its id has been used again since. */
  const dropWithdrawn = async (job: string, version: number): Promise<void> => {
    const result = await table.commit({
      part: computeJobPart(job),
      checks: [{ table: JOB_TABLE, key: job, version }],
      writes: [],
      deletes: [{ table: JOB_TABLE, key: job }, { table: computeJobTable(partition), key: `${job}${CANCEL_SUFFIX}` }]
    })
    if (result.isOk()) withdrawnJobs.delete(job)
  }

  const runStep = async (): Promise<void> => {
    const [withdrawn] = withdrawnJobs
    if (withdrawn !== undefined) await dropWithdrawn(...withdrawn)
    const [first] = expiredJobs
    if (first === undefined) return
    const part = computeJobPart(first)
    const earlierPart = computeEarlierJobPart(partition, first)
    const isEarlier = options.isOfEarlierVersion(first)
    const jobs = [...expiredJobs]
      .filter((job) => computeJobPart(job) === part && computeEarlierJobPart(partition, job) === earlierPart && options.isOfEarlierVersion(job) === isEarlier)
      .slice(0, Math.floor(MAX_COMMIT_ROWS / ROWS_OF_JOB))
    const jobTable = computeJobTable(partition)
    const deletes = jobs.flatMap((job) => [{ table: JOB_TABLE, key: job }, { table: jobTable, key: job }, { table: jobTable, key: `${job}${CANCEL_SUFFIX}` }])
    const earlierDeletes = jobs.flatMap((job) => [{ table: JOB_TABLE, key: job }, { table: JOB_TABLE, key: `${job}${CANCEL_SUFFIX}` }])
    // A job of an earlier version may have been submitted again since.
    if (isEarlier && (await table.commit({ part: earlierPart, checks: [], writes: [], deletes: earlierDeletes })).isErr()) return
    const result = await table.commit({ part, checks: [], writes: [], deletes })
    // A failed delete is retried by the next step; deletes are idempotent.
    if (result.isErr()) return
    for (const job of jobs) expiredJobs.delete(job)
    options.onDeleted(jobs)
  }

  disposables.add(createSerialLoop({ clock: options.clock, readPauseMs: () => JOB_CLEANUP_PAUSE_MS, runStep }))
  return {
    add: (jobs) => { for (const job of jobs) expiredJobs.add(job) },
    addWithdrawn: (jobs) => { for (const [job, version] of jobs) withdrawnJobs.set(job, version) },
    dispose: () => disposables.dispose()
  }
}
