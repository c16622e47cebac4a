/** Operators' route that lists the teams of the configuration in force with their key ids. */
import { listGrants } from '@fuchsiatally/core'
import { createOperatorRoute, MAX_OPERATOR_BODY_BYTES, type OperatorRoutesOptions } from './operatorRoute.js'
import { createJsonResponse, type HttpResponse, type Route } from './route.js'

export function createTeamRoutes (options: OperatorRoutesOptions): Route[] {
  const listTeams = async (): Promise<HttpResponse> => {
    if (!options.config.isFresh()) await options.config.refresh()
    const document = options.config.readDocument()
    const grants = document === null ? [] : listGrants(document)
    const teams = (document?.manifest.teams ?? []).map(({ keys, ...team }) => {
      return { ...team, keyIds: grants.filter((view) => view.team === team.name).map((view) => view.grant.id) }
    })
    return createJsonResponse(200, { version: options.config.readVersion(), fresh: options.config.isFresh(), teams })
  }
  return [createOperatorRoute(options, 'GET', '/v1/teams', MAX_OPERATOR_BODY_BYTES, listTeams)]
}
