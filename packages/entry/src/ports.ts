/** Interfaces between the entry and its environment; tests replace them with fakes. */
import type {
  CommandReport, ConfigDocument, Disposable, LeaseCommand, LeaseReport, LinkMessage, RequestOutcome,
  ServiceRequest, StartCommand, StopCommand, Team
} from '@fuchsiatally/core'
import type { Result } from 'neverthrow'

/** A call to a worker without a usable response; it may or may not have taken effect. */
export interface WorkerFailure {
  readonly kind: 'unreachable' | 'timeout' | 'malformed'
  readonly message: string
  /** The event loop of this process was late, so that the timeout says nothing about the worker. */
  readonly isOwnDelay?: true
}

/** `POST /lease` was refused because the worker has seen a higher epoch. */
export interface StaleEpoch {
  readonly kind: 'staleEpoch'
  readonly epoch: number
}

/** Client of the lease and task interface of a worker VM. */
export interface WorkerClient {
  renewLease: (command: LeaseCommand) => Promise<Result<LeaseReport, WorkerFailure | StaleEpoch>>
  startTask: (command: StartCommand) => Promise<Result<CommandReport, WorkerFailure>>
  stopTask: (command: StopCommand) => Promise<Result<CommandReport, WorkerFailure>>
}

/** Creates the client of the worker at a `host:port`. */
export type WorkerClientFactory = (address: string) => WorkerClient

/** Another entry to which a link is established. */
export interface Peer {
  readonly entry: string
  readonly incarnation: string
  readonly failureDomain: string
}

/** Links to the other entries. */
export interface PeerMesh {
  /** Peers with a live link at this moment. */
  listPeers: () => readonly Peer[]
  /** Queues a message; returns `false` without sending it if there is no live link or its send buffer is full. */
  sendMessage: (incarnation: string, message: LinkMessage) => boolean
  /** Sends to every live peer. */
  broadcastMessage: (message: LinkMessage) => void
  /** Registers the receiver of a message type; each type has one receiver. */
  onMessage: <T extends LinkMessage['type']>(
    type: T, receive: (message: Extract<LinkMessage, { type: T }>, from: Peer) => void
  ) => void
  /** Registers a listener for links that come up or go down. */
  onPeerChange: (receive: (peer: Peer, change: 'up' | 'down') => void) => void
}

/** Outcome of an exchange with an endpoint. */
export type ExchangeResult =
  /** The endpoint sent a complete response. */
  | { readonly kind: 'answered', readonly outcome: Extract<RequestOutcome, { kind: 'completed' }> }
  /** The request was certainly not executed: no byte was sent, or the endpoint refused it (HTTP 503 with `Fuchsiatally-Refused: 1`). */
  | { readonly kind: 'refused', readonly reason: string }
  /** The exchange failed after a byte may have been sent; `final` if a retry would fail in the same way. */
  | { readonly kind: 'broken', readonly reason: string, readonly final?: boolean }

/** Sends exchanges to endpoints over pooled connections. */
export interface EndpointClient extends Disposable {
  /** @param maxConnections largest number of connections that the endpoint accepts */
  sendExchange: (
    address: string, request: ServiceRequest, timeoutMs: number, maxBodyBytes: number, maxConnections: number
  ) => Promise<ExchangeResult>
}

/** A worker that this entry owns and is in contact with. */
export interface OwnedWorker {
  readonly id: string
  readonly epoch: number
  readonly rack: string
  /** Whether exchanges may currently be sent to its runners. */
  readonly hasContact: boolean
  /** Whether the worker accepts no new work, because the VM list shows it as leaving or an operator drains it. */
  readonly leaving: boolean
  readonly runners: readonly { readonly service: string, readonly address: string, readonly busy: number }[]
}

/** View of the workers owned by this entry, for routing. */
export interface OwnedWorkers {
  listOwnedWorkers: () => readonly OwnedWorker[]
}

/** Session of an entry as observed in the table by this entry. */
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
  /** Whether the row has not changed for the session timeout plus the clock allowance, on the clock of this process. */
  readonly expired: boolean
}

/** Session of this entry and its view of other sessions. */
export interface Sessions {
  readonly entry: string
  readonly incarnation: string
  readonly failureDomain: string
  /** Whether this entry's own session deadline has not passed. */
  isValid: () => boolean
  /** Monotonic time taken before the last successful renewal was sent, in milliseconds; `-Infinity` before the first. */
  readLastRenewalMs: () => number
  /** All observed sessions, including this entry's own. */
  listSessions: () => readonly SessionView[]
  /** Whether the session of an incarnation has ended: its row has expired, was replaced or was deleted. */
  isGone: (incarnation: string) => boolean
}

/** Store of the configuration in force at this entry. */
export interface ConfigStore {
  /** Document in force, or `null` before the first. */
  readDocument: () => ConfigDocument | null
  /** Runs after each installation of a newer document. */
  onChange: (receive: (document: ConfigDocument) => void) => Disposable
}

/** Reason to refuse a key. Unknown, malformed, revoked and foreign keys deliberately have the same one. */
export type KeyRefusal = 'unauthorized' | 'configurationStale' | 'noConfiguration'

/** Authenticates callers and operators. */
export interface KeyRing {
  /**
   * @param authorization the `Authorization` header
   * @param team the team named by the caller; required for an open queue, which is used without a key
   */
  checkTeam: (
    authorization: string | undefined, team: string | undefined
  ) => Promise<Result<Team, KeyRefusal>>
  /** Whether the header contains the operator key of the process settings. */
  isOperator: (authorization: string | undefined) => boolean
}
