/** Client of the documented HTTP API under `/v1`, for the demo and for tests. */
import type { JobSpec, Manifest } from '@fuchsiatally/core'

/** A response of any status. */
export interface ApiResponse<T> {
  readonly status: number
  readonly value: T
}

/** A job as the API represents it. */
export interface JobResponse {
  readonly id: string
  readonly phase: string
  readonly tasks: ReadonlyArray<{ readonly phase: string, readonly attempt: number }>
  /** Set only if the job was refused. */
  readonly code?: string
  readonly detail?: string
}

/** Response of `GET /v1/config/status`. */
export interface ConfigStatusResponse {
  readonly entries: ReadonlyArray<{ readonly entry: string, readonly incarnation: string, readonly version: number }>
}

/** API calls to one entry with one key. */
export interface ApiClient {
  readonly submitJob: (id: string, spec: JobSpec) => Promise<ApiResponse<JobResponse>>
  readonly readJob: (id: string) => Promise<ApiResponse<JobResponse>>
  readonly cancelJob: (id: string) => Promise<ApiResponse<JobResponse>>
  readonly grantKey: (team: string, id: string) => Promise<ApiResponse<{ readonly key: string, readonly version: number }>>
  readonly revokeKey: (id: string) => Promise<ApiResponse<{ readonly durable: boolean, readonly version?: number }>>
  readonly applyManifest: (manifest: Manifest, expectedVersion: number) => Promise<ApiResponse<{ readonly version: number }>>
  readonly readConfig: () => Promise<ApiResponse<{ readonly version: number }>>
  readonly readConfigStatus: () => Promise<ApiResponse<ConfigStatusResponse>>
  readonly drainVm: (id: string) => Promise<ApiResponse<{ readonly version: number }>>
}

const CALL_TIMEOUT_MS = 10_000

/**
 * Creates a client; a call rejects if the entry does not respond.
 *
 * @param address `host:port` of the entry
 * @param key API key of a team, or the operator key
 */
export function createApiClient (address: string, key: string): ApiClient {
  const callApi = async <T> (method: string, path: string, value?: unknown): Promise<ApiResponse<T>> => {
    const response = await fetch(`http://${address}/v1${path}`, {
      method,
      headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
      ...(value === undefined ? {} : { body: JSON.stringify(value) }),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
    })
    return { status: response.status, value: await response.json() as T }
  }
  return {
    submitJob: (id, spec) => callApi('POST', '/jobs', { id, spec }),
    readJob: (id) => callApi('GET', `/jobs/${encodeURIComponent(id)}`),
    cancelJob: (id) => callApi('DELETE', `/jobs/${encodeURIComponent(id)}`),
    grantKey: (team, id) => callApi('POST', '/keys', { team, id }),
    revokeKey: (id) => callApi('DELETE', `/keys/${encodeURIComponent(id)}`),
    applyManifest: (manifest, expectedVersion) => callApi('PUT', '/config', { manifest, expectedVersion }),
    readConfig: () => callApi('GET', '/config'),
    readConfigStatus: () => callApi('GET', '/config/status'),
    drainVm: (id) => callApi('POST', `/vms/${encodeURIComponent(id)}/drain`)
  }
}
