/** The operators' manifest: teams, services and policies of one cell. */
import * as Schema from 'effect/Schema'
import { Resources } from './resources.js'

const NotNegative = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))
const Positive = Schema.Int.check(Schema.isGreaterThanOrEqualTo(1))
const Name = Schema.String.check(Schema.isPattern(/^[a-z0-9][a-z0-9._-]{0,62}$/))
const Sha256 = Schema.String.check(Schema.isPattern(/^[0-9a-f]{64}$/))

/** A key's grant; the key itself is never stored. */
export const KeyGrant = Schema.Struct({
  /** Public name of the key, unique in the cell. */
  id: Name,
  /** SHA-256 of the key, in hexadecimal. */
  sha256: Sha256
})
export type KeyGrant = typeof KeyGrant.Type

/** Most that a team runs at any moment across the fleet. */
export const Ceiling = Schema.Struct({
  resources: Resources,
  /** Requests that endpoints work on for the team at once. */
  requests: NotNegative
})
export type Ceiling = typeof Ceiling.Type

/** Limits of a team at each entry. */
export const TeamLimits = Schema.Struct({
  /** Requests waiting in the team's queue at one entry. */
  queuedRequests: NotNegative,
  /** Requests accepted a second at one entry, on average. */
  requestsPerS: Positive,
  /** Jobs that have not ended, across the cell. */
  activeJobs: NotNegative
})
export type TeamLimits = typeof TeamLimits.Type

/** One team. */
export const Team = Schema.Struct({
  name: Name,
  /** Weight of the team's share of a full cluster. */
  share: Schema.Finite.check(Schema.isGreaterThan(0)),
  ceiling: Ceiling,
  limits: TeamLimits,
  /** Whether the team's queue is open to all callers, without a key. */
  open: Schema.Boolean,
  /** What an entry does with keyed work while it cannot learn of revocations. */
  whenCut: Schema.Literals(['serve', 'refuse']),
  keys: Schema.Array(KeyGrant)
})
export type Team = typeof Team.Type

/** One service: requests that runners of a pool answer. */
export const Service = Schema.Struct({
  name: Name,
  pool: Schema.String,
  /** Exchanges that one runner works on at once. */
  slotsPerRunner: Positive,
  /** Connections that one runner accepts. */
  connectionsPerRunner: Positive,
  /** Longest time an exchange may take, in milliseconds. */
  timeoutMs: Positive,
  /** Largest request and answer body, in bytes. */
  maxBodyBytes: Positive,
  /** Resources that each worker of the pool keeps free of tasks for the runner. */
  reserve: Resources
})
export type Service = typeof Service.Type

/** When shares are settled. */
export const ShareWindow = Schema.Struct({
  /** UTC time of day at which the window ends, in minutes after midnight. */
  endMinuteOfDay: NotNegative.check(Schema.isLessThanOrEqualTo(1439)),
  /** Length of the window, in minutes. */
  lengthMinutes: Positive
})
export type ShareWindow = typeof ShareWindow.Type

/** The whole manifest of one cell. */
export const Manifest = Schema.Struct({
  cell: Name,
  shareWindow: ShareWindow,
  teams: Schema.Array(Team),
  services: Schema.Array(Service)
})
export type Manifest = typeof Manifest.Type

/** Row `config/current`: the manifest in force with what operators changed beside it. */
export const ConfigDocument = Schema.Struct({
  /** Grows by one with each accepted change. */
  version: Positive,
  manifest: Manifest,
  /** Keys granted one by one, beside those of the manifest. */
  grants: Schema.Array(Schema.Struct({ team: Name, grant: KeyGrant })),
  /** Ids of revoked keys; an id never leaves this list. */
  revokedKeyIds: Schema.Array(Name),
  /** Worker VMs that operators drain. */
  drainedVms: Schema.Array(Schema.String),
  /** Write ids of the last changes, so that the writer of a lost answer learns its change's fate. */
  recentChanges: Schema.optionalKey(Schema.Array(Schema.Struct({ version: Positive, writeId: Schema.String })))
})
export type ConfigDocument = typeof ConfigDocument.Type
