/** Shared parts of the operators' routes: authorization, body decoding and responses to failed changes. */
import {
  decodeWithFaults, type ChangeFault, type ConfigFault, type EventLog
} from '@fuchsiatally/core'
import type * as Schema from 'effect/Schema'
import { err, type Result } from 'neverthrow'
import type { ProposeError } from '../contract/configProposer.js'
import type { ConfigStoreHandle } from '../contract/configStore.js'
import { operatorRefused } from '../contract/events.js'
import type { KeyRing } from '../ports.js'
import { createKeyRefusalResponse } from './keyRefusalResponse.js'
import { createProblemResponse, type HttpResponse, type Route } from './route.js'

/** Dependencies of every operators' route. */
export interface OperatorRoutesOptions {
  readonly keyRing: Pick<KeyRing, 'isOperator'>
  readonly config: ConfigStoreHandle
  readonly log: EventLog
}

export const MAX_MANIFEST_BYTES = 4 * 1024 * 1024
/** Size limit of bodies other than manifests. */
export const MAX_OPERATOR_BODY_BYTES = 16 * 1024
const RETRY_AFTER_MS = 2000

/** Creates a route that requires the operators' key. */
export function createOperatorRoute (
  options: OperatorRoutesOptions, method: string, pattern: string, maxBodyBytes: number, handle: Route['handle']
): Route {
  return {
    method,
    pattern,
    maxBodyBytes,
    handle: async (request, parameters) => {
      if (options.keyRing.isOperator(request.headers['authorization'])) return await handle(request, parameters)
      options.log.record(operatorRefused, { method, pattern })
      return createKeyRefusalResponse('unauthorized')
    }
  }
}

/** Parses and decodes a JSON body; the error lists every fault with its path. */
export function decodeBody<S extends Schema.ConstraintDecoder<unknown, never>> (schema: S, body: Uint8Array): Result<S['Type'], ConfigFault[]> {
  const parsed = parseJson(body)
  if (parsed === undefined) return err([{ path: '', message: 'the body is not JSON', mend: 'send a JSON object' }])
  return decodeWithFaults(schema, parsed)
}

function parseJson (body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'))
  } catch {
    return undefined
  }
}

/** Creates a response that lists all faults of a body. */
export function createFaultsResponse (faults: readonly ConfigFault[]): HttpResponse {
  const detail = faults.map((fault) => `${fault.path === '' ? 'body' : fault.path}: ${fault.message}; ${fault.mend}`).join('\n')
  return createProblemResponse({ status: 400, code: 'bad_request', title: 'Invalid request body', detail, members: { faults } })
}

/** Creates the response to a change that is not known to be committed. */
export function createProposeErrorResponse (error: ProposeError): HttpResponse {
  if (error.kind === 'changeFault') return createChangeFaultResponse(error)
  if (error.kind === 'conflict') {
    const { expectedVersion, currentVersion, difference } = error
    const detail = `version ${currentVersion} is in force, not ${expectedVersion}: another change was committed first; review the difference and apply again`
    return createProblemResponse({
      status: 409, code: 'conflict', title: 'Configuration has changed', detail, members: { expectedVersion, currentVersion, difference }
    })
  }
  const effect = error.mayBeApplied ? 'the change may have been committed: check the version in force' : 'nothing was changed'
  const detail = `the platform returned no usable response (${error.failure.kind}); ${effect}, then try again`
  return createProblemResponse({
    status: 503,
    code: 'platform_unavailable',
    title: 'Platform unavailable',
    detail,
    retryAfterMs: RETRY_AFTER_MS,
    members: { mayBeApplied: error.mayBeApplied }
  })
}

function createChangeFaultResponse (fault: ChangeFault): HttpResponse {
  const isUnknown = fault.reason === 'unknownTeam' || fault.reason === 'unknownKey'
  return createProblemResponse({
    status: isUnknown ? 404 : 409,
    code: isUnknown ? 'not_found' : 'conflict',
    title: 'The change does not apply to the configuration in force',
    detail: `${fault.message}; ${fault.mend}`,
    members: { reason: fault.reason }
  })
}
