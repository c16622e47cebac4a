/**
 * Ceiling on a team's requests, split into parts held by entries.
 *
 * The row `allotment/<team>` is the truth: only a holder lowers its own part, debiting itself before the
 * transaction leaves, and a part rises only by what the row already shows as free or given up. A
 * transaction of unknown fate stays pending until the row shows a version above the one that it checked.
 */
import * as Schema from 'effect/Schema'

const NotNegative = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))

/** Value of the row `allotment/<team>`. */
export const AllotmentRow = Schema.Struct({
  /** Version of the configuration that the ceiling is from. */
  configVersion: NotNegative,
  ceiling: NotNegative,
  /** Exchanges that each incarnation may have in flight. */
  parts: Schema.Record(Schema.String, NotNegative)
})
export type AllotmentRow = typeof AllotmentRow.Type

/** What the holder wants to change. */
export interface AllotmentNeeds {
  /** Exchanges that it would begin if it held more. */
  readonly wanted: number
  /** Parts asked for by starved holders. */
  readonly gives: readonly { readonly incarnation: string, readonly amount: number }[]
  /** Incarnations whose exchanges have ended for certain. */
  readonly ended: readonly string[]
}

/** A change of the row, to be written if the row still has `checkVersion`. */
export interface AllotmentPlan {
  readonly checkVersion: number
  readonly row: AllotmentRow
}

/** One holder's part of one team's ceiling. */
export interface Allotment {
  /** Counts one exchange, or returns `false` if the part is used up. */
  charge: () => boolean
  /** Ends one counted exchange. */
  release: () => void
  /** Takes in the ceiling of a configuration; an older version than the known one is ignored. */
  updateCeiling: (ceiling: number, configVersion: number) => void
  /** Takes in a row as read or written; older versions than the known one are ignored. */
  updateRow: (version: number, row: AllotmentRow | null) => void
  /** Decides on a transaction and debits what it gives up; `undefined` if none is needed or one is pending. */
  decidePlan: (needs: AllotmentNeeds) => AllotmentPlan | undefined
  /** Gives up the whole part; only while nothing is in flight. */
  decideLeave: () => AllotmentPlan | undefined
  /** The pending transaction conflicted: nothing of it can take effect any more. */
  cancelPlan: () => void
  countPart: () => number
  countInUse: () => number
  /** Exchanges that may begin now. */
  countFree: () => number
  /** Incarnations with a part in the row. */
  listHolders: () => string[]
}

/** Sum of all parts of a row. */
export function sumParts (row: AllotmentRow): number {
  let sum = 0
  for (const part of Object.values(row.parts)) sum += part
  return sum
}

const NO_ROW: AllotmentRow = { configVersion: 0, ceiling: 0, parts: {} }

/** Creates the holder of a part; it holds nothing until a row shows so. */
export function createAllotment (incarnation: string): Allotment {
  let version = 0
  let row = NO_ROW
  let own = { ceiling: 0, configVersion: 0 }
  let inUse = 0
  let pending: { readonly debit: number } | null = null

  const getPart = (): number => row.parts[incarnation] ?? 0

  const getCeiling = (): { ceiling: number, configVersion: number } =>
    row.configVersion > own.configVersion ? row : own

  /** While the parts exceed a lowered ceiling, each holder keeps to its proportion of it. */
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

  const applyGives = (parts: Record<string, number>, gives: AllotmentNeeds['gives']): void => {
    let free = countFree()
    for (const give of gives) {
      const amount = Math.min(free, give.amount)
      if (amount <= 0 || give.incarnation === incarnation) continue
      parts[give.incarnation] = (parts[give.incarnation] ?? 0) + amount
      parts[incarnation] = getPart() - (countFree() - free) - amount
      free -= amount
    }
  }

  /** Parts after the change: a sum above the ceiling shrinks by free parts, else parts move or grow. */
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
      applyGives(parts, needs.gives)
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

  const decidePlan = (needs: AllotmentNeeds): AllotmentPlan | undefined => {
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
      if (configVersion > own.configVersion) own = { ceiling, configVersion }
    },
    updateRow: (newVersion, newRow) => {
      if (newVersion <= version) return
      version = newVersion
      row = newRow ?? NO_ROW
      // The pending transaction checked an older version: it took effect before this row or never will.
      pending = null
    },
    decidePlan,
    decideLeave: () => {
      if (pending !== null || inUse > 0 || getPart() === 0) return undefined
      const parts = { ...row.parts }
      delete parts[incarnation]
      return setPending({ ...row, parts })
    },
    cancelPlan: () => { pending = null },
    countPart: getPart,
    countInUse: () => inUse,
    countFree,
    listHolders: () => Object.keys(row.parts)
  }
}
