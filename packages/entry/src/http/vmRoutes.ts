/** Operators' routes that drain and undrain worker VMs. */
import { findSimilarName } from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import {
  createOperatorRoute, createProposeErrorResponse, MAX_OPERATOR_BODY_BYTES, type OperatorRoutesOptions
} from './operatorRoute.js'
import { createJsonResponse, createProblemResponse, type HttpResponse, type Route } from './route.js'

/** Dependencies of the VM routes. */
export interface VmRoutesOptions extends OperatorRoutesOptions {
  readonly platform: Pick<PlatformClient, 'listVms'>
}

export function createVmRoutes (options: VmRoutesOptions): Route[] {
  const drainVm = async (vm: string): Promise<HttpResponse> => {
    const listed = await options.platform.listVms()
    if (listed.isErr()) {
      return createProposeErrorResponse({ kind: 'unconfirmed', mayBeApplied: false, failure: listed.error })
    }
    const ids = listed.value.vms.map((known) => known.id)
    if (!ids.includes(vm)) return createUnknownVmResponse(vm, ids)
    const goneVms = listed.value.vms.filter((known) => known.state === 'gone').map((known) => known.id)
    const proposed = await options.config.proposeChange({ kind: 'drainVm', vm, goneVms })
    return proposed.match((document) => createJsonResponse(200, { vm, drained: true, version: document.version }), createProposeErrorResponse)
  }
  const undrainVm = async (vm: string): Promise<HttpResponse> => {
    const proposed = await options.config.proposeChange({ kind: 'undrainVm', vm })
    return proposed.match((document) => createJsonResponse(200, { vm, drained: false, version: document.version }), createProposeErrorResponse)
  }
  return [
    createOperatorRoute(options, 'POST', '/v1/vms/:id/drain', MAX_OPERATOR_BODY_BYTES, (_, { id = '' }) => drainVm(id)),
    createOperatorRoute(options, 'DELETE', '/v1/vms/:id/drain', MAX_OPERATOR_BODY_BYTES, (_, { id = '' }) => undrainVm(id))
  ]
}

function createUnknownVmResponse (vm: string, known: readonly string[]): HttpResponse {
  const similar = findSimilarName(vm, known)
  const mend = similar === undefined ? 'the list of VMs may lag by a few seconds' : `did you mean ${similar}?`
  return createProblemResponse({ status: 404, code: 'not_found', title: 'No such VM', detail: `the platform lists no VM ${vm}; ${mend}` })
}
