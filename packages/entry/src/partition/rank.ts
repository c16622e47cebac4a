/** Order of entries for one cell or asker: rendezvous hashing, so that each has an order of its own. */
import { computeHash } from '@fuchsiatally/core'

function computeWeight (key: string, entry: string): number {
  return computeHash(`${key}/${entry}`)
}

/** Place of `entry` among itself and `others`, 0 first. */
export function computeRank (key: string, entry: string, others: readonly string[]): number {
  const own = computeWeight(key, entry)
  let rank = 0
  for (const other of others) if (other !== entry && computeWeight(key, other) > own) rank++
  return rank
}

/** Sorts entries by their place, the first first; each is hashed once. */
export function sortByRank<T extends { readonly entry: string }> (key: string, entries: readonly T[]): T[] {
  return entries.map((entry) => ({ entry, weight: computeWeight(key, entry.entry) })).sort((a, b) => b.weight - a.weight).map(({ entry }) => entry)
}
