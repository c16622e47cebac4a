/** Charges processor time to a holder: its event loop is blocked for the cost of each part of its work. */
import type { PartitionPlanner } from '@fuchsiatally/core'
import type { FakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { err, type Result } from 'neverthrow'
import { LEASE_TIMEOUT_MARGIN_MS, STOP_TIMEOUT_MS } from '../partition/constants.js'
import type { CallFailure, PartitionWorkerClient } from '../partition/ports.js'

/** Processor time by part of the work, in milliseconds. */
export interface HolderCosts {
  /** Per waiting step of a planning round. */
  readonly planStepMs: number
  /** Per lease call. */
  readonly leaseMs: number
  /** Per start order. */
  readonly startMs: number
}

/** Charges each planning round in proportion to the waiting steps. */
export function createChargedPlanner (planner: PartitionPlanner, clock: FakeClock, costs: HolderCosts): PartitionPlanner {
  return {
    ...planner,
    decide: (nowMs, ...access) => {
      clock.block(planner.countBacklog().steps * costs.planStepMs)
      return planner.decide(nowMs, ...access)
    }
  }
}

/**
 * Charges each call, and reports a response that is read after the timeout as missing: in a process that is late, the timer of a call
 * runs before the response that has arrived is read.
 */
export function createChargedWorkerClient (client: PartitionWorkerClient, clock: FakeClock, costs: HolderCosts): PartitionWorkerClient {
  const callCharged = async <T> (call: () => Promise<Result<T, CallFailure>>, costMs: number, timeoutMs: number): Promise<Result<T, CallFailure>> => {
    const sentAtMs = clock.nowMs()
    clock.block(costMs)
    const result = await call()
    const isUnread = result.isOk() && clock.nowMs() - sentAtMs > timeoutMs
    return isUnread ? err({ kind: 'unknown', message: `no response in ${timeoutMs} ms`, isOwnDelay: true }) : result
  }
  return {
    renewLease: (request) => callCharged(() => client.renewLease(request), costs.leaseMs, request.waitMs + LEASE_TIMEOUT_MARGIN_MS),
    startRun: (order, epoch, leaseUntilMs, timeoutMs) => callCharged(() => client.startRun(order, epoch, leaseUntilMs, timeoutMs), costs.startMs, timeoutMs),
    stopRun: (run, epoch) => callCharged(() => client.stopRun(run, epoch), costs.startMs, STOP_TIMEOUT_MS),
    dispose: client.dispose
  }
}
