/** Ingress routing: chooses the owner that runs a request and decides whether to retry at another one. */
import {
  createDisposableStore, createOwnerBalancer, createRetryBudget,
  type Clock, type EventLog, type FreeSlots, type Heartbeat, type OwnerChoice, type Random, type RequestOutcome,
  type ServiceRequest
} from '@fuchsiatally/core'
import type { Peer, Sessions } from '../ports.js'
import { MAX_OWNER_ATTEMPTS, MIN_FORWARD_MARGIN_MS, NO_ENDPOINT_RETRY_MS } from './constants.js'
import { requestRouted } from './events.js'
import type { Forwarder } from './forwarder.js'
import { createNotRunOutcome, createUnknownOutcome } from './outcome.js'
import type { EndpointOwner } from './endpointOwner.js'

/** Dependencies of the router. */
export interface RequestRouterOptions {
  readonly clock: Clock
  readonly random: Random
  readonly sessions: Sessions
  readonly owner: EndpointOwner
  readonly forwarder: Forwarder
  readonly log: EventLog
  /** Whether this entry is shutting down and prefers other owners. */
  readonly isDraining: () => boolean
}

/** Routes requests to owners. */
export interface RequestRouter {
  runRequest: (request: ServiceRequest, deadlineMs: number, signal?: AbortSignal) => Promise<RequestOutcome>
  recordHeartbeat: (peer: Peer, heartbeat: Heartbeat) => void
  removePeer: (incarnation: string) => void
}

export function createRequestRouter (options: RequestRouterOptions): RequestRouter {
  const { clock, sessions, owner } = options
  const self = sessions.incarnation
  const balancer = createOwnerBalancer(sessions.failureDomain, options.random)
  const budget = createRetryBudget()

  const updateSelf = (slots: readonly FreeSlots[]): void => {
    balancer.updateOwner(
      { incarnation: self, failureDomain: sessions.failureDomain, leaving: false, slots }, clock.nowMs())
  }

  const chooseOwner = (service: string, tried: ReadonlySet<string>): OwnerChoice | undefined => {
    updateSelf(owner.listFreeSlots())
    const exchangeMs = owner.estimateExchangeMs(service)
    if (options.isDraining()) {
      const other = balancer.chooseOwner(service, exchangeMs, clock.nowMs(), new Set([...tried, self]))
      if (other !== undefined) return other
    }
    return balancer.chooseOwner(service, exchangeMs, clock.nowMs(), tried)
  }

  const runLocal = async (
    request: ServiceRequest, mayWait: boolean, deadlineMs: number, signal: AbortSignal | undefined
  ): Promise<RequestOutcome> => await new Promise((resolve) => {
    const scope = createDisposableStore()
    const handle = owner.runRequest({ ...request, remainingMs: deadlineMs - clock.nowMs() }, mayWait, (outcome) => {
      scope.dispose()
      resolve(outcome)
    })
    signal?.addEventListener('abort', handle.cancel)
    scope.add({ dispose: () => signal?.removeEventListener('abort', handle.cancel) })
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

  const runRequest: RequestRouter['runRequest'] = async (request, deadlineMs, signal) => {
    const triedOwners = new Set<string>()
    let mayHaveRun = false
    let retryReserved = false
    let lastOutcome = createNotRunOutcome('no owner of an endpoint of the service is reachable', NO_ENDPOINT_RETRY_MS)
    budget.addRequest()

    const canAbandon = (): boolean => {
      if (!request.idempotent || !balancer.hasFreeOwner(request.service, clock.nowMs(), triedOwners)) return false
      retryReserved = budget.takeRetry()
      return retryReserved
    }

    /** Only the last owner that can be tried queues a request that lacks allotment; the others refuse it so that it is redirected. */
    const canWait = (): boolean => triedOwners.size === MAX_OWNER_ATTEMPTS ||
      !balancer.hasFreeOwner(request.service, clock.nowMs(), triedOwners)

    const runAtOwner = async (incarnation: string): Promise<RequestOutcome> => incarnation === self
      ? await runLocal(request, canWait(), deadlineMs, signal)
      : await options.forwarder.sendRequest({ incarnation, request, mayWait: canWait(), deadlineMs, signal, canAbandon })

    /** Another owner is tried only if a definite outcome can still arrive before the deadline. */
    const canRetry = (): boolean => {
      if (lastOutcome.kind === 'completed') return false
      if (clock.nowMs() + owner.estimateExchangeMs(request.service) + 2 * MIN_FORWARD_MARGIN_MS >= deadlineMs) return false
      return lastOutcome.kind === 'notRun' || (request.idempotent && (retryReserved || budget.takeRetry()))
    }

    while (triedOwners.size < MAX_OWNER_ATTEMPTS && clock.nowMs() < deadlineMs && signal?.aborted !== true) {
      const choice = chooseOwner(request.service, triedOwners)
      // After a failed attempt, only an owner with a free slot is tried.
      if (choice === undefined || (triedOwners.size > 0 && choice.owner.free <= 0)) break
      triedOwners.add(choice.owner.incarnation)
      recordRoute(choice, request)
      retryReserved = false
      lastOutcome = await runAtOwner(choice.owner.incarnation)
      if (lastOutcome.kind === 'unknown') mayHaveRun = true
      if (!canRetry()) break
    }
    return mayHaveRun && lastOutcome.kind === 'notRun' ? createUnknownOutcome(`an earlier attempt failed with unknown outcome; then: ${lastOutcome.reason}`) : lastOutcome
  }

  return {
    runRequest,
    recordHeartbeat: (peer, heartbeat) => {
      balancer.updateOwner({ ...peer, leaving: heartbeat.leaving, slots: heartbeat.slots }, clock.nowMs())
    },
    removePeer: balancer.removeOwner
  }
}
