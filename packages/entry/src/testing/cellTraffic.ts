/** Continuous request traffic to every entry of a cell, checked against the executions at the runners. */
import type { RequestOutcome, Team } from '@fuchsiatally/core'
import type { CellEntry, EntryCell } from './entryCell.js'
import { readOutcome } from './requestCluster.js'
import { SERVICE_TIME_HEADER } from './fakeEndpoints.js'

/** Request load of one team, sent to each entry. */
export interface TrafficStream {
  readonly team: Team
  /** Interval between bursts at one entry, in milliseconds. */
  readonly periodMs: number
  readonly burst: number
  /** Service time of one request at the runner, in milliseconds. */
  readonly serviceTimeMs: number
}

/** One request of a caller, with its outcome. */
export interface CallerRequest {
  readonly path: string
  readonly team: string
  /** Name of the entry. */
  readonly entry: string
  readonly sentMs: number
  readonly idempotent: boolean
  /** `undefined` until the response arrives; a killed entry never responds. */
  outcome: RequestOutcome['kind'] | undefined
  /** Response body of any outcome other than `completed`; for `completed`, a mismatch of the echoed body, else empty. */
  reason: string
}

/** Request traffic of a cell. */
export interface CellTraffic {
  readonly requests: readonly CallerRequest[]
  stop: () => void
  /** Checks all requests so far and returns the violations. */
  listViolations: () => string[]
  /** Counts the requests that were sent in a time window, by outcome. */
  countOutcomes: (team: string, entry: string, fromMs: number, untilMs: number) => OutcomeCounts
}

export interface OutcomeCounts {
  sent: number
  completed: number
  notRun: number
  unknown: number
  /** Requests without any response from the entry. */
  unanswered: number
}

const SERVICE = 'pages'
const ROUTE_PATTERN = '/v1/services/:service/*'
const MAX_VIOLATIONS = 20

function sendToEntry (target: CellEntry, request: CallerRequest, serviceTimeMs: number): Promise<void> {
  const method = request.idempotent ? 'GET' : 'POST'
  const route = target.entry.routes.find((other) => other.method === method && other.pattern === ROUTE_PATTERN)!
  return route.handle({
    method,
    path: `/v1/services/${SERVICE}${request.path}`,
    query: new URLSearchParams(),
    headers: { 'fuchsiatally-team': request.team, [SERVICE_TIME_HEADER]: String(serviceTimeMs) },
    body: Buffer.from(request.path),
    signal: new AbortController().signal
  }, { service: SERVICE }).then((response) => {
    // A killed or paused process writes no response.
    if (!target.process.isRunning()) return
    request.outcome = readOutcome(response)
    const body = Buffer.from(response.body as Uint8Array).toString()
    if (request.outcome === 'completed' && body !== `echo:${request.path}`) request.reason = `response of another request: ${body}`
    else if (request.outcome !== 'completed') request.reason = body
  })
}

/** Starts the traffic. */
export function createCellTraffic (cell: EntryCell, streams: readonly TrafficStream[]): CellTraffic {
  const { clock, endpoints } = cell
  const requests: CallerRequest[] = []
  const violations: string[] = []
  let stopped = false

  const addViolation = (text: string): void => { if (violations.length < MAX_VIOLATIONS) violations.push(`${clock.nowMs()} ms: ${text}`) }

  const sendBurst = (stream: TrafficStream): void => {
    for (const target of cell.entries) {
      for (let index = 0; index < stream.burst; index++) {
        const number = requests.length
        const request: CallerRequest = {
          path: `/r${number}`,
          team: stream.team.name,
          entry: target.name,
          sentMs: clock.nowMs(),
          idempotent: number % 2 === 0,
          outcome: undefined,
          reason: ''
        }
        requests.push(request)
        if (!target.process.isRunning()) continue
        sendToEntry(target, request, stream.serviceTimeMs).catch((error: unknown) => addViolation(`the request handler threw ${String(error)}`))
      }
    }
  }

  /** Sends a burst now and at every further interval until the traffic is stopped. */
  const runStream = (stream: TrafficStream): void => {
    if (stopped) return
    sendBurst(stream)
    clock.setTimer(stream.periodMs, () => runStream(stream))
  }

  const checkCeilings = (): void => {
    if (stopped) return
    for (const { team } of streams) {
      const count = endpoints.fakes.countInFlight(team.name)
      if (count > team.ceiling.requests) addViolation(`${count} requests of ${team.name} in flight, above its ceiling`)
    }
    clock.setTimer(20, checkCeilings)
  }

  const checkRequest = (request: CallerRequest, runs: number): void => {
    const name = `${request.path} at ${request.entry}`
    if (request.outcome === 'notRun' && runs > 0) addViolation(`${name} was reported as not_run but ran`)
    if (request.outcome === 'completed' && runs === 0) addViolation(`${name} was reported as completed but did not run`)
    if (!request.idempotent && runs > 1) addViolation(`${name} is not idempotent and ran ${runs} times`)
    if (request.outcome === 'completed' && request.reason !== '') addViolation(`${name}: ${request.reason}`)
  }

  for (const stream of streams) runStream(stream)
  checkCeilings()
  return {
    requests,
    stop: () => { stopped = true },
    listViolations: () => {
      const runs = new Map<string, number>()
      for (const { request } of endpoints.fakes.executions) runs.set(request.path, (runs.get(request.path) ?? 0) + 1)
      for (const request of requests) checkRequest(request, runs.get(request.path) ?? 0)
      return violations
    },
    countOutcomes: (team, entry, fromMs, untilMs) => {
      const counts: OutcomeCounts = { sent: 0, completed: 0, notRun: 0, unknown: 0, unanswered: 0 }
      for (const request of requests) {
        if (request.team !== team || request.entry !== entry || request.sentMs < fromMs || request.sentMs >= untilMs) continue
        counts.sent += 1
        counts[request.outcome ?? 'unanswered'] += 1
      }
      return counts
    }
  }
}
