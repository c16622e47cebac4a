/** Owner side of requests: queues, endpoint selection and exchanges with endpoints. */
import {
  createDisposableStore, createEndpointBalancer, createRequestQueue, createRetryBudget, startInterval,
  type Clock, type Disposable, type EndpointBalancer, type EndpointChoice, type EventLog, type FreeSlots, type Random,
  type RequestOutcome, type RequestQueue, type ServiceRequest, type QueueCapacity
} from '@fuchsiatally/core'
import type { ConfigStore, EndpointClient, ExchangeResult, OwnedWorkers } from '../ports.js'
import {
  NO_ENDPOINT_RETRY_MS, SWEEP_INTERVAL_MS
} from './constants.js'
import { createEndpointExchanges, type PendingRequest } from './endpointExchanges.js'
import { requestPlaced, requestRetried } from './events.js'
import { createNotRunOutcome, createUnknownOutcome } from './outcome.js'
import { createRedirectCounter } from './redirectCounter.js'

const NO_ENDPOINT = 'no endpoint of the service is reachable'
const NO_ALLOTMENT = 'the team has no free allotment at the owner'
const DEADLINE_UNREACHABLE = 'the request cannot complete before its deadline'

/** Operations of the allotment manager that the owner uses. */
export interface TeamAllotments {
  readonly charge: (team: string) => boolean
  readonly release: (team: string) => void
  readonly countFree: (team: string) => number
  readonly countAllotted: (team: string) => number
}

/** Dependencies of the owner. */
export interface EndpointOwnerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly workers: OwnedWorkers
  readonly endpoints: EndpointClient
  readonly config: ConfigStore
  readonly allotments: TeamAllotments
  readonly log: EventLog
}

/** Handle of a request at its owner. */
export interface RequestHandle {
  /** Removes the request from the queue as `notRun`; no effect during an exchange. */
  cancel: () => void
}

/** Runs requests on the endpoints of this entry's workers. */
export interface EndpointOwner extends Disposable {
  /**
   * Calls `onOutcome` exactly once, possibly before it returns.
   *
   * @param mayWait whether to queue the request if it lacks only allotment
   */
  runRequest: (
    request: ServiceRequest, mayWait: boolean, onOutcome: (outcome: RequestOutcome) => void
  ) => RequestHandle
  listFreeSlots: () => FreeSlots[]
  /** Number of the team's requests that lack only allotment: queued ones with a free slot, and recently redirected ones. */
  countStarved: (team: string) => number
  hasEndpoints: () => boolean
  estimateExchangeMs: (service: string) => number
  /** Starts queued requests that can run; to be called when free allotment has increased. */
  startQueuedRequests: () => void
  /** Number of requests that are queued or in an exchange. */
  countOpen: () => number
}

interface Refusal {
  readonly reason: string
  readonly retryAfterMs: number
}

/** Starts the owner and its periodic sweep of the queues. */
export function createEndpointOwner (options: EndpointOwnerOptions): EndpointOwner {
  const { clock, allotments, log } = options
  const store = createDisposableStore()
  const balancer: EndpointBalancer = createEndpointBalancer(options.random)
  const budget = createRetryBudget()
  const exchanges = createEndpointExchanges({ clock, endpoints: options.endpoints, balancer, budget, log })
  const queues = new Map<string, RequestQueue<PendingRequest>>()
  const redirects = createRedirectCounter()
  let open = 0
  let sequence = 0

  const getQueue = (service: string): RequestQueue<PendingRequest> => {
    let queue = queues.get(service)
    if (queue === undefined) {
      queue = createRequestQueue<PendingRequest>()
      queues.set(service, queue)
    }
    return queue
  }

  const updateEndpoints = (): void => {
    const services = new Map(options.config.readDocument()?.manifest.services.map((service) => [service.name, service]))
    const views = []
    for (const worker of options.workers.listOwnedWorkers()) {
      if (!worker.hasContact || worker.leaving) continue
      for (const runner of worker.runners) {
        const service = services.get(runner.service)
        if (service === undefined) continue
        views.push({
          address: runner.address,
          worker: worker.id,
          rack: worker.rack,
          service: runner.service,
          slots: Math.min(service.slotsPerRunner, service.connectionsPerRunner),
          reportedBusy: runner.busy
        })
      }
    }
    balancer.updateEndpoints(views)
  }

  const getCapacity = (service: string): QueueCapacity => {
    const count = balancer.countSlots(service, clock.nowMs())
    return { slots: count.total, freeSlots: count.free, countAllotted: allotments.countAllotted }
  }

  const resolveRequest = (pending: PendingRequest, outcome: RequestOutcome): void => {
    if (pending.ended) throw new Error('request resolved twice')
    pending.ended = true
    pending.timer?.dispose()
    open -= 1
    pending.onOutcome(outcome)
  }

  const resolveWithoutExchange = (pending: PendingRequest, reason: string, retryAfterMs: number): void => {
    resolveRequest(pending, pending.mayHaveRun
      ? createUnknownOutcome(`an earlier exchange failed with unknown outcome; then: ${reason}`)
      : createNotRunOutcome(reason, retryAfterMs))
  }

  /** Resolves the queued requests that can no longer complete before their deadlines. */
  const resolveLateRequests = (service: string): void => {
    const capacity = getCapacity(service)
    for (const { value } of getQueue(service).takeLate(clock.nowMs(), capacity)) {
      if (capacity.slots === 0) resolveWithoutExchange(value, NO_ENDPOINT, NO_ENDPOINT_RETRY_MS)
      else resolveWithoutExchange(value, DEADLINE_UNREACHABLE, estimateWaitMs(value, capacity))
    }
  }

  const estimateWaitMs = (pending: PendingRequest, capacity: QueueCapacity): number =>
    getQueue(pending.service.name).estimateWaitMs(
      pending.request.team, pending.weight, balancer.estimateExchangeMs(pending.service.name), capacity)

  const resolveExchange = (
    pending: PendingRequest, result: ExchangeResult, choice: EndpointChoice, retryReserved: boolean
  ): void => {
    if (result.kind === 'answered') {
      if (retryReserved) budget.addRetry()
      return resolveRequest(pending, { ...result.outcome, worker: choice.endpoint.worker })
    }
    if (result.kind === 'broken') pending.mayHaveRun = true
    if (exchanges.canRetry(pending, result, retryReserved)) {
      log.record(requestRetried, { request: pending.request.id, worker: choice.endpoint.worker, reason: result.reason })
      addToQueue(pending)
      return
    }
    if (result.kind === 'broken') return resolveRequest(pending, createUnknownOutcome(result.reason))
    resolveWithoutExchange(pending, result.reason, estimateWaitMs(pending, getCapacity(pending.service.name)))
  }

  const runExchange = async (pending: PendingRequest, choice: EndpointChoice): Promise<void> => {
    const { result, retryReserved } = await exchanges.runExchange(pending, choice)
    allotments.release(pending.request.team)
    resolveExchange(pending, result, choice, retryReserved)
    startQueuedOfService(pending.service.name)
  }

  /** Reserves a slot and charges the allotment for a dequeued request; `false` if no endpoint has a free slot. */
  const startExchange = (pending: PendingRequest): boolean => {
    const nowMs = clock.nowMs()
    const name = pending.service.name
    const { idempotent } = pending.request
    const choice = balancer.chooseEndpoint(name, nowMs, pending.triedAddresses, idempotent) ??
      balancer.chooseEndpoint(name, nowMs, new Set(), idempotent)
    if (choice === undefined) return false
    if (!allotments.charge(pending.request.team)) throw new Error('request dequeued without free allotment')
    pending.attempts += 1
    pending.triedAddresses.add(choice.endpoint.address)
    log.record(requestPlaced, {
      request: pending.request.id,
      team: pending.request.team,
      service: name,
      worker: choice.endpoint.worker,
      address: choice.endpoint.address,
      reason: 'least loaded',
      losers: choice.losers
    })
    runExchange(pending, choice)
    return true
  }

  const startQueuedOfService = (service: string): void => {
    const queue = getQueue(service)
    if (queue.countQueued() === 0) return
    updateEndpoints()
    while (balancer.countSlots(service, clock.nowMs()).free > 0) {
      const next = queue.takeNext((team) => allotments.countFree(team) > 0)
      if (next === undefined) break
      if (clock.nowMs() >= next.deadlineMs) resolveWithoutExchange(next.value, 'the deadline expired in the queue', 0)
      else if (!startExchange(next.value)) throw new Error('free slot counted but no endpoint chosen')
    }
  }

  const addToQueue = (pending: PendingRequest): void => {
    const service = pending.service.name
    getQueue(service).addRequest({
      id: pending.id,
      team: pending.request.team,
      weight: pending.weight,
      deadlineMs: pending.deadlineMs,
      costMs: balancer.estimateExchangeMs(service),
      value: pending
    })
  }

  const countQueuedOfTeam = (team: string): number => {
    let count = 0
    for (const queue of queues.values()) count += queue.countOfTeam(team)
    return count
  }

  const startQueuedRequests = (): void => {
    for (const service of queues.keys()) startQueuedOfService(service)
  }

  const runSweep = (): void => {
    updateEndpoints()
    startQueuedRequests()
    for (const service of queues.keys()) resolveLateRequests(service)
  }

  /** Whether a further request of the team would have a free slot but no allotment. */
  const isStarved = (team: string, capacity: QueueCapacity): boolean =>
    capacity.freeSlots > 0 && allotments.countFree(team) <= countQueuedOfTeam(team)

  /** Returns why a request is refused before it is queued; `undefined` if it is admitted. */
  const explainRefusal = (pending: PendingRequest, mayWait: boolean, queuedLimit: number): Refusal | undefined => {
    const capacity = getCapacity(pending.service.name)
    if (capacity.slots === 0) return { reason: NO_ENDPOINT, retryAfterMs: NO_ENDPOINT_RETRY_MS }
    const waitMs = estimateWaitMs(pending, capacity)
    if (!mayWait && isStarved(pending.request.team, capacity)) {
      redirects.addRequest(pending.request.team, clock.nowMs())
      return { reason: NO_ALLOTMENT, retryAfterMs: waitMs }
    }
    const neededMs = waitMs === 0 ? 0 : waitMs + balancer.estimateExchangeMs(pending.service.name)
    if (clock.nowMs() + neededMs >= pending.deadlineMs) return { reason: DEADLINE_UNREACHABLE, retryAfterMs: waitMs }
    if (waitMs === 0 || countQueuedOfTeam(pending.request.team) < queuedLimit) return undefined
    return { reason: 'the team\'s queue at the owner is full', retryAfterMs: waitMs }
  }

  const runRequest: EndpointOwner['runRequest'] = (request, mayWait, onOutcome) => {
    const manifest = options.config.readDocument()?.manifest
    const service = manifest?.services.find((other) => other.name === request.service)
    const team = manifest?.teams.find((other) => other.name === request.team)
    if (service === undefined || team === undefined) {
      onOutcome(createNotRunOutcome('the owner does not know the service or team', NO_ENDPOINT_RETRY_MS))
      return { cancel: () => {} }
    }
    open += 1
    budget.addRequest()
    const deadlineMs = clock.nowMs() + request.remainingMs
    sequence += 1
    const pending: PendingRequest = {
      id: String(sequence),
      request,
      service,
      weight: team.share,
      deadlineMs,
      onOutcome,
      triedAddresses: new Set(),
      attempts: 0,
      mayHaveRun: false,
      ended: false,
      timer: null
    }
    updateEndpoints()
    const refusal = explainRefusal(pending, mayWait, team.limits.queuedRequests)
    if (refusal !== undefined) {
      resolveWithoutExchange(pending, refusal.reason, refusal.retryAfterMs)
      return { cancel: () => {} }
    }
    const resolveQueued = (reason: string): void => {
      if (getQueue(service.name).removeRequest(pending.id) !== undefined) resolveWithoutExchange(pending, reason, 0)
    }
    addToQueue(pending)
    pending.timer = clock.setTimer(request.remainingMs, () => resolveQueued(DEADLINE_UNREACHABLE))
    startQueuedOfService(service.name)
    return { cancel: () => resolveQueued('the caller disconnected') }
  }

  store.add(startInterval(clock, options.random, SWEEP_INTERVAL_MS, 0, runSweep))

  return {
    runRequest,
    listFreeSlots: () => {
      updateEndpoints()
      const reports = []
      for (const { name } of options.config.readDocument()?.manifest.services ?? []) {
        const { free, total } = balancer.countSlots(name, clock.nowMs())
        if (total > 0) reports.push({ service: name, free, total, queued: queues.get(name)?.countQueued() ?? 0 })
      }
      return reports
    },
    countStarved: (team) => {
      let starved = redirects.countRequests(team, clock.nowMs())
      for (const [service, queue] of queues) {
        const queued = queue.countOfTeam(team)
        if (queued > 0) starved += Math.min(queued, balancer.countSlots(service, clock.nowMs()).free)
      }
      return starved
    },
    hasEndpoints: () => options.workers.listOwnedWorkers().some((worker) => worker.runners.length > 0),
    estimateExchangeMs: balancer.estimateExchangeMs,
    startQueuedRequests,
    countOpen: () => open,
    dispose: store.dispose
  }
}
