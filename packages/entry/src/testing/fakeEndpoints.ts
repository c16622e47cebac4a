/** Endpoints in memory that count executions and break exchanges as a test wants. */
import type { Clock, ServiceRequest } from '@fuchsiatally/core'
import type { EndpointClient, ExchangeResult } from '../ports.js'

/** What an endpoint does with one exchange. */
export type EndpointBehaviour =
  | 'answer'
  /** Refuses for certain, without running. */
  | 'refuse'
  /** The connection breaks before the request arrives: nothing runs, but the client cannot know. */
  | 'breakBefore'
  /** Runs, and the answer is lost or truncated. */
  | 'breakAfter'
  /** Never runs and never answers. */
  | 'silent'
  /** Runs only after the client gave up waiting. */
  | 'runLate'

/** Header with the behaviours of a request's exchanges, separated by commas; `answer` after the last. */
export const BEHAVIOUR_HEADER = 'x-behaviour'
/** Header with the time that the endpoint works on the request, in milliseconds; default 10. */
export const WORK_HEADER = 'x-work-ms'

/** One execution at an endpoint. */
export interface Execution {
  readonly request: ServiceRequest
  readonly address: string
  readonly startedMs: number
}

/** All endpoints of a test. */
export interface FakeEndpoints {
  readonly executions: readonly Execution[]
  /** Requests of exchanges that broke. */
  readonly broken: readonly ServiceRequest[]
  /** Exchanges that endpoints hold open for a team, those of dead entries included. */
  countInFlight: (team: string) => number
  /** Most exchanges that one endpoint ever held open at once. */
  readMostAtOne: () => number
  /** Creates the client of one entry; disposing it loses all its answers, as the entry's death would. */
  createClient: () => EndpointClient
}

const DEFAULT_WORK_MS = 10
const HOP_MS = 1

/** Creates endpoints that exist under any address. */
export function createFakeEndpoints (clock: Clock): FakeEndpoints {
  const executions: Execution[] = []
  const broken: ServiceRequest[] = []
  const tries = new Map<string, number>()
  const atEndpoint = new Map<string, number>()
  const ofTeam = new Map<string, number>()
  let mostAtOne = 0

  const addInFlight = (address: string, team: string, change: number): void => {
    const busy = (atEndpoint.get(address) ?? 0) + change
    atEndpoint.set(address, busy)
    ofTeam.set(team, (ofTeam.get(team) ?? 0) + change)
    mostAtOne = Math.max(mostAtOne, busy)
  }

  const takeBehaviour = (request: ServiceRequest): EndpointBehaviour => {
    const plan = (request.headers[BEHAVIOUR_HEADER] ?? '').split(',').filter((name) => name !== '') as EndpointBehaviour[]
    const index = tries.get(request.id) ?? 0
    tries.set(request.id, index + 1)
    return plan[index] ?? 'answer'
  }

  const runRequest = (address: string, request: ServiceRequest): void => {
    executions.push({ request, address, startedMs: clock.nowMs() })
  }

  const createAnswer = (request: ServiceRequest): ExchangeResult => ({
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
    const workMs = Number(request.headers[WORK_HEADER] ?? DEFAULT_WORK_MS)
    const after = (delayMs: number, action: () => void): void => { clock.setTimer(delayMs, action) }
    const lost: ExchangeResult = { kind: 'broken', reason: behaviour }
    after(timeoutMs, () => end({ kind: 'broken', reason: 'timeout' }))
    if (behaviour === 'refuse') return after(HOP_MS, () => end({ kind: 'refused', reason: behaviour }))
    if (behaviour === 'breakBefore') return after(HOP_MS, () => end(lost))
    if (behaviour === 'silent') return
    if (behaviour === 'runLate') return after(timeoutMs + HOP_MS, () => runRequest(address, request))
    after(HOP_MS, () => runRequest(address, request))
    after(HOP_MS + workMs, () => end(behaviour === 'answer' ? createAnswer(request) : lost))
  }

  const createClient = (): EndpointClient => {
    let dead = false
    return {
      sendExchange: async (address, request, timeoutMs) => await new Promise((resolve) => {
        if (dead) return
        let ended = false
        addInFlight(address, request.team, 1)
        runExchange(address, request, timeoutMs, (result) => {
          if (ended) return
          ended = true
          if (result.kind === 'broken') broken.push(request)
          addInFlight(address, request.team, -1)
          if (!dead) resolve(result)
        })
      }),
      dispose: () => { dead = true }
    }
  }

  return {
    executions,
    createClient,
    broken,
    countInFlight: (team) => ofTeam.get(team) ?? 0,
    readMostAtOne: () => mostAtOne
  }
}
