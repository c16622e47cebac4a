/** Who may hold the scheduler role of a cell, as a pure decision. */
import type { CellRow } from '../schema/cell.js'

/** What an entry knows when it decides whether to claim the role. */
export interface CellClaimInput {
  /** The row as last read, or `null` if it does not exist. */
  readonly row: CellRow | null
  /** This entry's incarnation. */
  readonly incarnation: string
  /** Whether this entry's own session is valid and it is not leaving. */
  readonly eligible: boolean
  /** Whether an incarnation has no valid session any more. */
  readonly isGone: (incarnation: string) => boolean
}

/** Decides whether to claim the role; the result is the row to write, or `null` to leave it. */
export function decideCellClaim (input: CellClaimInput): CellRow | null {
  if (!input.eligible) return null
  if (input.row === null) return { incarnation: input.incarnation, epoch: 1 }
  if (input.row.incarnation === input.incarnation) return null
  const vacant = input.row.incarnation === '' || input.isGone(input.row.incarnation)
  if (!vacant) return null
  return { incarnation: input.incarnation, epoch: input.row.epoch + 1 }
}
