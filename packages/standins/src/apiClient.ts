/** Calls of the demo and of tests to the documented HTTP interface under `/v1`. */
import type { JobSpec, Manifest } from '@fuchsiatally/core'

/** An answer, whatever its status. */
export interface ApiAnswer<T> {
  readonly status: number
  readonly value: T
}

/** A job as the interface shows it. */
export interface JobAnswer {
  readonly id: string
  readonly phase: string
  readonly tasks: ReadonlyArray<{ readonly phase: string, readonly attempt: number }>
  /** Only where the job was refused. */
  readonly code?: string
  readonly detail?: string
}

/** Answer of `GET /v1/config/status`. */
export interface ConfigStatusAnswer {
  readonly entries: ReadonlyArray<{ readonly entry: string, readonly incarnation: string, readonly version: number }>
}

/** Calls at one entry with one key. */
export interface ApiClient {
  readonly submitJob: (id: string, spec: JobSpec) => Promise<ApiAnswer<JobAnswer>>
  readonly readJob: (id: string) => Promise<ApiAnswer<JobAnswer>>
  readonly cancelJob: (id: string) => Promise<ApiAnswer<JobAnswer>>
  readonly grantKey: (team: string, id: string) => Promise<ApiAnswer<{ readonly key: string, readonly version: number }>>
  readonly revokeKey: (id: string) => Promise<ApiAnswer<{ readonly durable: boolean, readonly version?: number }>>
  readonly applyManifest: (manifest: Manifest, expectedVersion: number) => Promise<ApiAnswer<{ readonly version: number }>>
  readonly readConfig: () => Promise<ApiAnswer<{ readonly version: number }>>
  readonly readConfigStatus: () => Promise<ApiAnswer<ConfigStatusAnswer>>
  readonly drainVm: (id: string) => Promise<ApiAnswer<{ readonly version: number }>>
}

const CALL_TIMEOUT_MS = 10_000

/**
 * Creates a client; its calls throw when the entry gives no answer at all.
 *
 * @param address `host:port` of the entry
 * @param key a team's or the operators' key
 */
export function createApiClient (address: string, key: string): ApiClient {
  const callApi = async <T> (method: string, path: string, value?: unknown): Promise<ApiAnswer<T>> => {
    const answer = await fetch(`http://${address}/v1${path}`, {
      method,
      headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
      ...(value === undefined ? {} : { body: JSON.stringify(value) }),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
    })
    return { status: answer.status, value: await answer.json() as T }
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
