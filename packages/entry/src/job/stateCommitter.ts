/** Commits job states in batches, each on condition that this entry still holds the scheduler role. */
import type { Clock, EventLog, JobStateRow, Random, RowCheck, RowWrite } from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import type { HeldRole } from './schedulerRole.js'
import { COMMIT_RETRY_DELAY_MS, MAX_ROWS_PER_COMMIT } from './constants.js'
import { commitDelayed } from './events.js'
import { formatJobKeys } from './jobFeed.js'

/** New state of a job; `null` deletes the job's rows. */
export interface StateChange {
  readonly job: string
  readonly state: JobStateRow | null
}

/** Outcome of committing a batch of changes. */
export type CommitOutcome = 'committed' | 'deposed' | 'disposed'

/** Options of the committer. */
export interface StateCommitterOptions {
  readonly platform: PlatformClient
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
  readonly role: HeldRole
  readonly isDisposed: () => boolean
}

/** Committer of job states. */
export interface StateCommitter {
  /** Records the version of a state row as read from the table. */
  setVersion: (job: string, version: number) => void
  /** Resolves when all changes are durable, a commit conflicts, or the term is disposed; retries commits of unknown outcome. */
  commitChanges: (changes: readonly StateChange[]) => Promise<CommitOutcome>
}

/** Creates the committer of one term of the role. */
export function createStateCommitter (options: StateCommitterOptions): StateCommitter {
  const { platform, role } = options
  const versions = new Map<string, number>()
  const roleCheck: RowCheck = { key: role.rowKey, version: role.rowVersion }

  const waitForRetry = (): Promise<void> => new Promise((resolve) => {
    options.clock.setTimer(COMMIT_RETRY_DELAY_MS, resolve)
  })

  const buildWrites = (changes: readonly StateChange[]): RowWrite[] => {
    const writes: RowWrite[] = []
    for (const change of changes) {
      const keys = formatJobKeys(change.job)
      writes.push({ key: keys.state, value: change.state })
      if (change.state !== null) continue
      writes.push({ key: keys.job, value: null }, { key: keys.cancel, value: null })
    }
    return writes
  }

  const commitBatch = async (changes: readonly StateChange[]): Promise<CommitOutcome> => {
    const checks = changes.map((change) => ({ key: formatJobKeys(change.job).state, version: versions.get(change.job) ?? 0 }))
    const transaction = { writeId: options.random.nextId(), checks: [roleCheck, ...checks], writes: buildWrites(changes) }
    for (;;) {
      const outcome = await platform.transact(transaction)
      if (options.isDisposed()) return 'disposed'
      if (outcome.isOk()) {
        // Normally only the holder writes these rows, so a conflict means that the role may be lost.
        if (outcome.value.kind === 'conflict') return 'deposed'
        for (const row of outcome.value.rows) versions.set(row.key.slice(row.key.indexOf('/') + 1), row.version)
        for (const change of changes) if (change.state === null) versions.delete(change.job)
        return 'committed'
      }
      options.events.record(commitDelayed, { rows: changes.length, cause: outcome.error.kind })
      await waitForRetry()
      if (options.isDisposed()) return 'disposed'
    }
  }

  return {
    setVersion: (job, version) => { versions.set(job, version) },
    commitChanges: async (changes) => {
      for (let start = 0; start < changes.length; start += MAX_ROWS_PER_COMMIT) {
        const outcome = await commitBatch(changes.slice(start, start + MAX_ROWS_PER_COMMIT))
        if (outcome !== 'committed') return outcome
      }
      return 'committed'
    }
  }
}
