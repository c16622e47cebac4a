/**
 * Parts of the client accounts' ceilings that the cells claim from one another.
 *
 * All claims stand in one row of the table, changed by compare-and-set. A cell runs no more of a team than it has claimed, and it
 * claims no more than the others leave, so the sum stays below the ceiling whoever holds the cells.
 */
import * as Schema from 'effect/Schema'
import { addResources, NO_RESOURCES, type Resources } from '../schema/resources.js'

/** Processors, memory and accelerators of a claim. */
const Amounts = Schema.Tuple([Schema.Finite, Schema.Finite, Schema.Finite])
type Amounts = typeof Amounts.Type

/** Row of all claims, by cell and team. */
export const ClaimsRow = Schema.Struct({
  cells: Schema.Record(Schema.String, Schema.Struct({
    epoch: Schema.Int,
    claims: Schema.Record(Schema.String, Amounts),
    /** Teams whose work waits for a larger claim. */
    wanted: Schema.Array(Schema.String)
  }))
})
export type ClaimsRow = typeof ClaimsRow.Type

/** The row before any claim. */
export const NO_CLAIMS: ClaimsRow = { cells: {} }

/** What a team runs in a cell, and what it would run beside that. */
export interface TeamDemand {
  readonly used: Resources
  /** Room of tasks that wait for the ceiling alone. */
  readonly blocked: Resources
}

/** Options of one plan. */
export interface ClaimPlanOptions {
  readonly cell: string
  readonly epoch: number
  readonly row: ClaimsRow
  readonly ceilings: ReadonlyMap<string, Resources>
  /** The cell's part of all capacity by kind of resource, 0 to 1: what it may keep while others want more. */
  readonly share: Resources
  readonly demand: ReadonlyMap<string, TeamDemand>
}

/** Part of a ceiling by which claims exceed what runs, so that not each start needs a change of the row. */
const CLAIM_SLACK = 0.08
/** Part of a ceiling by which a claim may exceed what is wanted before it is lowered. */
const CLAIM_IDLE = 0.25

const FIELDS = ['processors', 'memoryMb', 'accelerators'] as const
type Field = typeof FIELDS[number]

function readClaim (row: ClaimsRow, cell: string, team: string): Resources {
  const [processors, memoryMb, accelerators] = row.cells[cell]?.claims[team] ?? [0, 0, 0]
  return { processors, memoryMb, accelerators }
}

function sumOthers (row: ClaimsRow, cell: string, team: string): Resources {
  let sum = NO_RESOURCES
  for (const other of Object.keys(row.cells)) if (other !== cell) sum = addResources(sum, readClaim(row, other, team))
  return sum
}

function isWantedElsewhere (row: ClaimsRow, cell: string, team: string): boolean {
  return Object.entries(row.cells).some(([other, section]) => other !== cell && section.wanted.includes(team))
}

function computeField (field: Field, ceiling: number, claim: Resources, others: Resources, wanted: number, used: number, keep: number | null): number {
  const room = Math.max(0, ceiling - others[field])
  if (keep !== null) {
    // Another cell's work waits: what lies idle beyond this cell's own part goes back at once.
    const target = Math.max(used, Math.min(keep, wanted))
    return claim[field] > target ? target : Math.max(claim[field], Math.min(room, target))
  }
  if (wanted > claim[field]) return Math.max(claim[field], Math.min(room, wanted))
  if (claim[field] - wanted > CLAIM_IDLE * ceiling) return wanted
  // A lowered ceiling: no claim above what is left.
  return claim[field] > room ? Math.max(used, room) : claim[field]
}

function planTeam (options: ClaimPlanOptions, team: string, ceiling: Resources): Resources {
  const { cell, row, share } = options
  const demand = options.demand.get(team) ?? { used: NO_RESOURCES, blocked: NO_RESOURCES }
  const claim = readClaim(row, cell, team)
  const others = sumOthers(row, cell, team)
  const isWanted = isWantedElsewhere(row, cell, team)
  const planned = { ...NO_RESOURCES }
  for (const field of FIELDS) {
    if (!Number.isFinite(ceiling[field])) continue
    const isUsed = demand.used[field] > 0 || demand.blocked[field] > 0
    const wanted = isUsed ? demand.used[field] + demand.blocked[field] + CLAIM_SLACK * ceiling[field] : 0
    planned[field] = computeField(field, ceiling[field], claim, others, wanted, demand.used[field], isWanted ? share[field] * ceiling[field] : null)
  }
  return planned
}

function toAmounts ({ processors, memoryMb, accelerators }: Resources): Amounts {
  return [processors, memoryMb, accelerators]
}

/** Plans the next row, or `null` if the one that stands will do. */
export function planClaims (options: ClaimPlanOptions): ClaimsRow | null {
  const { cell, epoch, row } = options
  const claims: Record<string, Amounts> = {}
  const wanted: string[] = []
  for (const [team, ceiling] of options.ceilings) {
    const planned = planTeam(options, team, ceiling)
    if (FIELDS.some((field) => planned[field] > 0)) claims[team] = toAmounts(planned)
    const blocked = options.demand.get(team)?.blocked ?? NO_RESOURCES
    if (FIELDS.some((field) => Number.isFinite(ceiling[field]) && blocked[field] > 0)) wanted.push(team)
  }
  const section = { epoch, claims, wanted }
  if (JSON.stringify(section) === JSON.stringify(row.cells[cell])) return null
  return { cells: { ...row.cells, [cell]: section } }
}

/** Smaller of two amounts in each component. */
function computeSmaller (a: Resources, b: Resources): Resources {
  return {
    processors: Math.min(a.processors, b.processors),
    memoryMb: Math.min(a.memoryMb, b.memoryMb),
    accelerators: Math.min(a.accelerators, b.accelerators)
  }
}

/**
 * What a cell may run of each team: its claim, and no more than the ceiling less the others' claims.
 *
 * @param row claims of this cell's epoch as the table has them
 * @param pending claims that were sent and whose fate isn't known: the smaller of both counts
 */
export function computeClaimLimits (
  cell: string, epoch: number, row: ClaimsRow, pending: ClaimsRow | null, ceilings: ReadonlyMap<string, Resources>
): ReadonlyMap<string, Resources> {
  const limits = new Map<string, Resources>()
  for (const [team, ceiling] of ceilings) {
    const isOwn = row.cells[cell]?.epoch === epoch
    let limit = isOwn ? readClaim(row, cell, team) : NO_RESOURCES
    if (pending !== null) limit = computeSmaller(limit, readClaim(pending, cell, team))
    const others = sumOthers(row, cell, team)
    const left = { processors: Infinity, memoryMb: Infinity, accelerators: Infinity }
    for (const field of FIELDS) {
      if (Number.isFinite(ceiling[field])) left[field] = Math.max(0, ceiling[field] - others[field])
      else limit = { ...limit, [field]: Infinity }
    }
    limits.set(team, computeSmaller(limit, left))
  }
  return limits
}
