/** Rendezvous hashing: ranks entries for a key, such as a partition or an entry, so that each key has an order of its own. */
import { computeHash } from '@fuchsiatally/core'

/** An entry that may take a partition over. */
export interface Candidate {
  readonly entry: string
  /** Processor capacity, in cores. */
  readonly cores: number
  /** Number of partitions that the entry holds. */
  readonly held: number
}

function computeWeight (key: string, entry: string): number {
  return computeHash(`${key}/${entry}`)
}

/** Class of a capacity; each class has twice the capacity of the one below, so that nearly equal entries are ranked by hash. */
export function computeCapacityClass (cores: number): number {
  return Math.floor(Math.log2(cores))
}

/** Class of the capacity that a candidate would have for one more partition. */
function computeShareClass ({ cores, held }: Candidate): number {
  return computeCapacityClass(cores / (held + 1))
}

/** Number of `others` that come before `own` as successors for a key: by capacity, and by hash among equals; 0 is first. */
export function computeSuccessorRank (key: string, own: Candidate, others: readonly Candidate[]): number {
  const ownClass = computeShareClass(own)
  const ownWeight = computeWeight(key, own.entry)
  let rank = 0
  for (const other of others) {
    if (other.entry === own.entry) continue
    const otherClass = computeShareClass(other)
    if (otherClass > ownClass || (otherClass === ownClass && computeWeight(key, other.entry) > ownWeight)) rank++
  }
  return rank
}

/** Whether one of `others` comes before `own` because of its capacity, whatever the key. */
export function hasLargerCandidate (own: Candidate, others: readonly Candidate[]): boolean {
  const ownClass = computeShareClass(own)
  return others.some((other) => computeShareClass(other) > ownClass)
}

/** Sorts entries by descending weight; hashes each entry once. */
export function sortByRank<T extends { readonly entry: string }> (key: string, entries: readonly T[]): T[] {
  return entries.map((entry) => ({ entry, weight: computeWeight(key, entry.entry) })).sort((a, b) => b.weight - a.weight).map(({ entry }) => entry)
}
