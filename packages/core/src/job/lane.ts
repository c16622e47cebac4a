/** Lanes: queues of a team's waiting jobs whose tasks have the same shape and wait for the same room. */
import type { Amounts } from '../vm/amounts.js'
import type { IndexQuery } from '../vm/placementIndex.js'
import type { TeamEntry } from '../team/teamEntry.js'
import type { JobEntry } from './jobEntry.js'

/** Resources and pool that a task requires; all tasks of a shape fit on the same workers. */
export interface Shape {
  readonly key: string
  readonly need: Amounts
  readonly query: IndexQuery
  readonly pool: string | undefined
  /** No worker without reservations has room; cleared when one of them releases enough. */
  blocked: boolean
  /** Incremented when a worker with reservations may have room for a task outside of the reserved room. */
  unreservedRoomVersion: number
  /** Incremented when a worker with reservations may have room for a task if it uses reserved room. */
  reservedRoomVersion: number
  /** Whether a task fits on some worker without accelerators if the worker is empty. */
  fitsCpuOnlyWorker: boolean
  /** `workersVersion` for which `fitsCpuOnlyWorker` was computed. */
  fitsCpuOnlyWorkerVersion: number
  /** Number of jobs of this shape in memory. */
  jobCount: number
}

/** Waiting jobs of one team with the same kind, priority, shape and workload name; each gang has its own lane. */
export interface Lane {
  readonly key: string
  readonly team: TeamEntry
  readonly shape: Shape
  readonly urgent: boolean
  readonly gang: boolean
  /** Ordered by time of acceptance, then by id. */
  readonly jobs: JobEntry[]
  /** The shape's `unreservedRoomVersion` and `reservedRoomVersion` when backfill last found no worker; -1 before the first time. */
  triedUnreservedRoomVersion: number
  triedReservedRoomVersion: number
  /** The team's `headroomVersion` at which its ceiling left no room; -1 if it was not refused. */
  ceilingRefusalVersion: number
  /** Monotonic time before which a gang or urgent lane is not tried again. */
  retryAtMs: number
  /** Monotonic time before which no reservation is planned again. */
  reservationRetryAtMs: number
  /** Monotonic time since which the first task could not be placed; `Infinity` if it could. */
  blockedSinceMs: number
}

/** Checks whether `a` was accepted before `b`; ties are broken by id. */
export function isAcceptedBefore (a: JobEntry, b: JobEntry): boolean {
  if (a.row.acceptedAtMs !== b.row.acceptedAtMs) return a.row.acceptedAtMs < b.row.acceptedAtMs
  return a.id < b.id
}

/** Adds a job with queued tasks to its lane. */
export function addToLane (job: JobEntry): void {
  if (job.lane) return
  const lane = getLane(job)
  let position = lane.jobs.length
  while (position > 0 && isAcceptedBefore(job, lane.jobs[position - 1]!)) position -= 1
  lane.jobs.splice(position, 0, job)
  job.lane = lane
}

/** Removes a job without queued tasks from its lane. */
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
    triedUnreservedRoomVersion: -1,
    triedReservedRoomVersion: -1,
    ceilingRefusalVersion: -1,
    retryAtMs: 0,
    reservationRetryAtMs: 0,
    blockedSinceMs: Infinity
  }
  team.lanes.set(key, lane)
  return lane
}
