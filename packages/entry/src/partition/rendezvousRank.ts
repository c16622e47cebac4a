/** Rendezvous hashing: ranks entries for a key, such as a partition or an entry, so that each key has an order of its own. */
import { computeHash } from '@fuchsiatally/core'

function computeWeight (key: string, entry: string): number {
  return computeHash(`${key}/${entry}`)
}

/** Rank of `entry` among itself and `others`; 0 is first. */
export function computeRank (key: string, entry: string, others: readonly string[]): number {
  const own = computeWeight(key, entry)
  let rank = 0
  for (const other of others) if (other !== entry && computeWeight(key, other) > own) rank++
  return rank
}

/** Sorts entries by ascending rank; hashes each entry once. */
export function sortByRank<T extends { readonly entry: string }> (key: string, entries: readonly T[]): T[] {
  return entries.map((entry) => ({ entry, weight: computeWeight(key, entry.entry) })).sort((a, b) => b.weight - a.weight).map(({ entry }) => entry)
}
