/** In-memory endpoints that record executions and break exchanges as the headers of a request specify. */
import type { Clock, ServiceRequest } from '@fuchsiatally/core'
import type { EndpointClient, ExchangeResult } from '../ports.js'

/** How an endpoint handles one exchange. */
export type EndpointBehaviour =
  | 'answer'
  /** Refuses the request without running it, so that the client knows it did not run. */
  | 'refuse'
  /** The connection breaks before the request arrives: the request does not run, but the client cannot tell. */
  | 'breakBefore'
  /** Runs the request, but the response is lost or truncated. */
  | 'breakAfter'
  /** Never runs the request and never responds. */
  | 'silent'
  /** Runs the request only after the client timed out. */
  | 'runLate'

/** Header with the behaviours of a request's exchanges, separated by commas; further exchanges get `answer`. */
export const BEHAVIOUR_HEADER = 'x-behaviour'
/** Header with the service time of the request, in milliseconds; default 10. */
export const SERVICE_TIME_HEADER = 'x-work-ms'

/** One execution at an endpoint. */
export interface Execution {
  readonly request: ServiceRequest
  readonly address: string
  readonly startedMs: number
}

/** Endpoints of a test. */
export interface FakeEndpoints {
  readonly executions: readonly Execution[]
  /** Requests of the broken exchanges, one entry per exchange. */
  readonly broken: readonly ServiceRequest[]
  /** Counts the open exchanges of a team, those of stopped entries included. */
  countInFlight: (team: string) => number
  /** Returns the maximum number of concurrent exchanges at any one endpoint. */
  readMaxConcurrent: () => number
  /** Creates the client of one entry; disposing it drops all pending responses, as a crash of the entry would. */
  createClient: () => EndpointClient
}

const DEFAULT_SERVICE_TIME_MS = 10
const NETWORK_DELAY_MS = 1

/** Creates endpoints that accept exchanges at any address. */
export function createFakeEndpoints (clock: Clock): FakeEndpoints {
  const executions: Execution[] = []
  const broken: ServiceRequest[] = []
  const exchangeCounts = new Map<string, number>()
  const inFlightByAddress = new Map<string, number>()
  const inFlightByTeam = new Map<string, number>()
  let maxPerEndpoint = 0

  const addInFlight = (address: string, team: string, change: number): void => {
    const busy = (inFlightByAddress.get(address) ?? 0) + change
    inFlightByAddress.set(address, busy)
    inFlightByTeam.set(team, (inFlightByTeam.get(team) ?? 0) + change)
    maxPerEndpoint = Math.max(maxPerEndpoint, busy)
  }

  const takeBehaviour = (request: ServiceRequest): EndpointBehaviour => {
    const plan = (request.headers[BEHAVIOUR_HEADER] ?? '').split(',').filter((name) => name !== '') as EndpointBehaviour[]
    const index = exchangeCounts.get(request.id) ?? 0
    exchangeCounts.set(request.id, index + 1)
    return plan[index] ?? 'answer'
  }

  const recordExecution = (address: string, request: ServiceRequest): void => {
    executions.push({ request, address, startedMs: clock.nowMs() })
  }

  const createResponse = (request: ServiceRequest): ExchangeResult => ({
    kind: 'answered',
    outcome: {
      kind: 'completed',
      status: 200,
      headers: { 'x-path': request.path },
      body: Buffer.concat([Buffer.from('echo:'), request.body]),
      worker: ''
    }
  })

  const runExchange = (
    address: string, request: ServiceRequest, timeoutMs: number, end: (result: ExchangeResult) => void
  ): void => {
    const behaviour = takeBehaviour(request)
    const serviceTimeMs = Number(request.headers[SERVICE_TIME_HEADER] ?? DEFAULT_SERVICE_TIME_MS)
    const runAfter = (delayMs: number, action: () => void): void => { clock.setTimer(delayMs, action) }
    const brokenResult: ExchangeResult = { kind: 'broken', reason: behaviour }
    runAfter(timeoutMs, () => end({ kind: 'broken', reason: 'timeout' }))
    if (behaviour === 'refuse') return runAfter(NETWORK_DELAY_MS, () => end({ kind: 'refused', reason: behaviour }))
    if (behaviour === 'breakBefore') return runAfter(NETWORK_DELAY_MS, () => end(brokenResult))
    if (behaviour === 'silent') return
    if (behaviour === 'runLate') return runAfter(timeoutMs + NETWORK_DELAY_MS, () => recordExecution(address, request))
    runAfter(NETWORK_DELAY_MS, () => recordExecution(address, request))
    runAfter(NETWORK_DELAY_MS + serviceTimeMs, () => end(behaviour === 'answer' ? createResponse(request) : brokenResult))
  }

  const createClient = (): EndpointClient => {
    let disposed = false
    return {
      sendExchange: async (address, request, timeoutMs) => await new Promise((resolve) => {
        if (disposed) return
        let ended = false
        addInFlight(address, request.team, 1)
        runExchange(address, request, timeoutMs, (result) => {
          if (ended) return
          ended = true
          if (result.kind === 'broken') broken.push(request)
          addInFlight(address, request.team, -1)
          if (!disposed) resolve(result)
        })
      }),
      dispose: () => { disposed = true }
    }
  }

  return {
    executions,
    createClient,
    broken,
    countInFlight: (team) => inFlightByTeam.get(team) ?? 0,
    readMaxConcurrent: () => maxPerEndpoint
  }
}
