/** In-memory advice service: allows every worker; a ticket states when it was issued. */
import type { AdvicePolicy } from '@fuchsiatally/core'
import type { FakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { ok } from 'neverthrow'
import type { AdviceClient } from '../partition/ports.js'

/** Returns the time at which a ticket was issued, in milliseconds of the fake clock. */
export function readTicketIssuedAtMs (ticket: string): number {
  return Number(ticket)
}

/** @param policy durations of the service; without a policy it allows nothing */
export function createAdviceModel (clock: FakeClock, policy: AdvicePolicy | undefined): AdviceClient {
  return {
    requestAdvice: async (_step, workers) => {
      if (policy === undefined) return ok(new Map())
      const durationMs = policy.decisionMs + policy.eachMs * workers.length
      const issuedAtMs = clock.nowMs() + durationMs
      await new Promise<void>((resolve) => { clock.setTimer(durationMs, resolve) })
      return ok(new Map(workers.map((worker) => [worker, String(issuedAtMs)])))
    }
  }
}
