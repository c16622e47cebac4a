/**
 * Distributed concurrency limit of a team's requests: the ceiling is split into parts held by entries.
 *
 * The row `allotment/<team>` is authoritative. Only a holder lowers its own part, and it debits itself before it
 * sends the transaction; a part grows only by what the row already shows as free or released. A transaction of
 * unknown outcome stays pending until the row shows a version above the one that it checked.
 */
import * as Schema from 'effect/Schema'

const NonNegative = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))

/** Value of the row `allotment/<team>`. */
export const AllotmentRow = Schema.Struct({
  /** Version of the configuration that defines the ceiling. */
  configVersion: NonNegative,
  ceiling: NonNegative,
  /** Maximum number of exchanges in flight, by incarnation. */
  parts: Schema.Record(Schema.String, NonNegative)
})
export type AllotmentRow = typeof AllotmentRow.Type

/** Input of `planChange`. */
export interface AllotmentNeeds {
  /** Number of waiting exchanges that a larger part would allow to start. */
  readonly wanted: number
  /** Amounts requested by other holders whose parts are exhausted. */
  readonly transfers: readonly { readonly incarnation: string, readonly amount: number }[]
  /** Incarnations whose exchanges are known to have ended. */
  readonly ended: readonly string[]
}

/** A change of the row, written only if the row's version is still `checkVersion`. */
export interface AllotmentPlan {
  readonly checkVersion: number
  readonly row: AllotmentRow
}

/** One holder's part of one team's ceiling. */
export interface Allotment {
  /** Counts one exchange as in flight, or returns `false` if the part is exhausted. */
  charge: () => boolean
  /** Releases one counted exchange. */
  release: () => void
  /** Applies the ceiling of a configuration; ignored unless its version is higher than the known one. */
  updateCeiling: (ceiling: number, configVersion: number) => void
  /** Applies a row as read or written; ignored unless its version is higher than the known one. */
  updateRow: (version: number, row: AllotmentRow | null) => void
  /** Plans a transaction and debits what it releases; `undefined` if none is needed or one is pending. */
  planChange: (needs: AllotmentNeeds) => AllotmentPlan | undefined
  /** Plans the release of the whole part; `undefined` while anything is in flight. */
  planRelease: () => AllotmentPlan | undefined
  /** Discards the pending transaction after a conflict: it can no longer take effect. */
  dropPlan: () => void
  /** Maximum number of exchanges in flight according to the row. */
  readPart: () => number
  countInUse: () => number
  /** Number of exchanges that may start now. */
  countFree: () => number
  /** Incarnations with a part in the row. */
  listHolders: () => string[]
}

/** Computes the sum of all parts of a row. */
export function sumParts (row: AllotmentRow): number {
  let sum = 0
  for (const part of Object.values(row.parts)) sum += part
  return sum
}

const NO_ROW: AllotmentRow = { configVersion: 0, ceiling: 0, parts: {} }

/** Creates the holder of a part; the part is 0 until a row shows otherwise. */
export function createAllotment (incarnation: string): Allotment {
  let version = 0
  let row = NO_ROW
  let configured = { ceiling: 0, configVersion: 0 }
  let inUse = 0
  let pending: { readonly debit: number } | null = null

  const getPart = (): number => row.parts[incarnation] ?? 0

  const getCeiling = (): { ceiling: number, configVersion: number } =>
    row.configVersion > configured.configVersion ? row : configured

  /** While the parts exceed a lowered ceiling, each holder limits itself to its proportional share of the ceiling. */
  const countUsable = (): number => {
    const part = getPart()
    const { ceiling } = getCeiling()
    const sum = sumParts(row)
    const held = part - (pending?.debit ?? 0)
    return sum > ceiling ? Math.min(held, Math.floor(part * ceiling / sum)) : held
  }

  const countFree = (): number => Math.max(0, countUsable() - inUse)

  const setPending = (next: AllotmentRow): AllotmentPlan => {
    const plan = { checkVersion: version, row: next }
    pending = { debit: Math.max(0, getPart() - (next.parts[incarnation] ?? 0)) }
    return plan
  }

  const applyTransfers = (parts: Record<string, number>, transfers: AllotmentNeeds['transfers']): void => {
    let free = countFree()
    for (const transfer of transfers) {
      const amount = Math.min(free, transfer.amount)
      if (amount <= 0 || transfer.incarnation === incarnation) continue
      parts[transfer.incarnation] = (parts[transfer.incarnation] ?? 0) + amount
      parts[incarnation] = getPart() - (countFree() - free) - amount
      free -= amount
    }
  }

  /** Computes the new parts: releases unused capacity if the sum exceeds the ceiling, else grows or transfers parts. */
  const computeParts = (needs: AllotmentNeeds): Record<string, number> => {
    const parts: Record<string, number> = { ...row.parts }
    for (const ended of needs.ended) if (ended !== incarnation) delete parts[ended]
    const spare = getCeiling().ceiling - sumParts({ ...row, parts })
    const unused = Math.max(0, getPart() - inUse)
    if (spare < 0) {
      if (unused > 0) parts[incarnation] = getPart() - Math.min(unused, -spare)
    } else if (needs.wanted > 0) {
      const taken = Math.min(needs.wanted, spare)
      if (taken > 0) parts[incarnation] = getPart() + taken
    } else {
      applyTransfers(parts, needs.transfers)
    }
    for (const [holder, part] of Object.entries(parts)) if (part === 0) delete parts[holder]
    return parts
  }

  const hasChanged = (next: AllotmentRow): boolean => {
    if (next.ceiling !== row.ceiling) return true
    const holders = new Set([...Object.keys(next.parts), ...Object.keys(row.parts)])
    for (const holder of holders) if (next.parts[holder] !== row.parts[holder]) return true
    return false
  }

  const planChange = (needs: AllotmentNeeds): AllotmentPlan | undefined => {
    if (pending !== null) return undefined
    const { ceiling, configVersion } = getCeiling()
    if (configVersion === 0) return undefined
    const next = { configVersion, ceiling, parts: computeParts(needs) }
    return hasChanged(next) ? setPending(next) : undefined
  }

  return {
    charge: () => {
      if (inUse >= countUsable()) return false
      inUse += 1
      return true
    },
    release: () => {
      if (inUse === 0) throw new Error('released more exchanges than were charged')
      inUse -= 1
    },
    updateCeiling: (ceiling, configVersion) => {
      if (configVersion > configured.configVersion) configured = { ceiling, configVersion }
    },
    updateRow: (newVersion, newRow) => {
      if (newVersion <= version) return
      version = newVersion
      row = newRow ?? NO_ROW
      // The pending transaction checked an older version: either it is included in this row or it can never be applied.
      pending = null
    },
    planChange,
    planRelease: () => {
      if (pending !== null || inUse > 0 || getPart() === 0) return undefined
      const parts = { ...row.parts }
      delete parts[incarnation]
      return setPending({ ...row, parts })
    },
    dropPlan: () => { pending = null },
    readPart: getPart,
    countInUse: () => inUse,
    countFree,
    listHolders: () => Object.keys(row.parts)
  }
}
