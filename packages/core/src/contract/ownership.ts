/** Ownership of workers: assignment of workers to entries, and the rows that record it. */
import * as Schema from 'effect/Schema'

/** Key prefix of all ownership rows. */
export const OWNER_PREFIX = 'owner/'

/** Row `owner/<worker>`. */
export const OwnerRow = Schema.Struct({
  incarnation: Schema.String,
  /** Fencing token: grows with each takeover, and the worker refuses lower ones. */
  epoch: Schema.Int,
  /** Earlier owners that are not fenced off yet because the worker has not accepted a later epoch. */
  unfenced: Schema.Array(Schema.String)
})
export type OwnerRow = typeof OwnerRow.Type

/** An entry that may own workers. */
export interface OwnerCandidate {
  readonly entry: string
  readonly incarnation: string
  readonly failureDomain: string
}

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Computes a well-mixed 32-bit hash of a text. */
export function computeHash (text: string): number {
  let hash = FNV_OFFSET
  for (let i = 0; i < text.length; i += 1) hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/**
 * Chooses the owner of a worker by rendezvous hashing over the names of the entries of its failure
 * domain, or over all entries if the domain has none.
 */
export function chooseOwner (
  worker: string, failureDomain: string, candidates: readonly OwnerCandidate[]
): OwnerCandidate | null {
  const local = candidates.filter((candidate) => candidate.failureDomain === failureDomain)
  const eligible = local.length > 0 ? local : candidates
  let best: OwnerCandidate | null = null
  let bestHash = -1
  for (const candidate of eligible) {
    const hash = computeHash(`${candidate.entry}\n${worker}`)
    if (hash < bestHash || (hash === bestHash && best !== null && candidate.entry > best.entry)) continue
    best = candidate
    bestHash = hash
  }
  return best
}

/** Builds the row of a new owner; earlier owners stay in `unfenced` until the worker accepts the new epoch. */
export function buildOwnerRow (previous: OwnerRow | null, incarnation: string, minEpoch: number = 0): OwnerRow {
  if (previous === null) return { incarnation, epoch: Math.max(minEpoch, 1), unfenced: [] }
  const unfenced = new Set([...previous.unfenced, previous.incarnation])
  unfenced.delete(incarnation)
  return { incarnation, epoch: Math.max(previous.epoch + 1, minEpoch), unfenced: [...unfenced] }
}

/** Whether an incarnation may still command the worker according to the row. */
export function mayCommandWorker (row: OwnerRow, incarnation: string): boolean {
  return row.incarnation === incarnation || row.unfenced.includes(incarnation)
}
