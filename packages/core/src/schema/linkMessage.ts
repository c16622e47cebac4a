/** Messages between entries, encoded as CBOR frames on links. */
import * as Schema from 'effect/Schema'
import { AttemptId } from './job.js'
import { ConfigDocument } from './manifest.js'
import { RequestOutcome, ServiceRequest } from './request.js'
import { Resources } from './resources.js'

/** Handshake: the first message on a link, in both directions. */
export const Hello = Schema.Struct({
  type: Schema.Literal('hello'),
  entry: Schema.String,
  incarnation: Schema.String,
  failureDomain: Schema.String
})

/** Free slots of one service at the workers that the sender owns. */
export const FreeSlots = Schema.Struct({
  service: Schema.String,
  free: Schema.Int,
  total: Schema.Int,
  /** Requests queued for the service at the sender. */
  queued: Schema.Int
})
export type FreeSlots = typeof FreeSlots.Type

/** Sent to each peer at a fixed interval; a link without heartbeats is replaced after a timeout. */
export const Heartbeat = Schema.Struct({
  type: Schema.Literal('heartbeat'),
  sequence: Schema.Int,
  leaving: Schema.Boolean,
  slots: Schema.Array(FreeSlots),
  /** Version of the configuration in force at the sender. */
  configVersion: Schema.Int,
  /** Ids of revoked keys that are not in the sender's configuration document yet. */
  deniedKeyIds: Schema.Array(Schema.String),
  /** Number of requests at the sender that wait for an allotment of their team's ceiling, by team. */
  allotmentDemand: Schema.Array(Schema.Struct({ team: Schema.String, waiting: Schema.Int }))
})
export type Heartbeat = typeof Heartbeat.Type

/** Requests the peer's configuration document if it is newer. */
export const ConfigPull = Schema.Struct({ type: Schema.Literal('configPull'), newerThan: Schema.Int })

/** Sends a configuration document. */
export const ConfigPush = Schema.Struct({ type: Schema.Literal('configPush'), document: ConfigDocument })

/** Queries the version and age of the peer's configuration. */
export const ConfigQuery = Schema.Struct({ type: Schema.Literal('configQuery'), exchange: Schema.String })

/** Response to a `configQuery`; also sent unsolicited, with an empty `exchange`, when a key is denied. */
export const ConfigState = Schema.Struct({
  type: Schema.Literal('configState'),
  exchange: Schema.String,
  /** Version in force at the sender, 0 before the first. */
  version: Schema.Int,
  /** Time since the sender last confirmed that the table held nothing newer, in milliseconds; -1 if never. */
  ageMs: Schema.Finite,
  /** Ids of revoked keys that are not in the sender's configuration document yet. */
  deniedKeyIds: Schema.Array(Schema.String)
})

/** Forwards a request to an owner of endpoints of the service. */
export const ForwardRequest = Schema.Struct({
  type: Schema.Literal('forwardRequest'),
  exchange: Schema.String,
  request: ServiceRequest,
  /** Whether to queue the request if the team has no allotment at the owner; otherwise it is answered as `notRun`. */
  mayWait: Schema.Boolean
})

/** Forwards a request with a ticket to the incarnation that issued the ticket. */
export const TicketRequest = Schema.Struct({
  type: Schema.Literal('ticketRequest'),
  exchange: Schema.String,
  ticket: Schema.String,
  request: ServiceRequest
})

/** Final outcome of a forwarded request. */
export const ForwardReply = Schema.Struct({
  type: Schema.Literal('forwardReply'),
  exchange: Schema.String,
  outcome: RequestOutcome
})

/**
 * Queries the outcome of an exchange after the link was replaced; a request that never arrived is answered
 * as `notRun` and can no longer run.
 */
export const ForwardQuery = Schema.Struct({ type: Schema.Literal('forwardQuery'), exchange: Schema.String })

/** Notifies the receiver that the exchange's outcome is no longer needed. */
export const ForwardCancel = Schema.Struct({ type: Schema.Literal('forwardCancel'), exchange: Schema.String })

/** An attempt that a worker should run. */
export const DesiredTask = Schema.Struct({
  id: AttemptId,
  resources: Resources,
  payload: Schema.String,
  /** Member of a gang that other owners have not confirmed yet: it is prepared but not started. */
  held: Schema.optionalKey(Schema.Boolean)
})
export type DesiredTask = typeof DesiredTask.Type

/** An attempt that the worker should end; it can never be started afterwards. */
export const UndesiredTask = Schema.Struct({ id: AttemptId, checkpoint: Schema.Boolean })
export type UndesiredTask = typeof UndesiredTask.Type

/** Scheduler to owner: the complete desired state of a worker; `run` and `keep` together list all attempts that should run. Replaces the previous one. */
export const WorkerDesired = Schema.Struct({
  type: Schema.Literal('workerDesired'),
  cellEpoch: Schema.Int,
  sequence: Schema.Int,
  worker: Schema.String,
  /** Epoch of the worker's ownership for which the set was computed. */
  workerEpoch: Schema.Int,
  run: Schema.Array(DesiredTask),
  /** Attempts that the owner has reported as running under this epoch; their details are not repeated. */
  keep: Schema.optionalKey(Schema.Array(AttemptId)),
  end: Schema.Array(UndesiredTask),
  /** Ended attempts that are recorded in the table; the worker may discard them. */
  acknowledged: Schema.Array(AttemptId)
})
export type WorkerDesired = typeof WorkerDesired.Type

/** An attempt that has ended at its worker. */
export const EndedTask = Schema.Struct({
  id: AttemptId,
  /** `stopped`: ended on command; `refused`: not started and never will be; `lapsed`: its lease expired. */
  result: Schema.Literals(['completed', 'failed', 'stopped', 'refused', 'lapsed']),
  /** Run time, in milliseconds. */
  ranMs: Schema.Finite
})
export type EndedTask = typeof EndedTask.Type

/** Resource usage of one running task, as reported by the worker with a delay. */
export const TaskUsage = Schema.Struct({ id: AttemptId, used: Resources })
export type TaskUsage = typeof TaskUsage.Type

/** Owner to scheduler: observed state of a worker. */
export const WorkerObserved = Schema.Struct({
  type: Schema.Literal('workerObserved'),
  worker: Schema.String,
  workerEpoch: Schema.Int,
  /** Highest cell epoch whose desired set the owner has accepted. */
  cellEpoch: Schema.Int,
  /** Sequence of the desired set in force, 0 if none; a set with held tasks is in force once the worker has answered after it. */
  desiredSequence: Schema.Int,
  /** `lost`: the worker's task lease has certainly expired, so nothing started before is still running. */
  state: Schema.Literals(['reachable', 'unreachable', 'lost']),
  running: Schema.Array(AttemptId),
  ended: Schema.Array(EndedTask),
  usage: Schema.Array(TaskUsage)
})
export type WorkerObserved = typeof WorkerObserved.Type

/** Notifies the cell's scheduler that rows of jobs or cancellations changed. */
export const JobsChanged = Schema.Struct({ type: Schema.Literal('jobsChanged') })

/** Queries state that only the scheduler's memory holds. */
export const SchedulerQuery = Schema.Struct({
  type: Schema.Literal('schedulerQuery'),
  exchange: Schema.String,
  query: Schema.Literals(['explainJob', 'listTeamShares']),
  /** Id of the job for `explainJob`, otherwise empty. */
  job: Schema.String
})
export type SchedulerQuery = typeof SchedulerQuery.Type

/** Response to a `schedulerQuery`. */
export const SchedulerAnswer = Schema.Struct({
  type: Schema.Literal('schedulerAnswer'),
  exchange: Schema.String,
  /** Response as JSON text, or `null` if the receiver cannot respond. */
  json: Schema.NullOr(Schema.String)
})

/** Requests that the receiver query the advice service on behalf of the sender. */
export const AdviceRequest = Schema.Struct({
  type: Schema.Literal('adviceRequest'),
  exchange: Schema.String,
  /** `job.occurrence.step` */
  step: Schema.String,
  workers: Schema.Array(Schema.String),
  /** Estimated service time of the query, in milliseconds. */
  costMs: Schema.Finite,
  /** Maximum queued work ahead of the query, in milliseconds; the query is declined beyond it. */
  mostQueuedMs: Schema.Finite,
  /** Timeout of the sender, in milliseconds. */
  patienceMs: Schema.Finite
})
export type AdviceRequest = typeof AdviceRequest.Type

/** Response to an `adviceRequest`. */
export const AdviceReply = Schema.Struct({
  type: Schema.Literal('adviceReply'),
  exchange: Schema.String,
  /** Pairs of worker and ticket, or `null` if the service did not respond or the query was declined. */
  good: Schema.NullOr(Schema.Array(Schema.Tuple([Schema.String, Schema.String]))),
  /** Queued work because of which the query was declined, in milliseconds; 0 if it was accepted. */
  queuedMs: Schema.Finite
})
export type AdviceReply = typeof AdviceReply.Type

/** Notifies the holder of a partition of a row that was just written for it. */
export const JobNews = Schema.Struct({
  type: Schema.Literal('jobNews'),
  cell: Schema.String,
  key: Schema.String,
  value: Schema.String
})
export type JobNews = typeof JobNews.Type

/** Announces a submission in doubt: its write got no response, so a peer that receives the job again must not report it as refused. */
export const JobUnsettled = Schema.Struct({ type: Schema.Literal('jobUnsettled'), job: Schema.String })

/** Notifies the receiver that the row of a partition's holder changed and should be read at once. */
export const CellChanged = Schema.Struct({ type: Schema.Literal('cellChanged'), cell: Schema.String })

/** The sender holds the partition but cannot commit; a peer that can reach the table may take it over. */
export const CellStuck = Schema.Struct({ type: Schema.Literal('cellStuck'), cell: Schema.String, epoch: Schema.Int })

/** The sender is shutting down gracefully and accepts no more work. */
export const EntryLeaving = Schema.Struct({ type: Schema.Literal('entryLeaving') })

const RelayedRowName = Schema.Struct({ table: Schema.String, key: Schema.String })
const RelayedRow = Schema.Struct({
  table: Schema.String,
  part: Schema.String,
  key: Schema.String,
  value: Schema.String,
  version: Schema.Finite,
  deleted: Schema.Boolean
})

/** Asks a peer to make a call to the platform's table, which does not serve the sender. */
export const TableRequest = Schema.Struct({
  type: Schema.Literal('tableRequest'),
  exchange: Schema.String,
  call: Schema.Union([
    Schema.Struct({
      kind: Schema.Literal('commit'),
      transaction: Schema.Struct({
        part: Schema.String,
        checks: Schema.Array(Schema.Struct({ ...RelayedRowName.fields, version: Schema.Finite })),
        writes: Schema.Array(Schema.Struct({ ...RelayedRowName.fields, value: Schema.String })),
        deletes: Schema.Array(RelayedRowName)
      })
    }),
    Schema.Struct({
      kind: Schema.Literal('readRange'),
      range: Schema.Struct({ table: Schema.String, part: Schema.String, from: Schema.optionalKey(Schema.String), to: Schema.optionalKey(Schema.String) })
    }),
    Schema.Struct({ kind: Schema.Literal('readChanges'), table: Schema.String, version: Schema.Finite, waitMs: Schema.Finite })
  ])
})
export type TableRequest = typeof TableRequest.Type

/** Response to a `tableRequest`. */
export const TableReply = Schema.Struct({
  type: Schema.Literal('tableReply'),
  exchange: Schema.String,
  result: Schema.Union([
    Schema.Struct({ kind: Schema.Literal('applied'), version: Schema.Finite }),
    Schema.Struct({ kind: Schema.Literal('conflict'), rows: Schema.Array(RelayedRow) }),
    Schema.Struct({ kind: Schema.Literal('rows'), rows: Schema.Array(RelayedRow), version: Schema.Finite }),
    Schema.Struct({ kind: Schema.Literal('changes'), rows: Schema.Array(RelayedRow), version: Schema.Finite }),
    Schema.Struct({ kind: Schema.Literal('historyLost') }),
    /** `refused`: the call had no effect; `unknown`: it may have taken effect, or may still do so. */
    Schema.Struct({ kind: Schema.Literals(['refused', 'unknown']), message: Schema.String })
  ])
})
export type TableReply = typeof TableReply.Type

/** Union of all messages on a link. */
export const LinkMessage = Schema.Union([
  Hello,
  Heartbeat,
  ConfigPull,
  ConfigPush,
  ConfigQuery,
  ConfigState,
  ForwardRequest,
  TicketRequest,
  ForwardReply,
  ForwardQuery,
  ForwardCancel,
  WorkerDesired,
  WorkerObserved,
  JobsChanged,
  SchedulerQuery,
  SchedulerAnswer,
  AdviceRequest,
  AdviceReply,
  JobNews,
  JobUnsettled,
  CellChanged,
  CellStuck,
  EntryLeaving,
  TableRequest,
  TableReply
])
export type LinkMessage = typeof LinkMessage.Type
