/** Deletes the rows of jobs that were forgotten: the jobs first, their states after them, so that no job seems to have none. */
import { createDisposableStore, type Clock, type Disposable } from '@fuchsiatally/core'
import { createSerialLoop } from '../process/serialLoop.js'
import { MAX_COMMIT_ROWS, SWEEP_PAUSE_MS } from './constants.js'
import { CANCEL_SUFFIX, computeJobPart, JOB_TABLE } from './holderRow.js'
import type { PartitionTable } from './ports.js'

/** Options of the sweep. */
export interface JobSweepOptions {
  readonly cell: string
  readonly table: PartitionTable
  readonly clock: Clock
  /** The rows of these jobs are gone; their states may follow. */
  readonly onDeleted: (jobs: readonly string[]) => void
}

/** The running sweep. */
export interface JobSweep extends Disposable {
  add: (jobs: readonly string[]) => void
}

/** Starts a sweep without jobs. */
export function createJobSweep (options: JobSweepOptions): JobSweep {
  const { cell, table } = options
  const disposables = createDisposableStore()
  const waiting = new Set<string>()

  const runStep = async (): Promise<void> => {
    const [first] = waiting
    if (first === undefined) return
    const part = computeJobPart(cell, first)
    const jobs = [...waiting].filter((job) => computeJobPart(cell, job) === part).slice(0, Math.floor(MAX_COMMIT_ROWS / 2))
    const deletes = jobs.flatMap((job) => [{ table: JOB_TABLE, key: job }, { table: JOB_TABLE, key: `${job}${CANCEL_SUFFIX}` }])
    const result = await table.commit({ part, checks: [], writes: [], deletes })
    // What failed is tried again; deleting twice does no harm.
    if (result.isErr()) return
    for (const job of jobs) waiting.delete(job)
    options.onDeleted(jobs)
  }

  disposables.add(createSerialLoop({ clock: options.clock, readPauseMs: () => SWEEP_PAUSE_MS, runStep }))
  return {
    add: (jobs) => { for (const job of jobs) waiting.add(job) },
    dispose: () => disposables.dispose()
  }
}
