/** Queues of a team: waiting jobs whose tasks are alike stand in one lane and wait for the same room. */
import type { Amounts } from '../vm/amounts.js'
import type { IndexQuery } from '../vm/placementIndex.js'
import type { TeamEntry } from '../team/teamEntry.js'
import type { JobEntry } from './jobEntry.js'

/** What one task needs and where; tasks of one shape find room or none together. */
export interface Shape {
  readonly key: string
  readonly need: Amounts
  readonly query: IndexQuery
  readonly pool: string | undefined
  /** No worker outside reservations has room; cleared when one of them frees enough. */
  blocked: boolean
  /** Grows when a worker with reservations may have room for a task beside what is held. */
  besideVersion: number
  /** Grows when a worker with reservations may have room for a task within what is held. */
  withinVersion: number
  /** Whether a worker without accelerators could hold a task if it were empty. */
  fitsPlain: boolean
  /** Version of the set of workers that `fitsPlain` was computed for. */
  fitsPlainAt: number
  /** Jobs of this shape in memory. */
  users: number
}

/** Waiting jobs of one team with one shape and workload name; a gang has a lane of its own. */
export interface Lane {
  readonly key: string
  readonly team: TeamEntry
  readonly shape: Shape
  readonly urgent: boolean
  readonly gang: boolean
  /** Ordered by acceptance, then id. */
  readonly jobs: JobEntry[]
  /** The shape's `besideVersion` and `withinVersion` at which no backfill was possible; -1 if not tried. */
  besideTriedAt: number
  withinTriedAt: number
  /** Releases of the team at which its ceiling left no room; -1 if it did. */
  ceilingTriedAt: number
  /** Monotonic time before which a gang is not tried again. */
  retryAtMs: number
  /** Monotonic time before which no reservation is sought. */
  grantRetryAtMs: number
  /** Monotonic time since which its first task could not be placed; `Infinity` if it could. */
  blockedSinceMs: number
}

/** Tells whether `a` was accepted before `b`. */
export function isBefore (a: JobEntry, b: JobEntry): boolean {
  if (a.row.acceptedAtMs !== b.row.acceptedAtMs) return a.row.acceptedAtMs < b.row.acceptedAtMs
  return a.id < b.id
}

/** Enters a job that has queued tasks into its lane. */
export function addToLane (job: JobEntry): void {
  if (job.lane) return
  const lane = getLane(job)
  let position = lane.jobs.length
  while (position > 0 && isBefore(job, lane.jobs[position - 1]!)) position -= 1
  lane.jobs.splice(position, 0, job)
  job.lane = lane
}

/** Takes a job without queued tasks out of its lane. */
export function removeFromLane (job: JobEntry): void {
  const lane = job.lane
  if (!lane) return
  lane.jobs.splice(lane.jobs.indexOf(job), 1)
  job.lane = undefined
  if (lane.jobs.length === 0) lane.team.lanes.delete(lane.key)
}

function getLane (job: JobEntry): Lane {
  const { team, shape } = job
  const { kind, name, priority } = job.row.spec
  const urgent = priority === 'urgent'
  const gang = kind === 'gang'
  const key = gang ? `gang\n${job.id}` : `${kind}\n${priority}\n${name}\n${shape.key}`
  const found = team.lanes.get(key)
  if (found) return found
  const lane: Lane = {
    key,
    team,
    shape,
    urgent,
    gang,
    jobs: [],
    besideTriedAt: -1,
    withinTriedAt: -1,
    ceilingTriedAt: -1,
    retryAtMs: 0,
    grantRetryAtMs: 0,
    blockedSinceMs: Infinity
  }
  team.lanes.set(key, lane)
  return lane
}
