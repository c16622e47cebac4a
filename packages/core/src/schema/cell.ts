/** Row of the cell's scheduler role, used for leader election. */
import * as Schema from 'effect/Schema'

/** Row `cell/<cell>`. */
export const CellRow = Schema.Struct({
  /** Incarnation that holds the role; empty if it was released. */
  incarnation: Schema.String,
  /** Fencing token: grows by one with each new holder. */
  epoch: Schema.Int
})
export type CellRow = typeof CellRow.Type
