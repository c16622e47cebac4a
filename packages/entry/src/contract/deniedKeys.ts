/** Key ids whose revocation was heard of before the table held it. The set only grows. */

/** Ids that are denied ahead of the configuration document. */
export interface DeniedKeys {
  /** Adds ids; returns those that are new. */
  addKeys: (keyIds: readonly string[]) => string[]
  has: (keyId: string) => boolean
  /** Denied ids that a document does not revoke yet. */
  listPending: (revokedKeyIds: readonly string[]) => string[]
}

const KEY_ID = /^[a-z0-9][a-z0-9._-]{0,62}$/
const MAX_DENIED_KEYS = 50_000

/** Creates an empty set. */
export function createDeniedKeys (): DeniedKeys {
  const denied = new Set<string>()
  return {
    addKeys: (keyIds) => {
      const added: string[] = []
      for (const id of keyIds) {
        if (denied.size >= MAX_DENIED_KEYS || denied.has(id) || !KEY_ID.test(id)) continue
        denied.add(id)
        added.push(id)
      }
      return added
    },
    has: (keyId) => denied.has(keyId),
    listPending: (revokedKeyIds) => {
      if (denied.size === 0) return []
      const revoked = new Set(revokedKeyIds)
      return [...denied].filter((id) => !revoked.has(id))
    }
  }
}
