/** Order in which entries follow a lost holder: rendezvous hashing, so that each cell has an order of its own. */
import { createHash } from 'node:crypto'

function computeWeight (cell: string, entry: string): number {
  return createHash('sha1').update(`${cell}/${entry}`).digest().readUInt32BE(0)
}

/** Place of `entry` among itself and `others`, 0 first. */
export function computeRank (cell: string, entry: string, others: readonly string[]): number {
  const own = computeWeight(cell, entry)
  let rank = 0
  for (const other of others) if (other !== entry && computeWeight(cell, other) > own) rank++
  return rank
}
