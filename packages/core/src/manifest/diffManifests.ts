/** Differences between two manifests, matched by name of team, service and key instead of by position. */
import type { Manifest } from '../schema/manifest.js'

/** One difference; `path` has the form `teams.search.ceiling.requests`. */
export type ManifestChange =
  | { readonly kind: 'added', readonly path: string, readonly after: unknown }
  | { readonly kind: 'removed', readonly path: string, readonly before: unknown }
  | { readonly kind: 'changed', readonly path: string, readonly before: unknown, readonly after: unknown }

/**
 * Compares two manifests.
 *
 * @param before `null` before the first manifest
 * @returns differences sorted by path
 */
export function diffManifests (before: Manifest | null, after: Manifest): ManifestChange[] {
  const changes: ManifestChange[] = []
  collectChanges(before ?? {}, after, '', changes)
  return changes.sort((a, b) => a.path < b.path ? -1 : a.path > b.path ? 1 : 0)
}

/** Formats one difference as one line of text. */
export function formatManifestChange (change: ManifestChange): string {
  if (change.kind === 'added') return `+ ${change.path} = ${JSON.stringify(change.after)}`
  if (change.kind === 'removed') return `- ${change.path} = ${JSON.stringify(change.before)}`
  return `~ ${change.path}: ${JSON.stringify(change.before)} -> ${JSON.stringify(change.after)}`
}

function collectChanges (before: unknown, after: unknown, path: string, changes: ManifestChange[]): void {
  const oldFields = listFields(before)
  const newFields = listFields(after)
  if (oldFields === undefined || newFields === undefined) {
    if (before !== after) changes.push({ kind: 'changed', path, before, after })
    return
  }
  for (const [name, value] of oldFields) {
    const fieldPath = path === '' ? name : `${path}.${name}`
    if (newFields.has(name)) collectChanges(value, newFields.get(name), fieldPath, changes)
    else changes.push({ kind: 'removed', path: fieldPath, before: value })
  }
  for (const [name, value] of newFields) {
    if (!oldFields.has(name)) changes.push({ kind: 'added', path: path === '' ? name : `${path}.${name}`, after: value })
  }
}

/** Lists the fields of an object, or the elements of an array by name or id; `undefined` for a primitive value. */
function listFields (value: unknown): Map<string, unknown> | undefined {
  if (typeof value !== 'object' || value === null) return undefined
  if (!Array.isArray(value)) return new Map(Object.entries(value))
  return new Map(value.map((element: { name?: string, id?: string }, index) => [element.name ?? element.id ?? String(index), element]))
}
