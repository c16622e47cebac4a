/** Load generator: sends requests of all teams to all services of a deployment at a constant rate. */
import type { Random } from '@fuchsiatally/core'
import type { Cluster } from './cluster.js'
import { type CallerRequest, sendRequest } from './requestClient.js'
import type { Recorder } from './recorder.js'

export interface LoadOptions {
  readonly cluster: Cluster
  readonly recorder: Recorder
  readonly random: Random
  readonly requestsPerS: number
  /** Fraction of the requests that are not idempotent, and so must be executed at most once; default 0.5. */
  readonly nonIdempotentFraction?: number
  /** Transfer time of slow request and response bodies; default 300. */
  readonly slowBodyMs?: number
  /** Maximum execution time of a request at its endpoint; default 60. */
  readonly maxWorkMs?: number
}

export interface Load {
  /** Sends one request, with the given fields overridden, to a random ready entry. */
  readonly sendOne: (overrides: Partial<CallerRequest>) => Promise<void>
  /** Stops sending and waits for the requests in flight. */
  readonly stop: () => Promise<void>
}

const SLOW_FRACTION = 0.2
const REQUEST_TIMEOUT_MS = 5000
const MAX_BODY_BYTES = 20_000
const PREFIX_LENGTH = 6
const OPEN_TEAM = 'visitors'

export function startLoad (options: LoadOptions): Load {
  const { cluster, recorder, random } = options
  const services = cluster.deployment.manifest.services.map((service) => service.name)
  const teams = cluster.deployment.manifest.teams.map((team) => team.name)
  const inFlight = new Set<Promise<void>>()
  // Makes request keys unique across successive loads on the same cluster.
  const prefix = `${cluster.deployment.cell}-${random.nextId().slice(0, PREFIX_LENGTH)}`
  let sentCount = 0

  const pick = <T>(items: readonly T[]): T => items[Math.floor(random.nextFloat() * items.length)]!

  const createRequest = (overrides: Partial<CallerRequest>): CallerRequest | undefined => {
    const ready = recorder.listReadyEntries()
    if (ready.length === 0) return undefined
    sentCount += 1
    const entry = pick(ready)
    const team = overrides.team ?? pick(teams)
    const grant = cluster.deployment.keys.get(team)
    return {
      requestKey: `${prefix}-${sentCount}`,
      entry: entry.name,
      address: entry.httpAddress,
      service: pick(services),
      team,
      keyId: grant?.grant.id ?? OPEN_TEAM,
      ...(grant === undefined ? {} : { key: grant.key }),
      idempotent: random.nextFloat() >= (options.nonIdempotentFraction ?? 0.5),
      workMs: Math.floor(random.nextFloat() * (options.maxWorkMs ?? 60)),
      bodyBytes: Math.floor(random.nextFloat() * MAX_BODY_BYTES),
      responseBytes: Math.floor(random.nextFloat() * MAX_BODY_BYTES),
      slowBodyMs: random.nextFloat() < SLOW_FRACTION ? options.slowBodyMs ?? 300 : 0,
      timeoutMs: REQUEST_TIMEOUT_MS,
      ...overrides
    }
  }

  const sendOne = async (overrides: Partial<CallerRequest>): Promise<void> => {
    const request = createRequest(overrides)
    if (request === undefined) return
    const sending = sendRequest(request).then(recorder.addRequest)
    inFlight.add(sending)
    await sending
    inFlight.delete(sending)
  }

  const timer = setInterval(() => { sendOne({}).catch(() => {}) }, 1000 / options.requestsPerS)
  return {
    sendOne,
    stop: async () => {
      clearInterval(timer)
      await Promise.all(inFlight)
    }
  }
}
