/** Operators' routes for keys: grant, list, revoke. A key is shown only once, in the response to its grant. */
import { listGrants, type Random } from '@fuchsiatally/core'
import * as Schema from 'effect/Schema'
import { createKey } from '../contract/key.js'
import {
  createFaultsResponse, createOperatorRoute, createProposeErrorResponse, decodeBody,
  MAX_OPERATOR_BODY_BYTES, type OperatorRoutesOptions
} from './operatorRoute.js'
import { createJsonResponse, createProblemResponse, type HttpResponse, type Route } from './route.js'

const Name = Schema.String.check(Schema.isPattern(/^[a-z0-9][a-z0-9._-]{0,62}$/))
const GrantBody = Schema.Struct({
  team: Name,
  /** Public id of the key; derived from the team's name if absent. */
  id: Schema.optionalKey(Name)
})
const KEY_ID_SUFFIX_LENGTH = 8
const KEY_ID_TEAM_LENGTH = 50

/** Dependencies of the key routes. */
export interface KeyRoutesOptions extends OperatorRoutesOptions {
  readonly random: Random
}

/** One key in the response of `GET /v1/keys`. */
export interface KeyView {
  readonly id: string
  /** Team of the key; absent once the key is revoked. */
  readonly team?: string
  readonly source?: 'manifest' | 'granted'
  /** `revocationPending`: refused at each entry that has learned of it, but not committed to the table yet. */
  readonly state: 'active' | 'revoked' | 'revocationPending'
}

export function createKeyRoutes (options: KeyRoutesOptions): Route[] {
  const { config } = options

  const grantKey = async (body: Uint8Array): Promise<HttpResponse> => {
    const decoded = decodeBody(GrantBody, body)
    if (decoded.isErr()) return createFaultsResponse(decoded.error)
    const { team } = decoded.value
    const id = decoded.value.id ?? createKeyId(options.random, team)
    const { key, grant } = createKey(options.random, id)
    const proposed = await config.proposeChange({ kind: 'grantKey', team, grant })
    if (proposed.isErr()) return createProposeErrorResponse(proposed.error)
    return createJsonResponse(201, { id, team, key, version: proposed.value.version })
  }

  const listKeys = async (): Promise<HttpResponse> => {
    if (!config.isFresh()) await config.refresh()
    return createJsonResponse(200, { version: config.readVersion(), fresh: config.isFresh(), keys: listKeyViews(options) })
  }

  const revokeKey = async (id: string): Promise<HttpResponse> => {
    if (!Schema.is(Name)(id)) return createUnknownKeyResponse(id)
    const document = config.readDocument()
    const isKnown = document !== null && listGrants(document).some((view) => view.grant.id === id)
    if (isKnown) config.denyKeys([id])
    const proposed = await config.proposeChange({ kind: 'revokeKeys', keyIds: [id], allowUnknown: false })
    if (proposed.isOk()) return createJsonResponse(200, { id, durable: true, version: proposed.value.version })
    if (proposed.error.kind !== 'unconfirmed') return createProposeErrorResponse(proposed.error)
    // The revocation is not confirmed: the id is denied at every reachable entry, and the store retries the commit.
    config.denyKeys([id])
    const detail = 'refused at every reachable entry but not committed to the table yet; an entry that restarts before the commit may accept the key'
    return createJsonResponse(202, { id, durable: false, known: isKnown, detail })
  }

  return [
    createOperatorRoute(options, 'POST', '/v1/keys', MAX_OPERATOR_BODY_BYTES, (request) => grantKey(request.body)),
    createOperatorRoute(options, 'GET', '/v1/keys', MAX_OPERATOR_BODY_BYTES, listKeys),
    createOperatorRoute(options, 'DELETE', '/v1/keys/:id', MAX_OPERATOR_BODY_BYTES, (_, { id = '' }) => revokeKey(id))
  ]
}

function createKeyId (random: Random, team: string): string {
  const suffix = random.nextId().toLowerCase().replace(/[^a-z0-9]/g, '').slice(0, KEY_ID_SUFFIX_LENGTH)
  return `${team.slice(0, KEY_ID_TEAM_LENGTH)}-${suffix}`
}

function createUnknownKeyResponse (id: string): HttpResponse {
  const detail = `${JSON.stringify(id.slice(0, KEY_ID_SUFFIX_LENGTH))}... is not a key id; use the id shown by \`fuchsiatally key list\`, never the key itself`
  return createProblemResponse({ status: 404, code: 'not_found', title: 'No such key', detail })
}

function listKeyViews (options: OperatorRoutesOptions): KeyView[] {
  const document = options.config.readDocument()
  if (document === null) return []
  const views: KeyView[] = listGrants(document).map(({ team, grant, source }) => {
    return { id: grant.id, team, source, state: options.config.isDenied(grant.id) ? 'revocationPending' : 'active' }
  })
  for (const id of document.revokedKeyIds) views.push({ id, state: 'revoked' })
  return views
}
