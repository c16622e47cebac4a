/** Operators' routes for the configuration: read, apply, diff, and the version in force at each entry. */
import { checkManifest, diffManifests, Manifest, type ConfigDocument, type Manifest as ManifestType } from '@fuchsiatally/core'
import * as Schema from 'effect/Schema'
import { err, ok, type Result } from 'neverthrow'
import type { Sessions } from '../ports.js'
import {
  createFaultsResponse, createOperatorRoute, createProposeErrorResponse, decodeBody,
  MAX_MANIFEST_BYTES, MAX_OPERATOR_BODY_BYTES, type OperatorRoutesOptions
} from './operatorRoute.js'
import { createJsonResponse, createProblemResponse, type HttpResponse, type Route } from './route.js'

const ApplyBody = Schema.Struct({
  manifest: Manifest,
  /** Version that the change is based on; 0 for the first manifest. */
  expectedVersion: Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))
})
const DiffBody = Schema.Struct({ manifest: Manifest })

/** Dependencies of the configuration routes. */
export interface ConfigRoutesOptions extends OperatorRoutesOptions {
  readonly sessions: Pick<Sessions, 'incarnation' | 'listSessions'>
  /** Name of the cell from this entry's settings. */
  readonly cell: string
}

/** One entry in the response of `GET /v1/config/status`. */
export interface EntryConfigStatus {
  readonly entry: string
  readonly incarnation: string
  readonly failureDomain: string
  readonly version: number
  /** Whether the entry has a valid session or a link to this one; otherwise it is unreachable or gone. */
  readonly live: boolean
}

export function createConfigRoutes (options: ConfigRoutesOptions): Route[] {
  const { config } = options

  const readConfig = async (): Promise<HttpResponse> => {
    if (!config.isFresh()) await config.refresh()
    const document = config.readDocument()
    if (document === null) {
      return createProblemResponse({ status: 404, code: 'not_found', title: 'No configuration', detail: 'no manifest has been applied' })
    }
    return createJsonResponse(200, { version: document.version, fresh: config.isFresh(), document: renderDocument(document) })
  }

  const applyConfig = async (body: Uint8Array): Promise<HttpResponse> => {
    const decoded = decodeBody(ApplyBody, body)
    if (decoded.isErr()) return createFaultsResponse(decoded.error)
    const { manifest, expectedVersion } = decoded.value
    const checked = checkManifestForCell(manifest, options.cell)
    if (checked.isErr()) return checked.error
    const proposed = await config.proposeChange({ kind: 'applyManifest', manifest }, expectedVersion)
    if (proposed.isErr()) return createProposeErrorResponse(proposed.error)
    return createJsonResponse(200, { version: proposed.value.version, warnings: listWarnings(proposed.value) })
  }

  const diffConfig = async (body: Uint8Array): Promise<HttpResponse> => {
    const decoded = decodeBody(DiffBody, body)
    if (decoded.isErr()) return createFaultsResponse(decoded.error)
    const checked = checkManifestForCell(decoded.value.manifest, options.cell)
    if (checked.isErr()) return checked.error
    if (!config.isFresh()) await config.refresh()
    const changes = diffManifests(config.readDocument()?.manifest ?? null, decoded.value.manifest)
    return createJsonResponse(200, { version: config.readVersion(), fresh: config.isFresh(), changes })
  }

  const readStatus = async (): Promise<HttpResponse> => createJsonResponse(200, createStatus(options))

  return [
    createOperatorRoute(options, 'GET', '/v1/config', MAX_OPERATOR_BODY_BYTES, readConfig),
    createOperatorRoute(options, 'PUT', '/v1/config', MAX_MANIFEST_BYTES, (request) => applyConfig(request.body)),
    createOperatorRoute(options, 'POST', '/v1/config/diff', MAX_MANIFEST_BYTES, (request) => diffConfig(request.body)),
    createOperatorRoute(options, 'GET', '/v1/config/status', MAX_OPERATOR_BODY_BYTES, readStatus)
  ]
}

function checkManifestForCell (manifest: ManifestType, cell: string): Result<null, HttpResponse> {
  const faults = checkManifest(manifest)
  if (manifest.cell !== cell) {
    faults.push({ path: 'cell', message: `this entry serves the cell ${cell}`, mend: `apply it at an entry of ${manifest.cell}` })
  }
  return faults.length === 0 ? ok(null) : err(createFaultsResponse(faults))
}

/** Omits the members of the document that only entries use. */
function renderDocument (document: ConfigDocument): Omit<ConfigDocument, 'recentChanges'> {
  const { recentChanges, ...shown } = document
  return shown
}

function listWarnings (document: ConfigDocument): string[] {
  const revoked = new Set(document.revokedKeyIds)
  const warnings: string[] = []
  for (const team of document.manifest.teams) {
    for (const key of team.keys) {
      if (revoked.has(key.id)) warnings.push(`key ${key.id} of team ${team.name} is permanently revoked; remove it from the manifest`)
    }
  }
  return warnings
}

/** Collects the version in force at each entry, as shown by its session row or its messages, whichever is higher. */
function createStatus (options: ConfigRoutesOptions): unknown {
  const { config, sessions } = options
  const peerVersions = config.listPeerVersions()
  const entries = new Map<string, EntryConfigStatus>()
  for (const { entry, incarnation, failureDomain, expired, configVersion } of sessions.listSessions()) {
    const isSelf = incarnation === sessions.incarnation
    const version = isSelf ? config.readVersion() : Math.max(configVersion, peerVersions.get(incarnation)?.version ?? 0)
    entries.set(incarnation, { entry, incarnation, failureDomain, version, live: isSelf || !expired || peerVersions.has(incarnation) })
  }
  for (const { peer, version } of peerVersions.values()) {
    if (!entries.has(peer.incarnation)) entries.set(peer.incarnation, { ...peer, version, live: true })
  }
  const listed = [...entries.values()].sort((a, b) => a.entry < b.entry ? -1 : 1)
  const version = Math.max(config.readHighestVersion(), ...listed.map((entry) => entry.version))
  const lagging = listed.filter((entry) => entry.live && entry.version < version).map((entry) => entry.entry)
  const unreachable = listed.filter((entry) => !entry.live).map((entry) => entry.entry)
  return { version, fresh: config.isFresh(), deniedKeyIds: config.listDeniedKeyIds(), entries: listed, lagging, unreachable }
}
