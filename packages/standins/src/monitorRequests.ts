/** Checks of requests: authorization, complete responses, and outcomes that agree with the executions. */
import type { History } from './history.js'
import type { ReportViolation } from './monitor.js'
import { collectBy } from './intervals.js'

/** Time after which a revoked key must be rejected at every entry. */
const REVOCATION_PROPAGATION_MS = 5000

/** Checks that a request was executed only for the team on whose behalf it was sent. */
export function checkTeamIsolation (history: History, report: ReportViolation): void {
  const sent = new Map(history.requests.map((request) => [request.requestKey, request]))
  for (const execution of history.executions) {
    const request = sent.get(execution.requestKey)
    if (request === undefined) continue
    if (request.team !== execution.team) report(`${execution.requestKey} of team ${request.team} ran for team ${execution.team}`)
  }
}

/** Checks that requests with a revoked key are rejected after the propagation time of the revocation. */
export function checkRevokedKeys (history: History, report: ReportViolation): void {
  const revokedAt = new Map(history.revocations.map((revocation) => [revocation.name, revocation.atMs]))
  const executed = new Set(history.executions.map((execution) => execution.requestKey))
  for (const request of history.requests) {
    const atMs = revokedAt.get(request.keyId)
    if (atMs === undefined || request.sentAtMs < atMs + REVOCATION_PROPAGATION_MS) continue
    if (request.outcome === 'completed' || executed.has(request.requestKey)) {
      report(`${request.requestKey} was accepted at ${request.entry} ${Math.round(request.sentAtMs - atMs)} ms after its key was revoked`)
    }
  }
}

/** Checks that the response of a completed request is complete, belongs to it, and comes from an execution. */
export function checkResponses (history: History, report: ReportViolation): void {
  const executed = new Set(history.executions.map((execution) => execution.requestKey))
  for (const request of history.requests) {
    if (request.outcome !== 'completed') continue
    if (!request.isValidResponse) report(`${request.requestKey} got a response that is incomplete or belongs to another request`)
    if (!executed.has(request.requestKey)) report(`${request.requestKey} completed without having been executed`)
  }
}

/** Checks that no endpoint executed a request that was reported to its caller as not run or rejected. */
export function checkNotRun (history: History, report: ReportViolation): void {
  const executions = collectBy(history.executions, (execution) => execution.requestKey)
  for (const request of history.requests) {
    if (request.outcome !== 'notRun' && request.outcome !== 'rejected') continue
    const execution = executions.get(request.requestKey)?.[0]
    if (execution !== undefined) report(`${request.requestKey} was reported as not run (${request.reason}) but ran at ${execution.worker}`)
  }
}

/** Checks that a non-idempotent request was executed at most once. */
export function checkAtMostOnce (history: History, report: ReportViolation): void {
  const executions = collectBy(history.executions, (execution) => execution.requestKey)
  for (const request of history.requests) {
    const count = executions.get(request.requestKey)?.length ?? 0
    if (!request.idempotent && count > 1) report(`${request.requestKey} ran ${count} times`)
  }
}
