/** The ingress's decision: which owner runs a request, and whether another one tries after it. */
import {
  createDisposableStore, createOwnerChooser, createRetryBudget,
  type Clock, type EventLog, type FreeSlots, type Heartbeat, type OwnerChoice, type Random, type RequestOutcome,
  type ServiceRequest
} from '@fuchsiatally/core'
import type { Peer, Sessions } from '../ports.js'
import { MAX_OWNERS_TRIED, MIN_FORWARD_MARGIN_MS, NO_ENDPOINT_RETRY_MS } from './constants.js'
import { requestRouted } from './events.js'
import type { Forwarder } from './forwarder.js'
import { createNotRun, createUnknown } from './outcome.js'
import type { Owner } from './owner.js'

/** What the router needs. */
export interface RouterOptions {
  readonly clock: Clock
  readonly random: Random
  readonly sessions: Sessions
  readonly owner: Owner
  readonly forwarder: Forwarder
  readonly log: EventLog
  /** Whether this entry is about to stop and prefers other owners. */
  readonly isDraining: () => boolean
}

/** Routes requests to owners. */
export interface Router {
  runRequest: (request: ServiceRequest, deadlineMs: number, signal?: AbortSignal) => Promise<RequestOutcome>
  recordHeartbeat: (peer: Peer, heartbeat: Heartbeat) => void
  removePeer: (incarnation: string) => void
}

/** Creates the router. */
export function createRouter (options: RouterOptions): Router {
  const { clock, sessions, owner } = options
  const self = sessions.incarnation
  const chooser = createOwnerChooser(sessions.failureDomain, options.random)
  const budget = createRetryBudget()

  const updateSelf = (slots: readonly FreeSlots[]): void => {
    chooser.updateOwner(
      { incarnation: self, failureDomain: sessions.failureDomain, leaving: false, slots }, clock.nowMs())
  }

  const chooseOwner = (service: string, tried: ReadonlySet<string>): OwnerChoice | undefined => {
    updateSelf(owner.listFreeSlots())
    const exchangeMs = owner.estimateExchangeMs(service)
    if (options.isDraining()) {
      const other = chooser.chooseOwner(service, exchangeMs, clock.nowMs(), new Set([...tried, self]))
      if (other !== undefined) return other
    }
    return chooser.chooseOwner(service, exchangeMs, clock.nowMs(), tried)
  }

  const runLocal = async (
    request: ServiceRequest, mayWait: boolean, deadlineMs: number, signal: AbortSignal | undefined
  ): Promise<RequestOutcome> => await new Promise((resolve) => {
    const scope = createDisposableStore()
    const run = owner.runRequest({ ...request, remainingMs: deadlineMs - clock.nowMs() }, mayWait, (outcome) => {
      scope.dispose()
      resolve(outcome)
    })
    signal?.addEventListener('abort', run.cancel)
    scope.add({ dispose: () => signal?.removeEventListener('abort', run.cancel) })
  })

  const recordRoute = (choice: OwnerChoice, request: ServiceRequest): void => {
    options.log.record(requestRouted, {
      request: request.id,
      team: request.team,
      service: request.service,
      owner: choice.owner.incarnation,
      free: choice.owner.free,
      reason: choice.owner.sameDomain ? 'same failure domain' : 'shorter wait in another failure domain',
      losers: choice.losers
    })
  }

  const runRequest: Router['runRequest'] = async (request, deadlineMs, signal) => {
    const tried = new Set<string>()
    let mayHaveRun = false
    let retryTaken = false
    let last = createNotRun('no owner of endpoints of the service is in reach', NO_ENDPOINT_RETRY_MS)
    budget.addRequest()

    const canLeave = (): boolean => {
      if (!request.idempotent || !chooser.hasFreeOwner(request.service, clock.nowMs(), tried)) return false
      retryTaken = budget.takeRetry()
      return retryTaken
    }

    /** The last owner in reach queues the request if it lacks allotment; the others pass it on. */
    const canWait = (): boolean => tried.size === MAX_OWNERS_TRIED ||
      !chooser.hasFreeOwner(request.service, clock.nowMs(), tried)

    const runAtOwner = async (incarnation: string): Promise<RequestOutcome> => incarnation === self
      ? await runLocal(request, canWait(), deadlineMs, signal)
      : await options.forwarder.sendRequest({ incarnation, request, mayWait: canWait(), deadlineMs, signal, canLeave })

    /** Another owner is tried only while its certain outcome can still arrive before the deadline. */
    const canTryAgain = (): boolean => {
      if (last.kind === 'completed') return false
      if (clock.nowMs() + owner.estimateExchangeMs(request.service) + 2 * MIN_FORWARD_MARGIN_MS >= deadlineMs) return false
      return last.kind === 'notRun' || (request.idempotent && (retryTaken || budget.takeRetry()))
    }

    while (tried.size < MAX_OWNERS_TRIED && clock.nowMs() < deadlineMs && signal?.aborted !== true) {
      const choice = chooseOwner(request.service, tried)
      // After a refusal only an owner with a free slot is worth another try.
      if (choice === undefined || (tried.size > 0 && choice.owner.free <= 0)) break
      tried.add(choice.owner.incarnation)
      recordRoute(choice, request)
      retryTaken = false
      last = await runAtOwner(choice.owner.incarnation)
      if (last.kind === 'unknown') mayHaveRun = true
      if (!canTryAgain()) break
    }
    return mayHaveRun && last.kind === 'notRun' ? createUnknown(`an earlier try broke; then: ${last.reason}`) : last
  }

  return {
    runRequest,
    recordHeartbeat: (peer, heartbeat) => {
      chooser.updateOwner({ ...peer, leaving: heartbeat.leaving, slots: heartbeat.slots }, clock.nowMs())
    },
    removePeer: chooser.removeOwner
  }
}
