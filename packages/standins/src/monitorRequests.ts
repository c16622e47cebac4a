/** Checks of requests: keys, whole answers, outcomes that are true. */
import type { History } from './history.js'
import type { Report } from './monitor.js'
import { collectBy } from './sweep.js'

/** Time after which a revoked key works nowhere. */
const REVOKED_WITHIN_MS = 5000

/** Endpoints worked on a request only for the team whose key came with it. */
export function checkTeams (history: History, report: Report): void {
  const sent = new Map(history.requests.map((request) => [request.requestKey, request]))
  for (const execution of history.executions) {
    const request = sent.get(execution.requestKey)
    if (request === undefined) continue
    if (request.team !== execution.team) report(`${execution.requestKey} of ${request.team} ran for ${execution.team}`)
  }
}

/** A request with a revoked key is refused a few seconds after the revocation was accepted. */
export function checkRevokedKeys (history: History, report: Report): void {
  const revokedAt = new Map(history.revocations.map((mark) => [mark.name, mark.atMs]))
  const executed = new Set(history.executions.map((execution) => execution.requestKey))
  for (const request of history.requests) {
    const atMs = revokedAt.get(request.keyId)
    if (atMs === undefined || request.sentAtMs < atMs + REVOKED_WITHIN_MS) continue
    if (request.outcome === 'completed' || executed.has(request.requestKey)) {
      report(`${request.requestKey} was accepted at ${request.entry} ${Math.round(request.sentAtMs - atMs)} ms after its key was revoked`)
    }
  }
}

/** A completed request's answer is whole and its own. */
export function checkWholeAnswers (history: History, report: Report): void {
  const executed = new Set(history.executions.map((execution) => execution.requestKey))
  for (const request of history.requests) {
    if (request.outcome !== 'completed') continue
    if (!request.isOwnAnswer) report(`${request.requestKey} got an answer that is not its own or not whole`)
    if (!executed.has(request.requestKey)) report(`${request.requestKey} was answered and ran nowhere`)
  }
}

/** What was told as not run was worked on by no endpoint. */
export function checkNotRun (history: History, report: Report): void {
  const executions = collectBy(history.executions, (execution) => execution.requestKey)
  for (const request of history.requests) {
    if (request.outcome !== 'notRun' && request.outcome !== 'rejected') continue
    const execution = executions.get(request.requestKey)?.[0]
    if (execution !== undefined) report(`${request.requestKey} was told as not run (${request.reason}) and ran at ${execution.worker}`)
  }
}

/** A request marked non-idempotent was worked on once or never. */
export function checkAtMostOnce (history: History, report: Report): void {
  const executions = collectBy(history.executions, (execution) => execution.requestKey)
  for (const request of history.requests) {
    const count = executions.get(request.requestKey)?.length ?? 0
    if (!request.idempotent && count > 1) report(`${request.requestKey} ran ${count} times`)
  }
}
