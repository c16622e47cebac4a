/** Messages between entries, carried as CBOR frames over links. */
import * as Schema from 'effect/Schema'
import { AttemptId } from './job.js'
import { ConfigDocument } from './manifest.js'
import { RequestOutcome, ServiceRequest } from './request.js'
import { Resources } from './resources.js'

/** First message on a link, in both directions. */
export const Hello = Schema.Struct({
  type: Schema.Literal('hello'),
  entry: Schema.String,
  incarnation: Schema.String,
  failureDomain: Schema.String
})

/** Free slots of one service at the sender's own workers. */
export const FreeSlots = Schema.Struct({
  service: Schema.String,
  free: Schema.Int,
  total: Schema.Int,
  /** Requests queued for the service at the sender. */
  queued: Schema.Int
})
export type FreeSlots = typeof FreeSlots.Type

/** Sent to each peer at a fixed interval; its absence for long enough replaces the link. */
export const Heartbeat = Schema.Struct({
  type: Schema.Literal('heartbeat'),
  sequence: Schema.Int,
  leaving: Schema.Boolean,
  slots: Schema.Array(FreeSlots),
  /** Version of the configuration in force at the sender. */
  configVersion: Schema.Int,
  /** Revoked key ids that are not in the sender's configuration document yet. */
  deniedKeyIds: Schema.Array(Schema.String),
  /** Requests waiting at the sender for a ceiling allotment, by team. */
  allotmentDemand: Schema.Array(Schema.Struct({ team: Schema.String, waiting: Schema.Int }))
})
export type Heartbeat = typeof Heartbeat.Type

/** Asks for the peer's configuration document if it is newer. */
export const ConfigPull = Schema.Struct({ type: Schema.Literal('configPull'), newerThan: Schema.Int })

/** Hands over a configuration document. */
export const ConfigPush = Schema.Struct({ type: Schema.Literal('configPush'), document: ConfigDocument })

/** Asks the peer how current its configuration is. */
export const ConfigQuery = Schema.Struct({ type: Schema.Literal('configQuery'), exchange: Schema.String })

/** Answer to a query; also sent unasked, with an empty exchange, when a key is denied. */
export const ConfigState = Schema.Struct({
  type: Schema.Literal('configState'),
  exchange: Schema.String,
  /** Version in force at the sender, 0 before the first. */
  version: Schema.Int,
  /** Time since the sender knew for certain that nothing newer was in the table, in milliseconds; -1 if never. */
  ageMs: Schema.Finite,
  /** Revoked key ids that are not in the sender's configuration document yet. */
  deniedKeyIds: Schema.Array(Schema.String)
})

/** Asks the receiver, owner of endpoints of the service, to run a request. */
export const ForwardRequest = Schema.Struct({
  type: Schema.Literal('forwardRequest'),
  exchange: Schema.String,
  request: ServiceRequest,
  /** Whether to queue the request if the team holds no part of its ceiling at the owner; else it is not run. */
  mayWait: Schema.Boolean
})

/** Asks the receiver, the incarnation that a ticket names, to run a request under it. */
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
 * Asks the receiver for the outcome of an exchange after the link was replaced; a request that never
 * arrived is barred from running and answered as `notRun`.
 */
export const ForwardQuery = Schema.Struct({ type: Schema.Literal('forwardQuery'), exchange: Schema.String })

/** Tells the receiver that nobody waits for the exchange any longer. */
export const ForwardCancel = Schema.Struct({ type: Schema.Literal('forwardCancel'), exchange: Schema.String })

/** One attempt that a worker shall run. */
export const DesiredTask = Schema.Struct({
  id: AttemptId,
  resources: Resources,
  payload: Schema.String,
  /** Member of a gang whose other owners have not confirmed yet: it is kept ready and not started. */
  held: Schema.optionalKey(Schema.Boolean)
})
export type DesiredTask = typeof DesiredTask.Type

/** An attempt that the worker shall end; it can never start again afterwards. */
export const UndesiredTask = Schema.Struct({ id: AttemptId, checkpoint: Schema.Boolean })
export type UndesiredTask = typeof UndesiredTask.Type

/** Scheduler to owner: the whole set of attempts that a worker shall run, `run` and `keep`; replaces the set sent before. */
export const WorkerDesired = Schema.Struct({
  type: Schema.Literal('workerDesired'),
  cellEpoch: Schema.Int,
  sequence: Schema.Int,
  worker: Schema.String,
  /** Epoch of the worker's ownership that the set was computed for. */
  workerEpoch: Schema.Int,
  run: Schema.Array(DesiredTask),
  /** Attempts that the owner reported as running under this epoch; their details are not sent again. */
  keep: Schema.optionalKey(Schema.Array(AttemptId)),
  end: Schema.Array(UndesiredTask),
  /** Ended attempts that the table records; the worker may forget them. */
  acknowledged: Schema.Array(AttemptId)
})
export type WorkerDesired = typeof WorkerDesired.Type

/** An attempt that ended at its worker. */
export const EndedTask = Schema.Struct({
  id: AttemptId,
  /** `stopped`: ended on command; `refused`: never started and never will; `lapsed`: its lease ran out. */
  result: Schema.Literals(['completed', 'failed', 'stopped', 'refused', 'lapsed']),
  /** How long it ran, in milliseconds. */
  ranMs: Schema.Finite
})
export type EndedTask = typeof EndedTask.Type

/** Usage of one running task, as the worker reports it with a lag. */
export const TaskUsage = Schema.Struct({ id: AttemptId, used: Resources })
export type TaskUsage = typeof TaskUsage.Type

/** Owner to scheduler: what a worker runs and has ended. */
export const WorkerObserved = Schema.Struct({
  type: Schema.Literal('workerObserved'),
  worker: Schema.String,
  workerEpoch: Schema.Int,
  /** Highest cell epoch whose desired set the owner has accepted. */
  cellEpoch: Schema.Int,
  /** Sequence of the desired set in force, 0 if none; one with held tasks counts once the worker has answered after it. */
  desiredSequence: Schema.Int,
  /** `lost`: the worker's task lease has lapsed for certain, nothing started before runs any longer. */
  state: Schema.Literals(['reachable', 'unreachable', 'lost']),
  running: Schema.Array(AttemptId),
  ended: Schema.Array(EndedTask),
  usage: Schema.Array(TaskUsage)
})
export type WorkerObserved = typeof WorkerObserved.Type

/** Tells the cell's scheduler that rows of jobs or cancellations changed. */
export const JobsChanged = Schema.Struct({ type: Schema.Literal('jobsChanged') })

/** Asks the scheduler for what only its memory holds. */
export const SchedulerQuery = Schema.Struct({
  type: Schema.Literal('schedulerQuery'),
  exchange: Schema.String,
  query: Schema.Literals(['explainJob', 'listTeamShares']),
  /** Id of the job for `explainJob`, else empty. */
  job: Schema.String
})
export type SchedulerQuery = typeof SchedulerQuery.Type

/** Answer to a `schedulerQuery`. */
export const SchedulerAnswer = Schema.Struct({
  type: Schema.Literal('schedulerAnswer'),
  exchange: Schema.String,
  /** JSON text of the answer, or `null` if the receiver does not know. */
  json: Schema.NullOr(Schema.String)
})

/** Asks the receiver to get placement advice on behalf of the sender. */
export const AdviceRequest = Schema.Struct({
  type: Schema.Literal('adviceRequest'),
  exchange: Schema.String,
  /** `job.occurrence.step` */
  step: Schema.String,
  workers: Schema.Array(Schema.String),
  /** Time that the advice service needs for the answer, in milliseconds. */
  costMs: Schema.Finite,
  /** Work in front of the question beyond which it is declined, in milliseconds. */
  mostQueuedMs: Schema.Finite,
  /** Time after which the asker has given up, in milliseconds. */
  patienceMs: Schema.Finite
})
export type AdviceRequest = typeof AdviceRequest.Type

/** Answer to an `adviceRequest`. */
export const AdviceReply = Schema.Struct({
  type: Schema.Literal('adviceReply'),
  exchange: Schema.String,
  /** Pairs of worker and ticket, or `null` where the service gave no answer or the question was declined. */
  good: Schema.NullOr(Schema.Array(Schema.Tuple([Schema.String, Schema.String]))),
  /** Work that kept the question from being taken, in milliseconds; 0 where it was taken. */
  queuedMs: Schema.Finite
})
export type AdviceReply = typeof AdviceReply.Type

/** Tells the holder of a cell of a row that was just written for it. */
export const JobNews = Schema.Struct({
  type: Schema.Literal('jobNews'),
  cell: Schema.String,
  key: Schema.String,
  value: Schema.String
})
export type JobNews = typeof JobNews.Type

/** The sender wrote a submission and got no answer: nobody may say that the job was not accepted. */
export const JobUnsettled = Schema.Struct({ type: Schema.Literal('jobUnsettled'), job: Schema.String })

/** The row of a cell's holder has changed: the receiver looks at it at once. */
export const CellChanged = Schema.Struct({ type: Schema.Literal('cellChanged'), cell: Schema.String })

/** The sender holds the cell and can't commit; who reaches the table may take it. */
export const CellStuck = Schema.Struct({ type: Schema.Literal('cellStuck'), cell: Schema.String, epoch: Schema.Int })

/** The sender is in a planned stop: nothing is handed to it any more. */
export const EntryLeaving = Schema.Struct({ type: Schema.Literal('entryLeaving') })

/** Every message that a link carries. */
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
  EntryLeaving
])
export type LinkMessage = typeof LinkMessage.Type
