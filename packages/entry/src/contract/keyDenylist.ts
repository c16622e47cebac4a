/** Grow-only set of key ids that are refused although the configuration document may not revoke them yet. */

/** Key ids that this entry denies without waiting for the configuration document to revoke them. */
export interface KeyDenylist {
  /** Adds ids; returns those that are new. Malformed ids, and new ids beyond the limit of the set, are ignored. */
  addKeys: (keyIds: readonly string[]) => string[]
  has: (keyId: string) => boolean
  /** Denied ids that are not among a document's revoked ids. */
  listUncommitted: (revokedKeyIds: readonly string[]) => string[]
}

const KEY_ID_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/
const MAX_DENIED_KEYS = 50_000

export function createKeyDenylist (): KeyDenylist {
  const denied = new Set<string>()
  return {
    addKeys: (keyIds) => {
      const added: string[] = []
      for (const id of keyIds) {
        if (denied.size >= MAX_DENIED_KEYS || denied.has(id) || !KEY_ID_PATTERN.test(id)) continue
        denied.add(id)
        added.push(id)
      }
      return added
    },
    has: (keyId) => denied.has(keyId),
    listUncommitted: (revokedKeyIds) => {
      if (denied.size === 0) return []
      const revoked = new Set(revokedKeyIds)
      return [...denied].filter((id) => !revoked.has(id))
    }
  }
}
