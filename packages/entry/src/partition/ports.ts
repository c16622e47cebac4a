/** Interfaces at which a cell's holder meets the platform; the adapter implements them, tests replace them. */
import type { ClusterConfig, Disposable, ListedEnd, ListedRun, RunName, StartOrder, WorkerFacts } from '@fuchsiatally/core'
import type { Result } from 'neverthrow'

/** A call that had no usable answer. */
export interface CallFailure {
  /** `refused`: nothing was done; `unknown`: it may have been carried out, or may still be. */
  readonly kind: 'refused' | 'unknown'
  readonly message: string
  /** Refused for its rate alone: the service answers. */
  readonly isOverload?: boolean
}

/** One row of the table. */
export interface TableRow {
  readonly table: string
  readonly part: string
  readonly key: string
  readonly value: string
  /** Rises with each write of the row. */
  readonly version: number
  readonly deleted: boolean
}

/** Names a row. */
export interface RowName {
  readonly table: string
  readonly key: string
}

/** Writes of one part that take effect together, if all checks hold. */
export interface TableTransaction {
  readonly part: string
  /** Version that a row must have; 0 for a row that must not exist. */
  readonly checks: readonly (RowName & { readonly version: number })[]
  readonly writes: readonly (RowName & { readonly value: string })[]
  readonly deletes: readonly RowName[]
}

/** Outcome of a transaction. */
export type CommitResult =
  | { readonly kind: 'applied', readonly version: number }
  /** A check failed; the rows checked as they stand. */
  | { readonly kind: 'conflict', readonly rows: readonly TableRow[] }

/** A range of one table. */
export interface TableRange {
  readonly table: string
  readonly part: string
  readonly from?: string
  /** First key beyond the range. */
  readonly to?: string
}

/** Rows changed since a version, or that history since then is gone. */
export type TableChanges =
  | { readonly kind: 'changes', readonly rows: readonly TableRow[], readonly version: number }
  | { readonly kind: 'historyLost' }

/** The table that keeps what must last. */
export interface PartitionTable {
  /** @param timeoutMs time after which the fate counts as unknown; default `TABLE_CALL_MS` */
  commit: (transaction: TableTransaction, timeoutMs?: number) => Promise<Result<CommitResult, CallFailure>>
  /** Reads all rows of a range; `version` is the table's version at or before the read. */
  readRange: (range: TableRange) => Promise<Result<{ rows: readonly TableRow[], version: number }, CallFailure>>
  /** Waits up to `waitMs` for rows changed after `version`. */
  readChanges: (table: string, version: number, waitMs: number) => Promise<Result<TableChanges, CallFailure>>
}

/** A worker as the platform's list shows it. */
export interface ListedWorker extends WorkerFacts {
  readonly service: string
  /** `host:port` */
  readonly address: string
}

/** Complete answer of a worker to a lease renewal. */
export interface LeaseAnswer {
  readonly kind: 'held'
  /** Time of the worker's steady clock, in milliseconds. */
  readonly clockMs: number
  /** Start of the worker's incarnation, in milliseconds since 1970. */
  readonly bornAtMs: number
  readonly running: readonly ListedRun[]
  readonly ended: readonly ListedEnd[]
}

/** The worker obeys a higher epoch. */
export interface Deposed { readonly kind: 'deposed' }

/** Another worker answers at the address. */
export interface OtherWorker { readonly kind: 'otherWorker' }

/** Outcome of an order to start a run. */
export type StartResult =
  | { readonly kind: 'started', readonly clockMs: number }
  | { readonly kind: 'refused', readonly reason: 'superseded' | 'late' | 'room' | 'ticket' | 'malformed' | 'unavailable' }
  | Deposed | OtherWorker

/** Options of a lease renewal. */
export interface LeaseRequest {
  readonly epoch: number
  /** Ends up to this number are stored; the worker may forget them. */
  readonly acknowledgedEnd: number
  /** Time of the worker's clock until which its runs may go on; `null` before the first answer. */
  readonly leaseUntilMs: number | null
  /** Longest time that the worker waits for an end before it answers, in milliseconds. */
  readonly waitMs: number
}

/** Calls of one worker. */
export interface PartitionWorkerClient extends Disposable {
  renewLease: (request: LeaseRequest) => Promise<Result<LeaseAnswer | Deposed | OtherWorker, CallFailure>>
  startRun: (order: StartOrder, epoch: number, leaseUntilMs: number, timeoutMs: number) => Promise<Result<StartResult, CallFailure>>
  stopRun: (run: RunName, epoch: number) => Promise<Result<{ readonly kind: 'answered' } | Deposed | OtherWorker, CallFailure>>
}

/** The service that knows which workers a queue's policy allows. */
export interface AdviceClient {
  /** Tickets by worker; workers that are missing are not allowed. */
  askAdvice: (step: string, workers: readonly string[], timeoutMs: number) => Promise<Result<ReadonlyMap<string, string>, CallFailure>>
}

/** Decodes rows that others write. */
export interface PlatformRows {
  readonly configTable: string
  readonly configKey: string
  readonly workerTable: string
  /** `null` for a row that no worker of ours wrote. */
  decodeWorker: (row: TableRow) => ListedWorker | null
  decodeConfig: (row: TableRow) => ClusterConfig | null
}

/** Bounds that the platform states. */
export interface PartitionBounds {
  /** Longest lease that a worker grants, in milliseconds. */
  readonly maxLeaseMs: number
  /** Time within which a removed key must stop working, in milliseconds. */
  readonly revokeMs: number
  /** Time for which the state of an ended job is kept, in milliseconds. */
  readonly statusMs: number
  /** Time within which a holder of the same workers must not take turns with another, in milliseconds. */
  readonly turnMs: number
}
