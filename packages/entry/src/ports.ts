/** Interfaces at which the entry meets the outside; tests replace them by fakes. */
import type {
  CommandReport, ConfigDocument, Disposable, LeaseCommand, LeaseReport, LinkMessage, RequestOutcome,
  ServiceRequest, StartCommand, StopCommand, Team
} from '@fuchsiatally/core'
import type { Result } from 'neverthrow'

/** A call to a worker that gave no usable answer; it may or may not have taken effect. */
export interface WorkerFailure {
  readonly kind: 'unreachable' | 'timeout' | 'malformed'
  readonly message: string
}

/** `POST /lease` was refused: the worker has seen this higher epoch. */
export interface StaleEpoch {
  readonly kind: 'staleEpoch'
  readonly epoch: number
}

/** Lease and task interface of one worker VM. */
export interface WorkerClient {
  renewLease: (command: LeaseCommand) => Promise<Result<LeaseReport, WorkerFailure | StaleEpoch>>
  startTask: (command: StartCommand) => Promise<Result<CommandReport, WorkerFailure>>
  stopTask: (command: StopCommand) => Promise<Result<CommandReport, WorkerFailure>>
}

/** Creates the client of a worker by its `host:port`. */
export type WorkerClientFactory = (address: string) => WorkerClient

/** A peer that a link is up to. */
export interface Peer {
  readonly entry: string
  readonly incarnation: string
  readonly failureDomain: string
}

/** Links to the other entries. */
export interface PeerMesh {
  /** Peers with a live link at this moment. */
  listPeers: () => readonly Peer[]
  /** Queues a message; `false` if no live link exists or its send buffer is full, then nothing was sent. */
  sendMessage: (incarnation: string, message: LinkMessage) => boolean
  /** Sends to every live peer. */
  broadcastMessage: (message: LinkMessage) => void
  /** Registers the receiver of messages of one type; one receiver each. */
  onMessage: <T extends LinkMessage['type']>(
    type: T, receive: (message: Extract<LinkMessage, { type: T }>, from: Peer) => void
  ) => void
  /** Registers a receiver of the news that the link to an incarnation came up or is gone. */
  onPeerChange: (receive: (peer: Peer, change: 'up' | 'down') => void) => void
}

/** How one exchange with an endpoint ended. */
export type ExchangeResult =
  /** The endpoint answered in full. */
  | { readonly kind: 'answered', readonly outcome: Extract<RequestOutcome, { kind: 'completed' }> }
  /** For certain nothing ran: no byte left, or the endpoint refused (HTTP 503 with `Fuchsiatally-Refused: 1`). */
  | { readonly kind: 'refused', readonly reason: string }
  /** The exchange broke after a byte may have left; `final` if another try would end the same way. */
  | { readonly kind: 'broken', readonly reason: string, readonly final?: boolean }

/** Sends exchanges to endpoints over pooled connections. */
export interface EndpointClient extends Disposable {
  /** @param maxConnections connections that the endpoint accepts */
  sendExchange: (
    address: string, request: ServiceRequest, timeoutMs: number, maxBodyBytes: number, maxConnections: number
  ) => Promise<ExchangeResult>
}

/** A worker that this entry is in contact with as owner. */
export interface OwnedWorker {
  readonly id: string
  readonly epoch: number
  readonly rack: string
  /** Whether exchanges may be sent to its runners now. */
  readonly hasContact: boolean
  /** Leaving in the VM list or drained by an operator: no new work. */
  readonly leaving: boolean
  readonly runners: readonly { readonly service: string, readonly address: string, readonly busy: number }[]
}

/** The workers owned by this entry, as routing sees them. */
export interface OwnedWorkers {
  listOwnedWorkers: () => readonly OwnedWorker[]
}

/** What the table says of one entry's session, as this entry sees it. */
export interface SessionView {
  readonly entry: string
  readonly incarnation: string
  readonly failureDomain: string
  /** `host:port` of the entry's link listener. */
  readonly linkAddress: string
  /** `host:port` of the entry's HTTP listener. */
  readonly httpAddress: string
  readonly leaving: boolean
  readonly configVersion: number
  /** The row has not changed for the session's time and the allowance, on this process's clock. */
  readonly expired: boolean
}

/** This entry's own session and its view of the others. */
export interface Sessions {
  readonly entry: string
  readonly incarnation: string
  readonly failureDomain: string
  /** Whether this entry's own deadline lies ahead. */
  isValid: () => boolean
  /** Monotonic time before the last good renewal was sent, in milliseconds; `-Infinity` before the first. */
  readLastRenewalMs: () => number
  /** All session rows seen, this entry's own included. */
  listSessions: () => readonly SessionView[]
  /** Whether an incarnation has no valid session any more: its row expired, was replaced or deleted. */
  isGone: (incarnation: string) => boolean
}

/** Configuration in force at this entry. */
export interface ConfigStore {
  /** The document in force, or `null` before the first. */
  readDocument: () => ConfigDocument | null
  /** Runs after each installation of a newer document. */
  onChange: (receive: (document: ConfigDocument) => void) => Disposable
}

/** Why work is not accepted. Unknown, malformed, revoked and foreign keys are one case on purpose. */
export type KeyRefusal = 'unauthorized' | 'configurationStale' | 'noConfiguration'

/** Decides for whom work is accepted. */
export interface KeyRing {
  /**
   * @param authorization the `Authorization` header
   * @param team the team that the caller names; an open queue is named without a key
   */
  checkTeam: (
    authorization: string | undefined, team: string | undefined
  ) => Promise<Result<Team, KeyRefusal>>
  /** Whether the header carries the operators' key of the process settings. */
  isOperator: (authorization: string | undefined) => boolean
}
