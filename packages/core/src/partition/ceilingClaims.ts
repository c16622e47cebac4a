/**
 * Distribution of the teams' resource ceilings among partitions.
 *
 * All claims are stored in one row of the table, updated by compare-and-set. A partition runs no more tasks of a team than it has
 * claimed, and claims no more than the other partitions leave, so the sum never exceeds the ceiling, whichever entries hold the partitions.
 */
import * as Schema from 'effect/Schema'
import { addResources, NO_RESOURCES, type Resources } from '../schema/resources.js'
import type { CeilingTurn } from './ceilingTurns.js'

/** Processors, memory and accelerators of a claim. */
const Amounts = Schema.Tuple([Schema.Finite, Schema.Finite, Schema.Finite])
type Amounts = typeof Amounts.Type

/** A partition's turn at a team's ceiling; turns are served in the order of their numbers. */
const StoredTurn = Schema.Struct({
  number: Schema.Int,
  /** Claim that the partition needs to start the task or gang that waits. */
  needed: Amounts
})
export type StoredTurn = typeof StoredTurn.Type

/** Row of all claims, by partition and team. */
export const ClaimsRow = Schema.Struct({
  cells: Schema.Record(Schema.String, Schema.Struct({
    epoch: Schema.Int,
    claims: Schema.Record(Schema.String, Amounts),
    /** Teams whose work waits for a larger claim. */
    wanted: Schema.Array(Schema.String),
    /** Turns by team. Rows of earlier versions have none. */
    turns: Schema.optionalKey(Schema.Record(Schema.String, StoredTurn))
  }))
})
export type ClaimsRow = typeof ClaimsRow.Type

/** Initial row without claims. */
export const NO_CLAIMS: ClaimsRow = { cells: {} }

/** Resources that a team uses in a partition, and those that it needs in addition. */
export interface TeamDemand {
  readonly used: Resources
  /** Resources of tasks that are blocked only by the limit in this partition. */
  readonly blocked: Resources
  /** The task, or the whole gang, that has been blocked for the longest time, of those that a worker and the ceiling have room for; `null` if there is none. */
  readonly longestWaiting: Resources | null
}

/** Demand of a team without work in a partition. */
export const NO_DEMAND: TeamDemand = { used: NO_RESOURCES, blocked: NO_RESOURCES, longestWaiting: null }

/** Options of `planClaims`. */
export interface ClaimPlanOptions {
  readonly partition: string
  readonly epoch: number
  readonly row: ClaimsRow
  readonly ceilings: ReadonlyMap<string, Resources>
  /** The partition's fraction of the total capacity per resource, 0 to 1: what it may keep while other partitions need more. */
  readonly share: Resources
  readonly demand: ReadonlyMap<string, TeamDemand>
  /** Turns at the teams' ceilings; see `createCeilingTurns`. */
  readonly turns?: ReadonlyMap<string, CeilingTurn>
}

/** Fraction of a ceiling claimed in excess of current use, so that not every start needs an update of the row. */
const CLAIM_HEADROOM = 0.08
/** Fraction of a ceiling by which a claim may exceed the need before it is lowered. */
const MAX_IDLE_CLAIM = 0.25

/** Components of resources, each with a ceiling of its own. */
export const FIELDS = ['processors', 'memoryMb', 'accelerators'] as const
type Field = typeof FIELDS[number]

/** Converts stored amounts. */
export function readAmounts ([processors, memoryMb, accelerators]: Amounts): Resources {
  return { processors, memoryMb, accelerators }
}

function readClaim (row: ClaimsRow, partition: string, team: string): Resources {
  return readAmounts(row.cells[partition]?.claims[team] ?? [0, 0, 0])
}

function sumOthers (row: ClaimsRow, partition: string, team: string): Resources {
  let sum = NO_RESOURCES
  for (const other of Object.keys(row.cells)) if (other !== partition) sum = addResources(sum, readClaim(row, other, team))
  return sum
}

function isWantedElsewhere (row: ClaimsRow, partition: string, team: string): boolean {
  return Object.entries(row.cells).some(([other, section]) => other !== partition && section.wanted.includes(team))
}

function computeFieldClaim (field: Field, ceiling: number, claim: Resources, others: Resources, wanted: number, used: number, ownShare: number | null): number {
  const available = Math.max(0, ceiling - others[field])
  if (ownShare !== null) {
    // Tasks of another partition are blocked: release idle capacity beyond this partition's own share at once.
    const target = Math.max(used, Math.min(ownShare, wanted))
    return claim[field] > target ? target : Math.max(claim[field], Math.min(available, target))
  }
  if (wanted > claim[field]) return Math.max(claim[field], Math.min(available, wanted))
  if (claim[field] - wanted > MAX_IDLE_CLAIM * ceiling) return wanted
  // The ceiling was lowered: the claim must not exceed what the others leave.
  return claim[field] > available ? Math.max(used, available) : claim[field]
}

/** Raises the claim of the partition whose turn it is to what it needs, as far as the others leave it; the others release idle claims that it lacks. */
function computeTurnClaim (field: Field, planned: number, options: ClaimPlanOptions, team: string, ceiling: number): number {
  const { partition, row } = options
  const turn = options.turns?.get(team)
  if (turn === undefined || turn.first === null) return planned
  const claim = readClaim(row, partition, team)[field]
  const left = ceiling - sumOthers(row, partition, team)[field]
  if (turn.first === partition) return Math.max(planned, Math.min(left, turn.needed[field]))
  const lacking = turn.needed[field] - readClaim(row, turn.first, team)[field] - (left - claim)
  return Math.min(planned, Math.max(options.demand.get(team)?.used[field] ?? 0, claim - lacking))
}

function planTeam (options: ClaimPlanOptions, team: string, ceiling: Resources): Resources {
  const { partition, row, share } = options
  const demand = options.demand.get(team) ?? NO_DEMAND
  const claim = readClaim(row, partition, team)
  const others = sumOthers(row, partition, team)
  const isWanted = isWantedElsewhere(row, partition, team)
  const planned = { ...NO_RESOURCES }
  for (const field of FIELDS) {
    if (!Number.isFinite(ceiling[field])) continue
    const isUsed = demand.used[field] > 0 || demand.blocked[field] > 0
    const wanted = isUsed ? demand.used[field] + demand.blocked[field] + CLAIM_HEADROOM * ceiling[field] : 0
    const usual = computeFieldClaim(field, ceiling[field], claim, others, wanted, demand.used[field], isWanted ? share[field] * ceiling[field] : null)
    planned[field] = computeTurnClaim(field, usual, options, team, ceiling[field])
  }
  return planned
}

/** Converts amounts to their stored form. */
export function toAmounts ({ processors, memoryMb, accelerators }: Resources): Amounts {
  return [processors, memoryMb, accelerators]
}

/** Computes the next row, or `null` if no change is needed, or the claims are of a later term. */
export function planClaims (options: ClaimPlanOptions): ClaimsRow | null {
  const { partition, epoch, row } = options
  if ((row.cells[partition]?.epoch ?? 0) > epoch) return null
  const claims: Record<string, Amounts> = {}
  const wanted: string[] = []
  const turns: Record<string, StoredTurn> = {}
  for (const [team, ceiling] of options.ceilings) {
    const planned = planTeam(options, team, ceiling)
    if (FIELDS.some((field) => planned[field] > 0)) claims[team] = toAmounts(planned)
    const blocked = options.demand.get(team)?.blocked ?? NO_RESOURCES
    if (FIELDS.some((field) => Number.isFinite(ceiling[field]) && blocked[field] > 0)) wanted.push(team)
    const own = options.turns?.get(team)?.own ?? null
    if (own !== null) turns[team] = own
  }
  const section = { epoch, claims, wanted, ...(Object.keys(turns).length === 0 ? {} : { turns }) }
  if (JSON.stringify(section) === JSON.stringify(row.cells[partition])) return null
  return { cells: { ...row.cells, [partition]: section } }
}

/**
 * Computes the row in which a new term has adopted the partition's claims as they are, so that the previous holder can no longer change
 * them; `null` if there are none, or they are of this term already.
 */
export function takeOverClaims (partition: string, epoch: number, row: ClaimsRow): ClaimsRow | null {
  const section = row.cells[partition]
  if (section === undefined || section.epoch >= epoch) return null
  return { cells: { ...row.cells, [partition]: { ...section, epoch } } }
}

/** Component-wise minimum of two amounts. */
function computeMinimum (a: Resources, b: Resources): Resources {
  return {
    processors: Math.min(a.processors, b.processors),
    memoryMb: Math.min(a.memoryMb, b.memoryMb),
    accelerators: Math.min(a.accelerators, b.accelerators)
  }
}

/**
 * Computes what a partition may run of each team: its claim, capped by the ceiling less the claims of the others.
 *
 * @param row claims as last read from the table; the partition's own claims count only if they are of `epoch`
 * @param pending claims of a write in doubt, or `null`: the smaller of both applies
 */
export function computeClaimLimits (
  partition: string, epoch: number, row: ClaimsRow, pending: ClaimsRow | null, ceilings: ReadonlyMap<string, Resources>
): ReadonlyMap<string, Resources> {
  const limits = new Map<string, Resources>()
  for (const [team, ceiling] of ceilings) {
    const isOwn = row.cells[partition]?.epoch === epoch
    let limit = isOwn ? readClaim(row, partition, team) : NO_RESOURCES
    if (pending !== null) limit = computeMinimum(limit, readClaim(pending, partition, team))
    const others = sumOthers(row, partition, team)
    const left = { processors: Infinity, memoryMb: Infinity, accelerators: Infinity }
    for (const field of FIELDS) {
      if (Number.isFinite(ceiling[field])) left[field] = Math.max(0, ceiling[field] - others[field])
      else limit = { ...limit, [field]: Infinity }
    }
    limits.set(team, computeMinimum(limit, left))
  }
  return limits
}
