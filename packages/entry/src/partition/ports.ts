/** Interfaces between a partition's holder and the platform; implemented by the adapter, replaced by fakes in tests. */
import type { ClusterConfig, DecodeError, Disposable, ListedEnd, ListedRun, RunName, StartOrder, WorkerInfo } from '@fuchsiatally/core'
import type { Result } from 'neverthrow'

/** A call without a usable response. */
export interface CallFailure {
  /** `refused`: the call had no effect; `unknown`: it may have taken effect, or may still do so. */
  readonly kind: 'refused' | 'unknown'
  readonly message: string
  /** Whether the call was refused by a rate limit only: the service itself is available. */
  readonly isOverload?: boolean
  /** The event loop of this process was late, so that a missing response says nothing about the other side. */
  readonly isOwnDelay?: true
  /** How the connection failed: nothing listens at the address, or it was closed before the response. Absent if there was no response in time. */
  readonly connection?: 'refused' | 'closed'
}

/** One row of the table. */
export interface TableRow {
  readonly table: string
  readonly part: string
  readonly key: string
  readonly value: string
  /** Increases with each write of the row. */
  readonly version: number
  readonly deleted: boolean
}

/** Identifies a row of a part. */
export interface RowName {
  readonly table: string
  readonly key: string
}

/** Atomic compare-and-set on rows of one part: applied only if all checks hold. */
export interface TableTransaction {
  readonly part: string
  /** Expected versions of rows; 0 for a row that must not exist. */
  readonly checks: readonly (RowName & { readonly version: number })[]
  readonly writes: readonly (RowName & { readonly value: string })[]
  readonly deletes: readonly RowName[]
}

/** Outcome of a transaction. */
export type CommitResult =
  | { readonly kind: 'applied', readonly version: number }
  /** A check failed; `rows` are the checked rows with their current values. */
  | { readonly kind: 'conflict', readonly rows: readonly TableRow[] }

/** A key range of one part of a table. */
export interface TableRange {
  readonly table: string
  readonly part: string
  readonly from?: string
  /** End of the range, exclusive. */
  readonly to?: string
}

/** Rows changed since a version, or the fact that the history since then has been discarded. */
export type TableChanges =
  | { readonly kind: 'changes', readonly rows: readonly TableRow[], readonly version: number }
  | { readonly kind: 'historyLost' }

/** Durable table of the platform. */
export interface PartitionTable {
  /** @param timeoutMs time after which the outcome counts as unknown; default `TABLE_TIMEOUT_MS` */
  commit: (transaction: TableTransaction, timeoutMs?: number) => Promise<Result<CommitResult, CallFailure>>
  /** Reads all rows of a range; `version` is the table's version at or before the read. */
  readRange: (range: TableRange) => Promise<Result<{ rows: readonly TableRow[], version: number }, CallFailure>>
  /** Long poll: waits up to `waitMs` for rows changed after `version`. */
  readChanges: (table: string, version: number, waitMs: number) => Promise<Result<TableChanges, CallFailure>>
}

/** A worker in the platform's list. */
export interface ListedWorker extends WorkerInfo {
  readonly service: string
  /** `host:port` */
  readonly address: string
  /** Start of the listed life, in milliseconds since 1970; absent if the platform doesn't tell. */
  readonly bornAtMs?: number
}

/** Response of a worker to a lease renewal. */
export interface LeaseResponse {
  readonly kind: 'held'
  /** Reading of the worker's monotonic clock, in milliseconds. */
  readonly clockMs: number
  /** Start of the worker's incarnation, in milliseconds since 1970. */
  readonly bornAtMs: number
  /** All runs in progress. */
  readonly running: readonly ListedRun[]
  /** Ended runs that are not acknowledged, in the order of their numbers. */
  readonly ended: readonly ListedEnd[]
  /** The worker lists a limited number of ends at a time: further ones follow once these are acknowledged. */
  readonly hasMoreEnds: boolean
}

/** The worker has accepted a higher epoch. */
export interface Deposed { readonly kind: 'deposed' }

/** A different worker responds at the address. */
export interface OtherWorker { readonly kind: 'otherWorker' }

/** Outcome of an order to start a run. */
export type StartResult =
  /** `clockMs`: the worker's clock, if the response shows it. */
  | { readonly kind: 'started', readonly clockMs: number | null }
  | { readonly kind: 'refused', readonly clockMs?: number | null, readonly reason: 'superseded' | 'late' | 'room' | 'ticket' | 'malformed' | 'unavailable' }
  | Deposed | OtherWorker

/** Options of a lease renewal. */
export interface LeaseRequest {
  readonly epoch: number
  /** Ended runs up to this number are committed; the worker may discard them. */
  readonly acknowledgedEnd: number
  /** Expiry of the lease on the worker's clock, in milliseconds; `null` before the first response. */
  readonly leaseUntilMs: number | null
  /** Longest time that the worker waits for the end of a run before it responds, in milliseconds. */
  readonly waitMs: number
}

/** Client of one worker. */
export interface PartitionWorkerClient extends Disposable {
  renewLease: (request: LeaseRequest) => Promise<Result<LeaseResponse | Deposed | OtherWorker, CallFailure>>
  startRun: (order: StartOrder, epoch: number, leaseUntilMs: number, timeoutMs: number) => Promise<Result<StartResult, CallFailure>>
  stopRun: (run: RunName, epoch: number) => Promise<Result<{ readonly kind: 'answered' } | Deposed | OtherWorker, CallFailure>>
}

/** Client of the advice service, which determines the workers allowed by a queue's policy. */
export interface AdviceClient {
  /** Returns tickets by worker; workers without a ticket are not allowed. */
  requestAdvice: (step: string, workers: readonly string[], timeoutMs: number) => Promise<Result<ReadonlyMap<string, string>, CallFailure>>
}

/** Decoders of rows that the platform writes. */
export interface PlatformRows {
  readonly configTable: string
  readonly configKey: string
  readonly workerTable: string
  /** Rejects rows that don't describe a worker that can be called; others write to its table, too. Never throws. */
  decodeWorker: (row: TableRow) => Result<ListedWorker, DecodeError>
  decodeConfig: (row: TableRow) => ClusterConfig | null
}

/** Reading of both clocks: a suspension stops the monotonic clock, and the wall clock may jump. */
export interface ClockReading {
  readonly nowMs: number
  readonly wallMs: number
}

/** Time bounds stated by the platform. */
export interface PartitionBounds {
  /** Longest lease that a worker accepts, in milliseconds. */
  readonly maxLeaseMs: number
  /** Time after its removal at which a key must no longer be accepted, in milliseconds. */
  readonly revokeMs: number
  /** Retention of the state of an ended job, in milliseconds. */
  readonly statusMs: number
  /** Time for which an entry that lost a partition must not take it over again, in milliseconds: workers cannot fence holders that alternate faster. */
  readonly turnMs: number
}
