/** HTTP routes for jobs: submit, list, read, explain, cancel. */
import { createDecoder, JobSpec, type Team } from '@fuchsiatally/core'
import * as Schema from 'effect/Schema'
import { err, ok, type Result } from 'neverthrow'
import { createKeyRefusalResponse } from '../http/keyRefusalResponse.js'
import { createJsonResponse, createProblemResponse, type HttpRequest, type HttpResponse, type Route } from '../http/route.js'
import type { KeyRing } from '../ports.js'
import type { JobAdmission, JobRefusal } from './jobAdmission.js'
import type { JobService } from './jobService.js'

const MAX_JOB_BYTES = 256 * 1024
/** Maximum size of the body of a request that needs none, in bytes. */
const MAX_IGNORED_BODY_BYTES = 1024
const RETRY_AFTER_MS = 2000
const JOB_LIMIT_RETRY_AFTER_MS = 30_000

const SubmitBody = Schema.Struct({
  /** Idempotency key chosen by the caller. */
  id: Schema.optionalKey(Schema.String.check(Schema.isPattern(/^[A-Za-z0-9._-]{1,64}$/))),
  spec: JobSpec
})
const decodeSubmit = createDecoder(SubmitBody)

/** Options of the job routes. */
export interface JobRoutesOptions {
  readonly keyRing: KeyRing
  readonly admission: JobAdmission
  readonly service: Pick<JobService, 'readFromScheduler'>
}

function parseJson (body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'))
  } catch {
    return undefined
  }
}

function createRefusalResponse (refusal: JobRefusal): HttpResponse {
  if (refusal.kind === 'neverFits') {
    return createProblemResponse({ status: 422, code: 'never_fits', title: 'Job can never run', detail: refusal.message })
  }
  if (refusal.kind === 'tooManyJobs') {
    return createProblemResponse({ status: 429, code: 'over_limit', title: 'Too many active jobs', detail: refusal.message, retryAfterMs: JOB_LIMIT_RETRY_AFTER_MS })
  }
  if (refusal.kind === 'idTaken') {
    return createProblemResponse({ status: 409, code: 'conflict', title: 'Id is taken', detail: refusal.message })
  }
  if (refusal.kind === 'notFound') {
    return createProblemResponse({ status: 404, code: 'not_found', title: 'No such job', detail: refusal.message })
  }
  const detail = `the platform's table gave no response (${refusal.failure.kind}); whether ${refusal.id} was recorded is not known; retry with the same id`
  return createProblemResponse({ status: 503, code: 'platform_unavailable', title: 'Platform unavailable', detail, retryAfterMs: RETRY_AFTER_MS })
}

/** Builds the job routes. */
export function createJobRoutes (options: JobRoutesOptions): Route[] {
  const { admission } = options

  const checkTeam = async (request: HttpRequest): Promise<Result<Team, HttpResponse>> => {
    const team = await options.keyRing.checkTeam(request.headers['authorization'], request.headers['fuchsiatally-team'])
    return team.isOk() ? ok(team.value) : err(createKeyRefusalResponse(team.error))
  }

  const submitJob = async (request: HttpRequest): Promise<HttpResponse> => {
    const team = await checkTeam(request)
    if (team.isErr()) return team.error
    const body = decodeSubmit(parseJson(request.body))
    if (body.isErr()) {
      return createProblemResponse({ status: 400, code: 'bad_request', title: 'Malformed job', detail: body.error.message })
    }
    const view = await admission.submitJob(team.value, body.value.id, body.value.spec)
    return view.isOk() ? createJsonResponse(202, view.value) : createRefusalResponse(view.error)
  }

  const listJobs = async (request: HttpRequest): Promise<HttpResponse> => {
    const team = await checkTeam(request)
    if (team.isErr()) return team.error
    const views = await admission.listJobs(team.value.name)
    return views.isOk() ? createJsonResponse(200, { jobs: views.value }) : createRefusalResponse(views.error)
  }

  const readJob = async (request: HttpRequest, id: string): Promise<HttpResponse> => {
    const team = await checkTeam(request)
    if (team.isErr()) return team.error
    const view = await admission.readJob(team.value.name, id)
    return view.isOk() ? createJsonResponse(200, view.value) : createRefusalResponse(view.error)
  }

  const cancelJob = async (request: HttpRequest, id: string): Promise<HttpResponse> => {
    const team = await checkTeam(request)
    if (team.isErr()) return team.error
    const view = await admission.cancelJob(team.value.name, id)
    return view.isOk() ? createJsonResponse(202, view.value) : createRefusalResponse(view.error)
  }

  const explainJob = async (request: HttpRequest, id: string): Promise<HttpResponse> => {
    const team = await checkTeam(request)
    if (team.isErr()) return team.error
    const view = await admission.readJob(team.value.name, id)
    if (view.isErr()) return createRefusalResponse(view.error)
    const json = await options.service.readFromScheduler('explainJob', id)
    if (json !== null) return createJsonResponse(200, JSON.parse(json))
    const summary = view.value.phase === 'queued' || view.value.phase === 'running'
      ? 'no entry holds the scheduler role at this moment or the scheduler has not read the job yet; running tasks continue under their leases'
      : `the job is ${view.value.phase}`
    const tasks = view.value.tasks.map((task, index) => ({ task: index, phase: task.phase, reason: task.reason ?? '' }))
    return createJsonResponse(200, { summary, tasks })
  }

  return [
    { method: 'POST', pattern: '/v1/jobs', maxBodyBytes: MAX_JOB_BYTES, handle: submitJob },
    { method: 'GET', pattern: '/v1/jobs', maxBodyBytes: MAX_IGNORED_BODY_BYTES, handle: listJobs },
    { method: 'GET', pattern: '/v1/jobs/:id', maxBodyBytes: MAX_IGNORED_BODY_BYTES, handle: (request, { id = '' }) => readJob(request, id) },
    { method: 'GET', pattern: '/v1/jobs/:id/explanation', maxBodyBytes: MAX_IGNORED_BODY_BYTES, handle: (request, { id = '' }) => explainJob(request, id) },
    { method: 'DELETE', pattern: '/v1/jobs/:id', maxBodyBytes: MAX_IGNORED_BODY_BYTES, handle: (request, { id = '' }) => cancelJob(request, id) }
  ]
}
