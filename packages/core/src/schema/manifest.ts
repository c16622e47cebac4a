/** The operators' manifest: teams, services and policies of one cell. */
import * as Schema from 'effect/Schema'
import { Resources } from './resources.js'

const NonNegative = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))
const Positive = Schema.Int.check(Schema.isGreaterThanOrEqualTo(1))
const Name = Schema.String.check(Schema.isPattern(/^[a-z0-9][a-z0-9._-]{0,62}$/))
const Sha256 = Schema.String.check(Schema.isPattern(/^[0-9a-f]{64}$/))

/** Grant of an API key; only the key's hash is stored. */
export const KeyGrant = Schema.Struct({
  /** Public id of the key, unique in the cell. */
  id: Name,
  /** SHA-256 of the key, in hexadecimal. */
  sha256: Sha256
})
export type KeyGrant = typeof KeyGrant.Type

/** Limit on what a team may run at the same time across all workers. */
export const Ceiling = Schema.Struct({
  resources: Resources,
  /** Maximum number of the team's requests in flight at endpoints. */
  requests: NonNegative
})
export type Ceiling = typeof Ceiling.Type

/** Admission limits of a team. */
export const TeamLimits = Schema.Struct({
  /** Maximum number of requests in the team's queue at one entry. */
  queuedRequests: NonNegative,
  /** Average rate of requests accepted at one entry, per second. */
  requestsPerS: Positive,
  /** Maximum number of the team's jobs that have not ended, across the cell. */
  activeJobs: NonNegative
})
export type TeamLimits = typeof TeamLimits.Type

/** A team: a client account with its share, limits and keys. */
export const Team = Schema.Struct({
  name: Name,
  /** Weight of the team's fair share when the cluster is full. */
  share: Schema.Finite.check(Schema.isGreaterThan(0)),
  ceiling: Ceiling,
  limits: TeamLimits,
  /** Whether requests in the team's name are accepted without a key. */
  open: Schema.Boolean,
  /** Whether an entry that cannot learn of key revocations still accepts requests with a key. */
  whenCut: Schema.Literals(['serve', 'refuse']),
  keys: Schema.Array(KeyGrant)
})
export type Team = typeof Team.Type

/** A service whose requests are answered by runners on the workers of a pool. */
export const Service = Schema.Struct({
  name: Name,
  pool: Schema.String,
  /** Number of exchanges that one runner handles concurrently. */
  slotsPerRunner: Positive,
  /** Maximum number of connections that one runner accepts. */
  connectionsPerRunner: Positive,
  /** Timeout of an exchange, in milliseconds. */
  timeoutMs: Positive,
  /** Maximum size of request and response bodies, in bytes. */
  maxBodyBytes: Positive,
  /** Resources reserved for the runner on each worker of the pool. */
  reserve: Resources
})
export type Service = typeof Service.Type

/** Accounting window of the teams' shares. */
export const ShareWindow = Schema.Struct({
  /** End of the window as UTC time of day, in minutes after midnight. */
  endMinuteOfDay: NonNegative.check(Schema.isLessThanOrEqualTo(1439)),
  /** Length of the window, in minutes. */
  lengthMinutes: Positive
})
export type ShareWindow = typeof ShareWindow.Type

/** Manifest of one cell. */
export const Manifest = Schema.Struct({
  cell: Name,
  shareWindow: ShareWindow,
  teams: Schema.Array(Team),
  services: Schema.Array(Service)
})
export type Manifest = typeof Manifest.Type

/** Row `config/current`: the manifest in force, and changes that operators made outside of it. */
export const ConfigDocument = Schema.Struct({
  /** Grows by one with each accepted change. */
  version: Positive,
  manifest: Manifest,
  /** Keys granted individually, in addition to those in the manifest. */
  grants: Schema.Array(Schema.Struct({ team: Name, grant: KeyGrant })),
  /** Ids of revoked keys; ids are never removed from this list. */
  revokedKeyIds: Schema.Array(Name),
  /** Worker VMs drained by operators. */
  drainedVms: Schema.Array(Schema.String),
  /** Write ids of recent changes, so that a writer can resolve a write of unknown outcome. */
  recentChanges: Schema.optionalKey(Schema.Array(Schema.Struct({ version: Positive, writeId: Schema.String })))
})
export type ConfigDocument = typeof ConfigDocument.Type
