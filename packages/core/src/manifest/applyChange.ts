/** Changes of the configuration document, as pure functions. */
import { err, ok, type Result } from 'neverthrow'
import type { ConfigDocument, KeyGrant, Manifest } from '../schema/manifest.js'
import { diffManifests } from './diffManifests.js'
import { findSimilarName } from './similarName.js'

/** A change requested by an operator. */
export type ConfigChange =
  | { readonly kind: 'applyManifest', readonly manifest: Manifest }
  | { readonly kind: 'grantKey', readonly team: string, readonly grant: KeyGrant }
  /** `allowUnknown` also revokes ids that are not in the document, so that they cannot be granted later. */
  | { readonly kind: 'revokeKeys', readonly keyIds: readonly string[], readonly allowUnknown: boolean }
  /** `goneVms` are removed from the list of drained VMs because they never run again. */
  | { readonly kind: 'drainVm', readonly vm: string, readonly goneVms: readonly string[] }
  | { readonly kind: 'undrainVm', readonly vm: string }

/** Reason why a change cannot be applied to the document. */
export interface ChangeFault {
  readonly kind: 'changeFault'
  readonly reason: 'noConfiguration' | 'wrongCell' | 'unknownTeam' | 'unknownKey' | 'keyIdTaken' | 'keyRevoked' | 'keyHashTaken'
  readonly message: string
  readonly mend: string
}

/** A grant in force and its source. */
export interface GrantView {
  readonly team: string
  readonly grant: KeyGrant
  readonly source: 'manifest' | 'granted'
}

/** Number of recent changes whose write ids are stored, to resolve writes of unknown outcome. */
const MAX_RECENT_CHANGES = 64

/** Lists all grants of a document that are not revoked. */
export function listGrants (document: ConfigDocument): GrantView[] {
  const revoked = new Set(document.revokedKeyIds)
  const views: GrantView[] = []
  for (const team of document.manifest.teams) {
    for (const grant of team.keys) views.push({ team: team.name, grant, source: 'manifest' })
  }
  for (const { team, grant } of document.grants) views.push({ team, grant, source: 'granted' })
  return views.filter((view) => !revoked.has(view.grant.id))
}

/**
 * Applies a change.
 *
 * @param document `null` before the first manifest
 * @param writeId identifies this change and is stored in the document
 * @returns the new document, or the same object if the change has no effect
 */
export function applyChange (
  document: ConfigDocument | null, change: ConfigChange, writeId: string
): Result<ConfigDocument, ChangeFault> {
  if (change.kind === 'applyManifest') return applyManifest(document, change.manifest, writeId)
  if (document === null) {
    return err(createChangeFault('noConfiguration', 'no manifest is in force', 'apply a manifest first'))
  }
  if (change.kind === 'grantKey') return grantKey(document, change.team, change.grant, writeId)
  if (change.kind === 'revokeKeys') return revokeKeys(document, change.keyIds, change.allowUnknown, writeId)
  if (change.kind === 'drainVm') return ok(drainVm(document, change.vm, change.goneVms, writeId))
  if (!document.drainedVms.includes(change.vm)) return ok(document)
  return ok(createNext(document, { drainedVms: document.drainedVms.filter((vm) => vm !== change.vm) }, writeId))
}

function applyManifest (document: ConfigDocument | null, manifest: Manifest, writeId: string): Result<ConfigDocument, ChangeFault> {
  if (document === null) {
    const recentChanges = [{ version: 1, writeId }]
    return ok({ version: 1, manifest, grants: [], revokedKeyIds: [], drainedVms: [], recentChanges })
  }
  if (manifest.cell !== document.manifest.cell) {
    const message = `the manifest is for cell ${manifest.cell}, but this is cell ${document.manifest.cell}`
    return err(createChangeFault('wrongCell', message, 'apply it at an entry of its own cell'))
  }
  // Deployment pipelines may apply the same manifest repeatedly: only a difference creates a new version.
  if (diffManifests(document.manifest, manifest).length === 0) return ok(document)
  const teams = new Set(manifest.teams.map((team) => team.name))
  const kept: ConfigDocument['grants'][number][] = []
  for (const held of document.grants) {
    if (!teams.has(held.team)) continue
    const conflict = findConflict(manifest, held.team, held.grant)
    if (conflict === 'same') continue
    if (conflict !== undefined) return err(conflict)
    kept.push(held)
  }
  return ok(createNext(document, { manifest, grants: kept }, writeId))
}

/** Returns `same` if the manifest contains the grant, or a fault if it uses the grant's id or hash for another one. */
function findConflict (manifest: Manifest, team: string, grant: KeyGrant): ChangeFault | 'same' | undefined {
  for (const other of manifest.teams) {
    for (const key of other.keys) {
      const sameId = key.id === grant.id
      const sameHash = key.sha256 === grant.sha256
      if (sameId && sameHash && other.name === team) return 'same'
      if (sameId) return createIdTakenFault(grant.id)
      if (sameHash) return createHashFault(key.id, grant.id)
    }
  }
  return undefined
}

function grantKey (document: ConfigDocument, team: string, grant: KeyGrant, writeId: string): Result<ConfigDocument, ChangeFault> {
  const teams = document.manifest.teams.map((known) => known.name)
  if (!teams.includes(team)) {
    const similar = findSimilarName(team, teams)
    const mend = similar === undefined ? 'add the team to the manifest first' : `did you mean ${similar}?`
    return err(createChangeFault('unknownTeam', `team ${team} is not in the manifest in force`, mend))
  }
  if (document.revokedKeyIds.includes(grant.id)) {
    return err(createChangeFault('keyRevoked', `key id ${grant.id} was revoked and is never granted again`, 'choose another id'))
  }
  for (const held of listGrants(document)) {
    const sameId = held.grant.id === grant.id
    const sameHash = held.grant.sha256 === grant.sha256
    if (sameId && sameHash && held.team === team) return ok(document)
    if (sameId) return err(createIdTakenFault(grant.id))
    if (sameHash) return err(createHashFault(held.grant.id, grant.id))
  }
  return ok(createNext(document, { grants: [...document.grants, { team, grant }] }, writeId))
}

function revokeKeys (
  document: ConfigDocument, keyIds: readonly string[], allowUnknown: boolean, writeId: string
): Result<ConfigDocument, ChangeFault> {
  const known = listGrants(document).map((view) => view.grant.id)
  const added: string[] = []
  for (const id of new Set(keyIds)) {
    if (document.revokedKeyIds.includes(id)) continue
    if (!allowUnknown && !known.includes(id)) {
      const similar = findSimilarName(id, known)
      const mend = similar === undefined ? 'list the ids with `fuchsiatally key list`' : `did you mean ${similar}?`
      return err(createChangeFault('unknownKey', `no key with id ${id} is granted`, mend))
    }
    added.push(id)
  }
  if (added.length === 0) return ok(document)
  const grants = document.grants.filter((held) => !added.includes(held.grant.id))
  return ok(createNext(document, { grants, revokedKeyIds: [...document.revokedKeyIds, ...added] }, writeId))
}

function drainVm (document: ConfigDocument, vm: string, goneVms: readonly string[], writeId: string): ConfigDocument {
  if (document.drainedVms.includes(vm)) return document
  const kept = document.drainedVms.filter((drained) => !goneVms.includes(drained))
  return createNext(document, { drainedVms: [...kept, vm] }, writeId)
}

function createNext (document: ConfigDocument, changed: Partial<ConfigDocument>, writeId: string): ConfigDocument {
  const version = document.version + 1
  const recentChanges = [...document.recentChanges ?? [], { version, writeId }].slice(-MAX_RECENT_CHANGES)
  return { ...document, ...changed, version, recentChanges }
}

function createChangeFault (reason: ChangeFault['reason'], message: string, mend: string): ChangeFault {
  return { kind: 'changeFault', reason, message, mend }
}

function createIdTakenFault (id: string): ChangeFault {
  return createChangeFault('keyIdTaken', `key id ${id} is already granted`, 'choose another id, or revoke that key first')
}

function createHashFault (first: string, second: string): ChangeFault {
  return createChangeFault('keyHashTaken', `keys ${first} and ${second} have the same hash`, 'grant each key only once')
}
