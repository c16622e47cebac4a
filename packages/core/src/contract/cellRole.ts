/** Leader election for the cell's scheduler role, as a pure function. */
import type { CellRow } from '../schema/cell.js'

/** Input of `decideCellClaim`. */
export interface CellClaimInput {
  /** The row as last read, or `null` if it does not exist. */
  readonly row: CellRow | null
  /** This entry's incarnation. */
  readonly incarnation: string
  /** Whether this entry's session is valid and the entry is not shutting down. */
  readonly eligible: boolean
  /** Whether an incarnation's session has expired or was removed. */
  readonly isGone: (incarnation: string) => boolean
}

/** Decides whether to claim the role; returns the row to write, or `null` to leave the role as it is. */
export function decideCellClaim (input: CellClaimInput): CellRow | null {
  if (!input.eligible) return null
  if (input.row === null) return { incarnation: input.incarnation, epoch: 1 }
  if (input.row.incarnation === input.incarnation) return null
  const isVacant = input.row.incarnation === '' || input.isGone(input.row.incarnation)
  if (!isVacant) return null
  return { incarnation: input.incarnation, epoch: input.row.epoch + 1 }
}
