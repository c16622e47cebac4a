/** Row of the cell's scheduler role. */
import * as Schema from 'effect/Schema'

/** Row `cell/<cell>`. */
export const CellRow = Schema.Struct({
  /** Incarnation that holds the role; empty when it was released. */
  incarnation: Schema.String,
  /** Grows by one with each holder. */
  epoch: Schema.Int
})
export type CellRow = typeof CellRow.Type
